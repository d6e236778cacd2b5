// Command fleet starts a cluster of three routers on loopback, which fail over each other's orders and share prepaid
// balances. It also starts the toy server, which plays all other parties that the routers talk to. It writes all files that
// the routers need into one folder, restarts a router that was killed, and ends on Ctrl-C or SIGTERM.
package main

import (
	"context"
	"flag"
	"fmt"
	"log"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	routerCount   = 3
	restartDelay  = 3 * time.Second // time between the end of a router and its restart
	orderDuration = "1s"            // time that the toy server takes to answer an order
)

func main() {
	bin := flag.String("bin", "bin", "folder of the programs")
	dir := flag.String("dir", "bin/fleet", "folder for the files, logs and pids of the routers")
	config := flag.String("config", "example/config.json", "configuration that those of the routers are based on")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *bin, *dir, *config); err != nil {
		log.Fatal(err)
	}
}

// run writes the files of the routers, and runs the toy server and the routers until ctx is done.
func run(ctx context.Context, bin, dir, baseConfig string) error {
	if err := writeFiles(dir, baseConfig); err != nil {
		return err
	}
	toy := exec.CommandContext(ctx, filepath.Join(bin, "toy"), "-work", orderDuration)
	toy.Stderr = os.Stderr
	if err := toy.Start(); err != nil {
		return err
	}
	var supervisors sync.WaitGroup
	var addresses []string
	for _, r := range newRouters(dir) {
		addresses = append(addresses, r.listenAddress())
		supervisors.Go(func() { r.supervise(ctx, filepath.Join(bin, "hillknot-cluster")) })
	}
	fmt.Printf("three routers: %s; logs, pids and files in %s\n", strings.Join(addresses, ","), dir)
	supervisors.Wait()
	_ = toy.Wait() // the toy server was killed because ctx is done, which is not an error
	return nil
}
