//go:build cluster

package membership

import (
	"bytes"
	"slices"
	"sync"

	"github.com/hashicorp/memberlist"

	"hillknot/internal/cluster/keyring"
	"hillknot/internal/logging"
)

// gossipKeys holds the keys in use. The primary key encrypts, all of them decrypt.
type gossipKeys struct {
	file  string
	mutex sync.Mutex // held while the file is read and the keys are replaced
	ring  *memberlist.Keyring
}

// ReloadKeys reads the key file again and replaces the keys in use with its keys. A faulty file changes nothing.
func (a *Agent) ReloadKeys() error {
	count, err := a.keys.reload()
	if err != nil {
		return keyFileError(a.keys.file, err)
	}
	log.Info("cluster keys reloaded", logging.KeyKeys, count)
	return nil
}

// reload reads the file and replaces the keys in use. It returns the number of keys in the file.
func (k *gossipKeys) reload() (int, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	keys, err := keyring.Read(k.file)
	if err != nil {
		return 0, err
	}
	return len(keys), k.replace(keys)
}

// replace makes the first key the primary one, and removes the keys that are not among the new ones. It adds keys before it
// removes any, so that in between no packet arrives that no key in use decrypts.
func (k *gossipKeys) replace(keys [][]byte) error {
	for _, key := range keys {
		if err := k.ring.AddKey(key); err != nil {
			return err
		}
	}
	if err := k.ring.UseKey(keys[0]); err != nil {
		return err
	}
	for _, old := range slices.Clone(k.ring.GetKeys()) {
		kept := slices.ContainsFunc(keys, func(key []byte) bool { return bytes.Equal(key, old) })
		if kept {
			continue
		}
		if err := k.ring.RemoveKey(old); err != nil {
			return err
		}
	}
	return nil
}
