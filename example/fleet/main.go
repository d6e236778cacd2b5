// Command fleet starts a cluster of three routers on loopback, which fail over each other's orders and share prepaid
// balances, with the toy server for all else that they talk to. It writes all files that they need into one folder, starts a
// router again after it was killed, and ends on Ctrl-C.
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
	routerCount  = 3
	restartDelay = 3 * time.Second // how long a router that was killed stays away
	orderTime    = "1s"            // how long the toy server takes for an order
)

func main() {
	bin := flag.String("bin", "bin", "the folder of the programs")
	dir := flag.String("dir", "bin/fleet", "the folder for all that is made")
	config := flag.String("config", "example/config.json", "the configuration that the routers' are made of")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *bin, *dir, *config); err != nil {
		log.Fatal(err)
	}
}

// run runs the toy server and the routers until ctx is done.
func run(ctx context.Context, bin, dir, baseConfig string) error {
	if err := writeFiles(dir, baseConfig); err != nil {
		return err
	}
	toy := exec.CommandContext(ctx, filepath.Join(bin, "toy"), "-work", orderTime)
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
	_ = toy.Wait() // ctx has killed it, which is not an error
	return nil
}
