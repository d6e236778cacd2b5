// Package simulation is what the tests in virtual time have in common.
package simulation

import (
	"math/rand/v2"
	"runtime"
	"sync"
)

// EachSeed does something for each seed from 0, as many at a time as there are processors.
func ForEachSeed(n int, do func(seed uint64)) {
	var all sync.WaitGroup
	next := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for seed := range next {
				do(seed)
			}
		})
	}
	for seed := range uint64(n) {
		next <- seed
	}
	close(next)
	all.Wait()
}

// Part draws two sides of so many nodes, and cuts all ways between them; within each nothing is cut.
func Partition(rnd *rand.Rand, nodes int, cut map[[2]int]bool) {
	side := rnd.IntN(1 << nodes)
	for a := range nodes {
		for b := range nodes {
			cut[[2]int{a, b}] = side>>a&1 != side>>b&1
		}
	}
}
