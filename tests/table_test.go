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

// waitForTableVersion waits until the metrics of all entry processes, or of the named
// ones, show a table of at least the given version. A table is the routing
// configuration of an entry process: contracts and instances.
func (s *system) waitForTableVersion(version uint64, names ...string) {
	s.t.Helper()
	for _, e := range s.entries {
		if len(names) > 0 && !strings.Contains(strings.Join(names, " "), e.name) {
			continue
		}
		s.wait(fmt.Sprintf("%s to have table version %d", e.name, version), func() bool {
			return s.tableVersion(e) >= version
		})
	}
}

// tableVersion returns the version of an entry process's table according to its
// metrics.
func (s *system) tableVersion(e *process) uint64 { return uint64(s.metrics(e)["table_version"]) }

// changeContract changes the contract of the customer acme: the number of
// instances of the pool merge, and the length of the queue. It returns the version at
// which the control group accepted the change. A table of that version or a higher one
// contains the change.
func (s *system) changeContract(instances int, queue int) uint64 {
	s.t.Helper()
	text := fmt.Sprintf("[contract]\ncustomer = acme\ncovers = instance\nqueue = %d\nretry-percent = 20\n[pool merge]\ninstances = %d\n"+
		"[disruption]\nmax-unavailable = 1\nbudget-ms = 600000\nwindow-ms = 3600000\n", queue, instances)
	out := s.retryCLI("contract", "apply", s.writeFile("retune.ini", text), "--author", "test")
	var v uint64
	_, err := fmt.Sscanf(out, "accepted at version %d", &v)
	assert.NilError(s.t, err, "%s", out)
	return v
}

// TestChangeTakesEffectEverywhere guards against an accepted change of a contract that
// some entry process never applies, or applies and then reverts. Each entry process
// must report the version of the change to the leader, and must refuse requests after
// the contract was removed.
func TestChangeTakesEffectEverywhere(t *testing.T) {
	s := startServing(t, threeZones("merge"))
	for i := range 5 {
		v := s.changeContract(3, 800+i)
		s.waitForTableVersion(v)
		s.wait("the leader to know of the change in all entry processes", func() bool {
			n := 0
			for _, p := range s.status().Processes {
				if p.Version >= v && !p.Silent {
					n++
				}
			}
			return n == len(s.entries)
		})
	}
	s.retryCLI("contract", "remove", "acme", "--author", "test")
	for _, e := range s.entries {
		s.wait(e.name+" to drop the contract", func() bool {
			status, _, _, err := call(t, e.callerAddr, "merge", nil)
			return err == nil && status == http.StatusNotFound
		})
	}
	for range 20 {
		for _, e := range s.entries {
			status, _, _, err := call(t, e.callerAddr, "merge", nil)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusNotFound, "%s reverted to the removed contract", e.name)
		}
	}
}

// TestResumedEntryNeverServesOldTable guards against an entry process that is ready
// with an old table when it continues after a freeze. Its table must not be older
// than the one that another entry process of its zone had before the frozen process
// continued.
func TestResumedEntryNeverServesOldTable(t *testing.T) {
	s := startServing(t, threeZones("merge"))
	e2, e3 := s.find("e2"), s.find("e3")
	for i := range 3 {
		s.signal("e3", syscall.SIGSTOP)
		v := s.changeContract(3, 900+i)
		s.waitForTableVersion(v, "e1", "e2")
		time.Sleep(1500 * time.Millisecond)
		minVersion := s.tableVersion(e2)
		s.signal("e3", syscall.SIGCONT)
		s.wait("e3 to be ready with the new version", func() bool {
			// The readiness is read before the version: once e3 is ready, its version must
			// not be lower than that of e2 before e3 continued.
			ready := s.isReady(e3.adminAddr)
			have := s.tableVersion(e3)
			if ready {
				assert.Assert(t, have >= minVersion, "e3 is ready with version %d, but e2 had %d before e3 continued", have, minVersion)
			}
			return ready && have >= v
		})
	}
}

