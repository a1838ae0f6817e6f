package raft

import (
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"camphorridge/core/state/clock"
)

// schedules is the number of seeded schedules that TestSchedules runs. The
// environment variable named by schedulesEnv can raise the number.
const (
	schedules    = 10_000
	schedulesEnv = "CAMPHORRIDGE_RAFT_SCHEDULES"
)

// TestSchedules guards against violations of the invariants that a simulation checks,
// under message loss, delay, reordering and duplication, partitions, crashes,
// lost disks and membership changes, and against a group that does not recover
// when the faults end.
func TestSchedules(t *testing.T) {
	count := schedules
	if n, err := strconv.Atoi(os.Getenv(schedulesEnv)); err == nil {
		count = max(count, n)
	}
	var next, failed, ops, terms, installs, wipes atomic.Int64
	var wait sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for seed := next.Add(1); seed <= int64(count) && failed.Load() < 5; seed = next.Add(1) {
				sim := runSchedule(uint64(seed))
				ops.Add(int64(len(sim.history)))
				terms.Add(int64(len(sim.leaders)))
				installs.Add(int64(sim.installs))
				wipes.Add(int64(sim.wipes))
				if sim.err != nil {
					failed.Add(1)
					t.Errorf("seed %d: %v", seed, sim.err)
				}
			}
		})
	}
	wait.Wait()
	t.Logf("%d schedules: %d client operations, %d terms with a leader, %d installed snapshots, %d lost disks",
		count, ops.Load(), terms.Load(), installs.Load(), wipes.Load())
	// Schedules with too few of these events would check too little.
	for name, n := range map[string]int64{"operations": ops.Load(), "terms": terms.Load(), "snapshots": installs.Load(), "lost disks": wipes.Load()} {
		assert.Check(t, n >= int64(count)/2, "only %d %s in %d schedules", n, name, count)
	}
}

// runSchedule runs one schedule: a phase with random faults and requests, and
// then a recovery without faults.
func runSchedule(seed uint64) *simulation {
	sim := newSimulation(seed, 5, 3+2*int(seed%2))
	sim.lossPercent, sim.duplicatePercent, sim.maxDelay = sim.random.IntN(20), sim.random.IntN(20), 2+sim.random.IntN(40)
	for i := 0; i < 250 && sim.err == nil; i++ {
		sim.run(clock.Millis(1 + sim.random.IntN(15)))
		sim.injectFault()
		if i%8 == 0 {
			sim.reconcile()
		}
		if i%50 == 0 {
			sim.checkLogs()
		}
	}
	sim.recover()
	return sim
}

// recover ends all faults. It fails if the group does not converge within 20
// seconds of simulated time, does not answer a read afterwards, or has a history
// that is not linearizable.
func (sim *simulation) recover() {
	sim.lossPercent, sim.duplicatePercent, sim.maxDelay = 0, 0, 5
	for _, h := range sim.hosts {
		h.partition, h.slowDisk, h.frozen = 0, false, false
		if h.node == nil {
			sim.start(h)
		}
	}
	for i := 0; i < 2000 && sim.err == nil && (i == 0 || !sim.converged()); i++ {
		sim.run(10)
		sim.reconcile()
	}
	if sim.err == nil && !sim.converged() {
		sim.failf("the group did not converge")
	}
	sim.checkLogs()
	if sim.err != nil {
		return
	}
	if !sim.readBack() {
		sim.failf("the last read was not answered")
	}
	if !sim.linearizable() {
		sim.failf("the history is not linearizable")
	}
}

// readBack repeats a read until the group answers it, at most 40 times, and reports
// whether it was answered. A leader that was partitioned before the recovery may step
// down and drop the first reads.
func (sim *simulation) readBack() bool {
	for try := 0; try < 40 && sim.err == nil; try++ {
		if l := sim.leader(); l != nil {
			sim.submit(l, request{kind: opRead})
		}
		for range 5 {
			sim.run(10)
		}
		if last := len(sim.history) - 1; last >= 0 && sim.history[last].Return != noReturn && sim.history[last].Input.(request).kind == opRead {
			return true
		}
	}
	return false
}

