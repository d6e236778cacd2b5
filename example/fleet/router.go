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

// router is one router of the cluster. Its number, from 1, is part of its name and of its ports.
type router struct {
	number int
	dir    string
}

// newRouters returns the routers whose files are in a folder.
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

// file returns the path of one of the router's files.
func (r router) file(extension string) string { return filepath.Join(r.dir, r.name()+extension) }

// supervise runs the router, and starts it again after it has ended, until ctx is done.
func (r router) supervise(ctx context.Context, program string) {
	for ctx.Err() == nil {
		if err := r.run(ctx, program); err != nil && ctx.Err() == nil {
			log.Printf("%s ended: %v; it starts again in %v", r.name(), err, restartDelay)
		}
		select {
		case <-ctx.Done():
		case <-time.After(restartDelay):
		}
	}
}

// run runs the router's process until it ends; where ctx is done before, it ends it by SIGTERM.
func (r router) run(ctx context.Context, program string) error {
	logFile, err := os.OpenFile(r.file(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	process := exec.CommandContext(ctx, program, "--config", r.file(".json"), "--operator", r.file(".hcl"))
	process.Cancel = func() error { return process.Process.Signal(syscall.SIGTERM) }
	process.Stderr = logFile
	if err := process.Start(); err != nil {
		return err
	}
	if err := os.WriteFile(r.file(".pid"), fmt.Appendf(nil, "%d\n", process.Process.Pid), 0o600); err != nil {
		return err
	}
	return process.Wait()
}
