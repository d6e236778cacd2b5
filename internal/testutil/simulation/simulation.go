// Package simulation holds the functions that simulations in virtual time share: they run many seeds and partition a network.
// Only tests use it.
package simulation

import (
	"math/rand/v2"
	"runtime"
	"sync"
)

// ForEachSeed calls run for each seed from 0 to count-1, in GOMAXPROCS goroutines, and waits until all calls have returned.
func ForEachSeed(count int, run func(seed uint64)) {
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := range seeds {
				run(seed)
			}
		})
	}
	for seed := range uint64(count) {
		seeds <- seed
	}
	close(seeds)
	workers.Wait()
}

// Partition divides nodes, which are numbered from 0, into two groups at random. It sets blocked, whose keys are sender and
// receiver, for all pairs of nodes: pairs in different groups are blocked in both directions, and all other pairs are not
// blocked.
func Partition(random *rand.Rand, nodes int, blocked map[[2]int]bool) {
	groupBits := random.IntN(1 << nodes) // bit i is the group of node i
	for sender := range nodes {
		for receiver := range nodes {
			blocked[[2]int{sender, receiver}] = groupBits>>sender&1 != groupBits>>receiver&1
		}
	}
}
