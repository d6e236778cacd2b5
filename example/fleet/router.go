package main

import (
	"context"
	"fmt"
	"log"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// router is one router of the cluster.
type router struct {
	number int    // from 1; part of the router's name and ports
	dir    string // folder of the router's files
}

// newRouters returns all routers of the cluster, whose files are in dir.
func newRouters(dir string) (routers []router) {
	for number := 1; number <= routerCount; number++ {
		routers = append(routers, router{number: number, dir: dir})
	}
	return routers
}

func (r router) name() string           { return fmt.Sprintf("r%d", r.number) }
func (r router) listenAddress() string  { return fmt.Sprintf("127.0.0.1:71%02d", r.number) }
func (r router) opsAddress() string     { return fmt.Sprintf("127.0.0.1:72%02d", r.number) }
func (r router) clusterAddress() string { return fmt.Sprintf("127.0.0.1:73%02d", r.number) }

// filePath returns the path of the router's file with the given extension, which includes the dot.
func (r router) filePath(extension string) string { return filepath.Join(r.dir, r.name()+extension) }

// supervise runs the router, and restarts it restartDelay after it has ended, until ctx is done.
func (r router) supervise(ctx context.Context, program string) {
	for ctx.Err() == nil {
		if err := r.run(ctx, program); err != nil && ctx.Err() == nil {
			log.Printf("%s ended: %v; restarting it in %v", r.name(), err, restartDelay)
		}
		select {
		case <-ctx.Done():
		case <-time.After(restartDelay):
		}
	}
}

// run runs the router's process until it ends, and sends it SIGTERM if ctx is done before. It appends the process's log to a
// file and writes its pid to another one. It returns an error if the process cannot be started or fails.
func (r router) run(ctx context.Context, program string) error {
	logFile, err := os.OpenFile(r.filePath(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	process := exec.CommandContext(ctx, program, "--config", r.filePath(".json"), "--operator", r.filePath(".hcl"))
	process.Cancel = func() error { return process.Process.Signal(syscall.SIGTERM) }
	process.Stderr = logFile
	if err := process.Start(); err != nil {
		return err
	}
	if err := os.WriteFile(r.filePath(".pid"), fmt.Appendf(nil, "%d\n", process.Process.Pid), 0o600); err != nil {
		return err
	}
	return process.Wait()
}
