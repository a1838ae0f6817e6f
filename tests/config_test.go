package tests

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"camphorridge/internal/stand"
)

// inForce waits until all entry processes named, or all, have a table of at
// least a version in force, by their own metrics.
func (s *system) inForce(version uint64, names ...string) {
	s.t.Helper()
	for _, e := range s.entries {
		if len(names) > 0 && !strings.Contains(strings.Join(names, " "), e.name) {
			continue
		}
		s.wait(fmt.Sprintf("%s to run version %d", e.name, version), func() bool {
			return s.version(e) >= version
		})
	}
}

func (s *system) version(e *process) uint64 { return uint64(s.metrics(e)["table_version"]) }

// retune changes the contract of acme and returns the version.
func (s *system) retune(n int, queue int) uint64 {
	s.t.Helper()
	text := fmt.Sprintf("[contract]\ncustomer = acme\ncovers = instance\nqueue = %d\nretry-percent = 20\n[pool merge]\ninstances = %d\n"+
		"[disruption]\nmax-unavailable = 1\nbudget-ms = 600000\nwindow-ms = 3600000\n", queue, n)
	out := s.must("contract", "apply", s.write("retune.ini", text), "--author", "test")
	var v uint64
	_, err := fmt.Sscanf(out, "accepted at version %d", &v)
	assert.NilError(s.t, err, "%s", out)
	return v
}

// TestChangeTakesEffectEverywhere guards against an accepted change that some
// entry process never takes up or gives up again: each one confirms it to the
// leader and acts on it.
func TestChangeTakesEffectEverywhere(t *testing.T) {
	s := serving(t, threeZones("merge"))
	for i := range 5 {
		v := s.retune(3, 800+i)
		s.inForce(v)
		s.wait("the leader to hear it", func() bool {
			n := 0
			for _, p := range s.overview().Processes {
				if p.Version >= v && !p.Silent {
					n++
				}
			}
			return n == len(s.entries)
		})
	}
	s.must("contract", "remove", "acme", "--author", "test")
	for _, e := range s.entries {
		s.wait(e.name+" to drop the contract", func() bool {
			status, _, _, err := call(t, e.callers, "merge", nil)
			return err == nil && status == http.StatusNotFound
		})
	}
	for range 20 {
		for _, e := range s.entries {
			status, _, _, err := call(t, e.callers, "merge", nil)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusNotFound, "%s went back", e.name)
		}
	}
}

// TestThawedEntryNeverServesOldTable guards against an entry process that was
// frozen during a change and, on waking up, calls itself ready with a table
// older than that of a neighbour, or goes back to one.
func TestThawedEntryNeverServesOldTable(t *testing.T) {
	s := serving(t, threeZones("merge"))
	e2, e3 := s.find("e2"), s.find("e3")
	for i := range 3 {
		s.signal("e3", syscall.SIGSTOP)
		v := s.retune(3, 900+i)
		s.inForce(v, "e1", "e2")
		time.Sleep(1500 * time.Millisecond)
		floor := s.version(e2)
		s.signal("e3", syscall.SIGCONT)
		s.wait("e3 to run the new version", func() bool {
			// Ready is read first: what is ready must not be older than the neighbour
			// was before.
			ready := s.isReady(e3.admin)
			have := s.version(e3)
			if ready {
				assert.Assert(t, have >= floor, "e3 is ready with version %d, e2 had %d", have, floor)
			}
			return ready && have >= v
		})
	}
}