// injectFault performs at most one random request, fault or end of a fault.
func (sim *simulation) injectFault() {
	h := sim.hosts[sim.random.IntN(len(sim.hosts))]
	switch p := sim.random.IntN(200); {
	case p < 50:
		sim.submitRandom(h)
	case p < 54 && h.node != nil:
		sim.crash(h)
	case p < 64 && h.node == nil:
		sim.start(h)
	case p < 66:
		for _, x := range sim.hosts {
			x.partition = sim.random.IntN(2)
		}
	case p < 70:
		for _, x := range sim.hosts {
			x.partition = 0
		}
	case p < 72:
		h.slowDisk = !h.slowDisk
	case p < 74 && sim.canLoseDisk(h):
		sim.wipe(h)
	case p < 76:
		sim.toggleWanted(h)
	case p < 78 && h.node != nil:
		h.frozen = true
	case p < 84:
		h.frozen = false
	}
}

// submitRandom submits a random request, in most cases to the current leader and
// otherwise to the given host. A history has at most 40 requests.
func (sim *simulation) submitRandom(h *host) {
	if l := sim.leader(); l != nil && sim.random.IntN(4) > 0 {
		h = l
	}
	if len(sim.history) >= 40 {
		return
	}
	q := request{kind: "wcr"[sim.random.IntN(3)], new: int64(len(sim.history) + 1)}
	if len(sim.history) > 0 {
		q.old = int64(sim.random.IntN(len(sim.history)) + 1)
	}
	if h.node != nil && sim.random.IntN(2) == 0 {
		q.old = h.value
	}
	sim.submit(h, q)
}

// canLoseDisk reports whether every current member list keeps a quorum without
// the disk of the host. The loss of more disks must stop the group permanently.
func (sim *simulation) canLoseDisk(lost *host) bool {
	for _, h := range sim.hosts {
		n := h.node
		if n == nil {
			n = New(sim.cfg, StoredState{Self: h.self, Snapshot: h.disk.snap, Entries: h.disk.entries}, 0)
		}
		intact := func(id MemberID) bool {
			x := sim.byID(id)
			return x != nil && x != lost
		}
		if len(n.Members()) > 0 && !n.hasQuorum(intact) {
			return false
		}
	}
	return true
}

// toggleWanted changes whether a host should be a member of the group. It keeps
// at least 3 members and does nothing unless the group has converged.
func (sim *simulation) toggleWanted(h *host) {
	wanted := 0
	for _, x := range sim.hosts {
		if x.wanted {
			wanted++
		}
	}
	if l := sim.leader(); l == nil || !sim.converged() {
		return
	}
	if (h.wanted && wanted > 3) || !h.wanted {
		h.wanted = !h.wanted
	}
}

// TestAnyOrder guards against violations of the invariants under an order of
// single events that rapid chooses, so that a failure shrinks to the shortest
// order of events that reproduces it.
func TestAnyOrder(t *testing.T) {
	// 20 runs of 100 checks each are cheap: a check has 30 events and takes
	// 0.2 ms.
	for range 20 {
		rapid.Check(t, checkAnyOrder)
	}
}

func checkAnyOrder(t *rapid.T) {
	sim := newSimulation(rapid.Uint64Range(1, 1000).Draw(t, "seed"), 3, 3)
	for sim.leader() == nil {
		sim.run(5)
	}
	host := func() *host { return sim.hosts[rapid.IntRange(0, 2).Draw(t, "host")] }
	pick := func() Message {
		if len(sim.network) == 0 {
			t.Skip("no message is in flight")
		}
		return sim.network[rapid.IntRange(0, len(sim.network)-1).Draw(t, "message")].m
	}
	t.Repeat(map[string]func(*rapid.T){
		"deliver": func(*rapid.T) { sim.deliver(pick()) },
		"time":    func(t *rapid.T) { sim.run(clock.Millis(rapid.IntRange(1, 150).Draw(t, "ms"))) },
		"request": func(*rapid.T) {
			if len(sim.history) < 30 {
				sim.submit(host(), request{kind: "wcr"[rapid.IntRange(0, 2).Draw(t, "kind")], new: int64(len(sim.history) + 1)})
			}
		},
		"crash": func(*rapid.T) { sim.crash(host()) },
		"start": func(*rapid.T) {
			if h := host(); h.node == nil {
				sim.start(h)
			}
		},
		"": func(t *rapid.T) {
			sim.checkLogs()
			assert.NilError(t, sim.err)
		},
	})
	assert.Assert(t, sim.linearizable())
}
