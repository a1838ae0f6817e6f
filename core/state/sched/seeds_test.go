package sched

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
)

// playSeeds plays the seeds below n, several at a time, and fails with the error of
// each seed that has one.
func playSeeds(t *testing.T, n uint64, play func(seed uint64) error) {
	t.Helper()
	var next atomic.Uint64
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for seed := next.Add(1) - 1; seed < n && !t.Failed(); seed = next.Add(1) - 1 {
				if err := play(seed); err != nil {
					t.Error(fmt.Errorf("seed %d: %w", seed, err))
				}
			}
		})
	}
	wg.Wait()
}