// TestThawedEntryRunsNothingByOldTable guards against requests that arrived at
// a frozen entry process and run, when it wakes up, by the table that it had
// before: the contract was removed meanwhile.
func TestThawedEntryRunsNothingByOldTable(t *testing.T) {
	s := serving(t, threeZones("merge"))
	e3 := s.find("e3")
	s.signal("e3", syscall.SIGSTOP)
	s.must("contract", "remove", "acme", "--author", "test")
	s.wait("e1 to drop the contract", func() bool {
		status, _, _, err := call(t, s.find("e1").callers, "merge", nil)
		return err == nil && status == http.StatusNotFound
	})
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, _, _, _ = call(t, e3.callers, "merge", http.Header{stand.IDHeader: {fmt.Sprintf("late-%d", i)}})
		}()
	}
	time.Sleep(2 * time.Second)
	s.signal("e3", syscall.SIGCONT)
	wg.Wait()
	s.wait("e3 to drop the contract", func() bool {
		status, _, _, err := call(t, e3.callers, "merge", nil)
		return err == nil && status == http.StatusNotFound
	})
	assert.Equal(t, s.runsWith("late-"), 0)
}

// TestCutZoneServesAndHeals guards against a partitioned zone that stops
// serving, that runs a request with a key which it cannot claim, or that stays
// on its old table after the partition.
func TestCutZoneServesAndHeals(t *testing.T) {
	s := serving(t, threeZones("merge"))
	s.cut("zc", stand.RelaySilent)
	v := s.retune(3, 950)
	s.inForce(v, "e1", "e2", "e3", "e4", "e5")
	ran := 0
	load := stand.Load{
		Entries: s.callerAddrs("zc"), Service: "merge", Customer: "acme", Requests: 200, Concurrency: 4,
		Timeout: 20 * time.Second, Prefix: "cut", Pause: 50 * time.Millisecond,
	}
	done := make(chan stand.Summary, 1)
	go func() { done <- load.Run(context.Background()) }()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("keyed-%d", i)
			status, outcome, _, err := call(t, s.callerAddrs("zc")[i%2], "merge", http.Header{
				"Idempotency-Key": {id}, stand.IDHeader: {id},
			})
			mu.Lock()
			defer mu.Unlock()
			if err == nil && status == http.StatusServiceUnavailable && outcome == "not-run" {
				ran++
			}
		}()
	}
	wg.Wait()
	assert.Equal(t, ran, 6, "a keyed request in the cut zone was not refused")
	sum := <-done
	assert.Equal(t, sum.Counts["200 ran"], 200, "%s", sum)
	for i := range 6 {
		assert.Equal(t, s.runsOf(fmt.Sprintf("keyed-%d", i)), 0)
	}
	assert.Assert(t, s.version(s.find("e6")) < v, "the cut does not work")
	s.cut("zc", stand.RelayForward)
	s.inForce(v)
	for _, e := range s.callerAddrs("zc") {
		s.wait("a keyed request in the healed zone", func() bool {
			status, outcome, _, err := call(t, e, "merge", http.Header{
				"Idempotency-Key": {"healed-" + e}, stand.IDHeader: {"healed-" + e},
			})
			return err == nil && (status == http.StatusOK || outcome == "duplicate")
		})
		assert.Equal(t, s.runsOf("healed-"+e), 1)
	}
}

// TestRestartInCutZone guards against an entry process that restarts in a
// partitioned zone and serves nothing, or serves by a table older than its
// neighbour's: it must take the neighbour's.
func TestRestartInCutZone(t *testing.T) {
	s := serving(t, threeZones("merge"))
	e6, e7 := s.find("e6"), s.find("e7")
	s.cut("zc", stand.RelaySilent)
	s.wait("the control member of the zone to hear no leader", func() bool { return !s.isReady(s.find("c3").admin) })
	s.kill("e7")
	floor := s.version(e6)
	assert.Assert(t, floor > 0)
	s.run(e7)
	s.wait("e7 to be ready", func() bool { return s.isReady(e7.admin) })
	assert.Assert(t, s.version(e7) >= floor, "e7 runs version %d, its neighbour %d", s.version(e7), floor)
	s.wait("e7 to serve", func() bool {
		status, _, _, err := call(t, e7.callers, "merge", nil)
		return err == nil && status == http.StatusOK
	})
	v := s.retune(3, 970)
	s.cut("zc", stand.RelayForward)
	s.inForce(v, "e6", "e7")
}