// TestResumedEntryRunsNothingByOldTable guards against requests that arrive at a
// frozen entry process and run when it continues, because its old table has a
// contract that was removed in the meantime.
func TestResumedEntryRunsNothingByOldTable(t *testing.T) {
	s := startServing(t, threeZones("merge"))
	e3 := s.find("e3")
	s.signal("e3", syscall.SIGSTOP)
	s.retryCLI("contract", "remove", "acme", "--author", "test")
	s.wait("e1 to drop the contract", func() bool {
		status, _, _, err := call(t, s.find("e1").callerAddr, "merge", nil)
		return err == nil && status == http.StatusNotFound
	})
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, _, _, _ = call(t, e3.callerAddr, "merge", http.Header{stand.IDHeader: {fmt.Sprintf("late-%d", i)}})
		}()
	}
	time.Sleep(2 * time.Second)
	s.signal("e3", syscall.SIGCONT)
	wg.Wait()
	s.wait("e3 to drop the contract", func() bool {
		status, _, _, err := call(t, e3.callerAddr, "merge", nil)
		return err == nil && status == http.StatusNotFound
	})
	assert.Equal(t, s.runCountWithPrefix("late-"), 0)
}

// TestPartitionedZoneServesAndRecovers guards against a partitioned zone that
// stops serving requests without an idempotency key, that runs a request although it
// can't claim the request's key at the leader, or that keeps its old table after the
// partition.
func TestPartitionedZoneServesAndRecovers(t *testing.T) {
	s := startServing(t, threeZones("merge"))
	s.setRelayMode("zc", stand.RelaySilent)
	v := s.changeContract(3, 950)
	s.waitForTableVersion(v, "e1", "e2", "e3", "e4", "e5")
	refused := 0
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
				refused++
			}
		}()
	}
	wg.Wait()
	assert.Equal(t, refused, 6, "not every keyed request in the partitioned zone was refused as not run")
	sum := <-done
	assert.Equal(t, sum.Counts["200 ran"], 200, "%s", sum)
	for i := range 6 {
		assert.Equal(t, s.runCount(fmt.Sprintf("keyed-%d", i)), 0)
	}
	assert.Assert(t, s.tableVersion(s.find("e6")) < v, "e6 got the change of version %d during the partition", v)
	s.setRelayMode("zc", stand.RelayForward)
	s.waitForTableVersion(v)
	for _, e := range s.callerAddrs("zc") {
		s.wait("a keyed request after the partition", func() bool {
			status, outcome, _, err := call(t, e, "merge", http.Header{
				"Idempotency-Key": {"healed-" + e}, stand.IDHeader: {"healed-" + e},
			})
			// The outcome is "duplicate" if an earlier attempt of this wait has claimed the
			// key and its answer was not a success.
			return err == nil && (status == http.StatusOK || outcome == "duplicate")
		})
		assert.Equal(t, s.runCount("healed-"+e), 1)
	}
}

// TestRestartInPartitionedZone guards against an entry process that restarts in
// a partitioned zone and does not serve, or serves with an older table than the
// other entry process of the zone. It must get the table from that process.
func TestRestartInPartitionedZone(t *testing.T) {
	s := startServing(t, threeZones("merge"))
	e6, e7 := s.find("e6"), s.find("e7")
	s.setRelayMode("zc", stand.RelaySilent)
	s.wait("c3, the control member of zone zc, to know of no leader", func() bool { return !s.isReady(s.find("c3").adminAddr) })
	s.kill("e7")
	minVersion := s.tableVersion(e6)
	assert.Assert(t, minVersion > 0)
	s.startProcess(e7)
	s.wait("e7 to be ready", func() bool { return s.isReady(e7.adminAddr) })
	assert.Assert(t, s.tableVersion(e7) >= minVersion, "e7 has table version %d, but e6 has %d", s.tableVersion(e7), minVersion)
	s.wait("e7 to serve", func() bool {
		status, _, _, err := call(t, e7.callerAddr, "merge", nil)
		return err == nil && status == http.StatusOK
	})
	v := s.changeContract(3, 970)
	s.setRelayMode("zc", stand.RelayForward)
	s.waitForTableVersion(v, "e6", "e7")
}
