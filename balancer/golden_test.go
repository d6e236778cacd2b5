package balancer

import (
	"fmt"
	"strings"
	"testing"

	"hillknot/internal/testutil/golden"
)

// Routers of different releases choose the same endpoints for an object only if they compute the same hashes. The file
// in testdata/golden was written at commit 86ccf0f. The hashes don't depend on names in the Go code. The numbers of the
// roles are part of what package handover writes, as they are the indices of Snapshot.Loads.
func TestGoldenHashes(t *testing.T) {
	var text strings.Builder
	for _, key := range []uint64{1, 0x91f03b7c55d20a64, 1<<64 - 1} {
		for _, salt := range []uint64{0, 1, 1 << 63} {
			fmt.Fprintf(&text, "%x %x mix %x unit %.15f\n", key, salt, mix(key^salt), hashFraction(key, 0xfedcba9876543210, salt))
		}
	}
	fmt.Fprintln(&text, "roles", int(roleCache), int(roleParent), int(roleOrigin))
	golden.Same(t, "hashes.txt", []byte(text.String()))
}
