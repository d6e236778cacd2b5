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
	keySize    = 32 // length of the key, in bytes
	keysFile   = "keys"
	topUpsFile = "topups.hcl"
)

// topUpsText is the top-ups file. The account acme has enough funds for a while; the account small runs out of funds soon.
const topUpsText = `among = ["r1", "r2", "r3"]

topup "first" {
  account = "acme"
  amount  = 1000
}

topup "small" {
  account = "small"
  amount  = 12
}
`

// operatorFileFormat is the format of a router's operator file.
const operatorFileFormat = `ops = %q

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

// writeFiles writes the keys, the top-ups and the files of each router to dir. It removes the ledgers of an earlier run,
// because they were written with different keys.
func writeFiles(dir, baseConfig string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	key := make([]byte, keySize)
	_, _ = rand.Read(key) // crypto/rand.Read never returns an error
	if err := writeFile(filepath.Join(dir, keysFile), hex.EncodeToString(key)+"\n"); err != nil {
		return err
	}
	if err := writeFile(filepath.Join(dir, topUpsFile), topUpsText); err != nil {
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

// writeFile writes a file that only its owner can read and write.
func writeFile(path, text string) error { return os.WriteFile(path, []byte(text), 0o600) }

// readBaseConfig reads the configuration of a single router from path. It removes the addresses that several routers on one
// machine cannot share.
func readBaseConfig(path string) (*fastjson.Value, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	config, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("parse configuration %s: %w", path, err)
	}
	for _, key := range []string{"dns", "agent_check", "ops"} {
		config.Del(key)
	}
	return config, nil
}

// writeFiles writes the router's configuration and operator file, and removes its ledger, if there is one. It sets the name
// and the listen address in config.
func (r router) writeFiles(config *fastjson.Value) error {
	var arena fastjson.Arena
	config.Set("name", arena.NewString(r.name()))
	config.Set("listen", arena.NewString(r.listenAddress()))
	if err := writeFile(r.filePath(".json"), config.String()); err != nil {
		return err
	}
	if err := writeFile(r.filePath(".hcl"), r.operatorFileText()); err != nil {
		return err
	}
	if err := os.Remove(r.filePath(".ledger")); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// operatorFileText returns the content of the router's operator file.
func (r router) operatorFileText() string {
	var peers []string
	for _, other := range newRouters(r.dir) {
		if other != r {
			peers = append(peers, fmt.Sprintf("%q", other.clusterAddress()))
		}
	}
	return fmt.Sprintf(operatorFileFormat, r.opsAddress(), r.clusterAddress(), strings.Join(peers, ", "),
		filepath.Join(r.dir, keysFile), routerCount, r.filePath(".ledger"), filepath.Join(r.dir, topUpsFile))
}
