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

// gossipKeys are the keys in use: the primary one encrypts, all decrypt.
type gossipKeys struct {
	file  string
	mutex sync.Mutex // held while the file is read and the keys are replaced
	ring  *memberlist.Keyring
}

// ReloadKeys reads the key file again and uses its keys from now on. A faulty file changes nothing.
func (a *Agent) ReloadKeys() error {
	count, err := a.keys.reload()
	if err != nil {
		return keyFileError(a.keys.file, err)
	}
	log.Info("cluster keys reloaded", logging.KeyKeys, count)
	return nil
}

// reload reads the file and replaces the keys in use. It returns how many the file holds.
func (k *gossipKeys) reload() (int, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	keys, err := keyring.Read(k.file)
	if err != nil {
		return 0, err
	}
	return len(keys), k.replace(keys)
}

// replace makes the first key the primary one, and drops the keys that are not among the new ones. Keys are added
// before the old ones go, so no packet arrives in between that none of them decrypts.
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
