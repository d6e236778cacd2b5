package loadtest

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	keySize = 32 // bytes
	// keyReloadTime is how long all routers have to load a changed key file.
	keyReloadTime = 200 * time.Millisecond
)

// generateKey returns a new random key in hexadecimal, as it is written to the key file.
func generateKey() string {
	key := make([]byte, keySize)
	_, _ = rand.Read(key) // crypto/rand never returns an error
	return hex.EncodeToString(key)
}

// writeKeys replaces the contents of the key file.
func (c *Cluster) writeKeys(keys ...string) error {
	return replaceFile(c.keyFile, strings.Join(keys, "\n")+"\n")
}

// replaceFile writes a file so that a reader gets either the old or the new text.
func replaceFile(path, text string) error {
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// rotateKeys replaces the key of the routers while they run: first all accept the new key, then all use it, then all reject
// the old one.
func (c *Cluster) rotateKeys() error {
	text, err := os.ReadFile(c.keyFile)
	if err != nil {
		return err
	}
	oldKey, newKey := string(bytes.TrimSpace(text)), generateKey()
	for _, keys := range [][]string{{oldKey, newKey}, {newKey, oldKey}, {newKey}} {
		if err := c.writeKeys(keys...); err != nil {
			return err
		}
		for _, r := range c.Routers {
			r.Signal(syscall.SIGHUP)
		}
		time.Sleep(keyReloadTime)
	}
	return nil
}
