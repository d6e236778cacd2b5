package main

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/valyala/fastjson"
)

const (
	keySize    = 32 // bytes
	keysFile   = "keys"
	topupsFile = "topups.hcl"
)

// topups are the top-ups of the accounts: one with enough for a while, and one that runs out soon.
const topups = `among = ["r1", "r2", "r3"]

topup "first" {
  account = "acme"
  amount  = 1000
}

topup "small" {
  account = "small"
  amount  = 12
}
`

// operatorFile is the form of a router's operator's file.
const operatorFile = `ops = %q

fleet {
  listen   = %q
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
`

// writeFiles writes the keys, the top-ups and each router's files, and removes what an earlier run has stored: it was
// written with other keys.
func writeFiles(dir, baseConfig string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	key := make([]byte, keySize)
	_, _ = rand.Read(key) // it never fails
	if err := writeFile(filepath.Join(dir, keysFile), hex.EncodeToString(key)+"\n"); err != nil {
		return err
	}
	if err := writeFile(filepath.Join(dir, topupsFile), topups); err != nil {
		return err
	}
	config, err := readBaseConfig(baseConfig)
	if err != nil {
		return err
	}
	for _, r := range newRouters(dir) {
		if err := r.writeFiles(config); err != nil {
			return err
		}
	}
	return nil
}

func writeFile(path, text string) error { return os.WriteFile(path, []byte(text), 0o600) }

// readBaseConfig reads the configuration of a single router, without the addresses that several on one machine can't share.
func readBaseConfig(path string) (*fastjson.Value, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	config, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, key := range []string{"dns", "agent_check", "ops"} {
		config.Del(key)
	}
	return config, nil
}

// writeFiles writes the router's configuration and operator's file, and removes its ledger.
func (r router) writeFiles(config *fastjson.Value) error {
	var arena fastjson.Arena
	config.Set("name", arena.NewString(r.name()))
	config.Set("listen", arena.NewString(r.listenAddress()))
	if err := writeFile(r.file(".json"), config.String()); err != nil {
		return err
	}
	if err := writeFile(r.file(".hcl"), r.operatorFile()); err != nil {
		return err
	}
	if err := os.Remove(r.file(".ledger")); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// operatorFile returns the text of the router's operator's file.
func (r router) operatorFile() string {
	var peers []string
	for _, other := range newRouters(r.dir) {
		if other != r {
			peers = append(peers, fmt.Sprintf("%q", other.clusterAddress()))
		}
	}
	return fmt.Sprintf(operatorFile, r.opsAddress(), r.clusterAddress(), strings.Join(peers, ", "),
		filepath.Join(r.dir, keysFile), routerCount, r.file(".ledger"), filepath.Join(r.dir, topupsFile))
}
