// Package simulation holds what the simulations in virtual time share: running many seeds, and partitions of a network. Only
// tests use it.
package simulation

import (
	"math/rand/v2"
	"runtime"
	"sync"
)

// ForEachSeed calls run for each seed from 0 to count-1, in as many goroutines as there are processors, and waits for all.
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

// Partition divides nodes, numbered from 0, into two groups at random. It sets blocked, by sender and receiver, for all pairs
// of nodes: those in different groups are blocked in both directions, all others are not.
func Partition(random *rand.Rand, nodes int, blocked map[[2]int]bool) {
	group := random.IntN(1 << nodes) // one bit for each node
	for sender := range nodes {
		for receiver := range nodes {
			blocked[[2]int{sender, receiver}] = group>>sender&1 != group>>receiver&1
		}
	}
}
