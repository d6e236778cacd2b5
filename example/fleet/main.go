// Command fleet starts three routers that talk to each other on loopback, with the toy server for all else: they keep each
// other's orders and share prepaid balances. All that they need is made anew in one folder. A router that is killed is
// started again. It ends on Ctrl-C.
package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
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

	"github.com/valyala/fastjson"
)

const routers = 3

// restartAfter is how long a router that was killed stays away.
const restartAfter = 3 * time.Second

func main() {
	bin := flag.String("bin", "bin", "the folder of the programs")
	dir := flag.String("dir", "bin/fleet", "the folder for all that is made")
	from := flag.String("config", "example/config.json", "the configuration that the routers' are made of")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *bin, *dir, *from); err != nil {
		log.Fatal(err)
	}
}

func run(ctx context.Context, bin, dir, from string) error {
	if err := files(dir, from); err != nil {
		return err
	}
	toy := exec.CommandContext(ctx, filepath.Join(bin, "toy"), "-work", "1s")
	toy.Stderr = os.Stderr
	if err := toy.Start(); err != nil {
		return err
	}
	var all sync.WaitGroup
	for i := 1; i <= routers; i++ {
		all.Go(func() { keep(ctx, filepath.Join(bin, "hillknot-cluster"), dir, i) })
	}
	fmt.Printf("three routers: %s; logs, pids and files in %s\n", addresses(), dir)
	all.Wait()
	_ = toy.Wait() // it was told to end
	return nil
}

func addresses() string {
	var out []string
	for i := 1; i <= routers; i++ {
		out = append(out, fmt.Sprintf("127.0.0.1:71%02d", i))
	}
	return strings.Join(out, ",")
}

// files makes the keys, the top-ups, and each router's configuration.
func files(dir, from string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	key := make([]byte, 32)
	_, _ = rand.Read(key) // it never fails
	text, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	base, err := fastjson.ParseBytes(text)
	if err != nil {
		return fmt.Errorf("%s: %w", from, err)
	}
	for _, own := range []string{"dns", "agent_check", "ops"} { // one address each, which three routers can't share
		base.Del(own)
	}
	topups := filepath.Join(dir, "topups.hcl")
	made := map[string]string{
		filepath.Join(dir, "keys"): hex.EncodeToString(key) + "\n",
		topups: "among = [\"r1\", \"r2\", \"r3\"]\n\ntopup \"first\" {\n  account = \"acme\"\n  amount  = 1000\n}\n\n" +
			"topup \"small\" {\n  account = \"small\"\n  amount  = 12\n}\n",
	}
	var a fastjson.Arena
	for i := 1; i <= routers; i++ {
		name := fmt.Sprintf("r%d", i)
		base.Set("name", a.NewString(name))
		base.Set("listen", a.NewString(fmt.Sprintf("127.0.0.1:71%02d", i)))
		made[filepath.Join(dir, name+".json")] = base.String()
		var peers []string
		for o := 1; o <= routers; o++ {
			if o != i {
				peers = append(peers, fmt.Sprintf("\"127.0.0.1:73%02d\"", o))
			}
		}
		made[filepath.Join(dir, name+".hcl")] = fmt.Sprintf(`ops = "127.0.0.1:72%02d"

fleet {
  listen   = "127.0.0.1:73%02d"
  peers    = [%s]
  key_file = %q
  size     = %d
  ledger   = %q
  takeover {
    strict = true
  }
  credit {
    topups  = %q
    unnamed = "free"
    prices {
      part-page {
        each = 1
      }
      new-arrange {
        each = 3
      }
    }
  }
}
`, i, i, strings.Join(peers, ", "), filepath.Join(dir, "keys"), routers, filepath.Join(dir, name+".ledger"), topups)
		if err := os.Remove(filepath.Join(dir, name+".ledger")); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err // a ledger of before, whose keys and top-ups are gone
		}
	}
	for path, text := range made {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// keep runs a router, and starts it again where it was killed.
func keep(ctx context.Context, program, dir string, i int) {
	name := filepath.Join(dir, fmt.Sprintf("r%d", i))
	for ctx.Err() == nil {
		if err := one(ctx, program, name); err != nil && ctx.Err() == nil {
			log.Printf("r%d ended: %v; it starts again in %v", i, err, restartAfter)
		}
		select {
		case <-ctx.Done():
		case <-time.After(restartAfter):
		}
	}
}

func one(ctx context.Context, program, name string) error {
	to, err := os.OpenFile(name+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer to.Close()
	r := exec.CommandContext(ctx, program, "--config", name+".json", "--operator", name+".hcl")
	r.Cancel = func() error { return r.Process.Signal(syscall.SIGTERM) }
	r.Stderr = to
	if err := r.Start(); err != nil {
		return err
	}
	if err := os.WriteFile(name+".pid", fmt.Appendf(nil, "%d\n", r.Process.Pid), 0o600); err != nil {
		return err
	}
	return r.Wait()
}
