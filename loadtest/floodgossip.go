package loadtest

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"sync"
)

// This file holds the floods of the address for gossip, by peers that don't have the key of the cluster.

const (
	gossipEncrypted = 10       // type of an encrypted message over TCP, which a length of four bytes follows
	gossipMaxState  = 20 << 20 // the longest that the gossip library reads over TCP, in bytes
)

// gossipOperatorFile returns the operator's file of a router that takes part in a cluster of its own. Its key file is in a directory.
func gossipOperatorFile(dir string) func(router int, ip string) (string, error) {
	return func(router int, ip string) (string, error) {
		keyFile := filepath.Join(dir, "keys")
		if err := os.WriteFile(keyFile, []byte(generateKey()+"\n"), 0o600); err != nil {
			return "", err
		}
		text, err := floodOperatorFile(router, ip)
		return text + fmt.Sprintf("fleet {\n  listen = \"%s:%d\"\n  key_file = %q\n  size = 1\n}\n", ip, clusterPort, keyFile), err
	}
}

// halfGossip returns an encrypted message of the longest kind without its last byte.
func halfGossip() []byte {
	message := binary.BigEndian.AppendUint32([]byte{gossipEncrypted}, gossipMaxState)
	return append(message, make([]byte, gossipMaxState-1)...)
}

// undecryptablePacket returns a packet that can't be decrypted.
func undecryptablePacket(number uint64) []byte {
	packet := make([]byte, 1200)
	packet[0] = gossipEncrypted
	binary.BigEndian.PutUint64(packet[1:], number)
	return packet
}

// sharedHalfGossip is the message of all connections, as 300 copies would fill the memory of the load test itself.
var sharedHalfGossip = sync.OnceValue(halfGossip)
