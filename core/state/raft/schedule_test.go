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

// schedules is the number of seeded schedules of a run; the environment
// variable raises it for a longer run.
const (
	schedules    = 10_000
	schedulesEnv = "CAMPHORRIDGE_RAFT_SCHEDULES"
)

// TestSchedules guards against every violation that the world checks, under
// loss, delay, reorder, partitions, crashes, lost disks and membership
// changes, and against a group that does not recover once the faults end.
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
				w := chaos(uint64(seed))
				ops.Add(int64(len(w.history)))
				terms.Add(int64(len(w.leaders)))
				installs.Add(int64(w.installs))
				wipes.Add(int64(w.wipes))
				if w.err != nil {
					failed.Add(1)
					t.Errorf("seed %d: %v", seed, w.err)
				}
			}
		})
	}
	wait.Wait()
	t.Logf("%d schedules: %d client operations, %d terms with a leader, %d installed snapshots, %d lost disks",
		count, ops.Load(), terms.Load(), installs.Load(), wipes.Load())
	// A schedule without these events checks little.
	for name, n := range map[string]int64{"operations": ops.Load(), "terms": terms.Load(), "snapshots": installs.Load(), "lost disks": wipes.Load()} {
		assert.Check(t, n >= int64(count)/2, "only %d %s in %d schedules", n, name, count)
	}
}

// chaos runs one schedule: faults for a while, then a time to recover.
func chaos(seed uint64) *world {
	w := newWorld(seed, 5, 3+2*int(seed%2))
	w.loss, w.twice, w.maxDelay = w.r.IntN(20), w.r.IntN(20), 2+w.r.IntN(40)
	for i := 0; i < 250 && w.err == nil; i++ {
		w.run(clock.Millis(1 + w.r.IntN(15)))
		w.disturb()
		if i%8 == 0 {
			w.reconcile()
		}
		if i%50 == 0 {
			w.checkLogs()
		}
	}
	w.recover()
	return w
}

// recover ends all faults and fails when the group does not converge and
// answer within 20 seconds of its own time.
func (w *world) recover() {
	w.loss, w.twice, w.maxDelay = 0, 0, 5
	for _, h := range w.hosts {
		h.side, h.slow, h.frozen = 0, false, false
		if h.node == nil {
			w.start(h)
		}
	}
	for i := 0; i < 2000 && w.err == nil && (i == 0 || !w.converged()); i++ {
		w.run(10)
		w.reconcile()
	}
	if w.err == nil && !w.converged() {
		w.failf("the group did not converge")
	}
	w.checkLogs()
	if w.err != nil {
		return
	}
	if !w.readBack() {
		w.failf("the last read was not answered")
	}
	if !w.linear() {
		w.failf("the history is not linearizable")
	}
}

// readBack reads until the group answers. A leader that was cut off before the
// recovery may step down with the first tries.
func (w *world) readBack() bool {
	for try := 0; try < 40 && w.err == nil; try++ {
		if l := w.leader(); l != nil {
			w.submit(l, request{kind: opRead})
		}
		for range 5 {
			w.run(10)
		}
		if last := len(w.history) - 1; last >= 0 && w.history[last].Return != forever && w.history[last].Input.(request).kind == opRead {
			return true
		}
	}
	return false
}

// disturb makes at most one fault or request.
func (w *world) disturb() {
	h := w.hosts[w.r.IntN(len(w.hosts))]
	switch p := w.r.IntN(200); {
	case p < 50:
		w.request(h)
	case p < 54 && h.node != nil:
		w.crash(h)
	case p < 64 && h.node == nil:
		w.start(h)
	case p < 66:
		for _, x := range w.hosts {
			x.side = w.r.IntN(2)
		}
	case p < 70:
		for _, x := range w.hosts {
			x.side = 0
		}
	case p < 72:
		h.slow = !h.slow
	case p < 74 && w.mayLose(h):
		w.wipe(h)
	case p < 76:
		w.toggle(h)
	case p < 78 && h.node != nil:
		h.frozen = true
	case p < 84:
		h.frozen = false
	}
}

// request sends to the host when it leads, mostly else to the newest leader.
func (w *world) request(h *host) {
	if l := w.leader(); l != nil && w.r.IntN(4) > 0 {
		h = l
	}
	if len(w.history) >= 40 {
		return
	}
	q := request{kind: "wcr"[w.r.IntN(3)], new: int64(len(w.history) + 1)}
	if len(w.history) > 0 {
		q.old = int64(w.r.IntN(len(w.history)) + 1)
	}
	if h.node != nil && w.r.IntN(2) == 0 {
		q.old = h.value
	}
	w.submit(h, q)
}

// mayLose reports whether every member list in use keeps a quorum without the
// host's disk. Losing more stops the group for good, as it must.
func (w *world) mayLose(gone *host) bool {
	for _, h := range w.hosts {
		n := h.node
		if n == nil {
			n = New(w.cfg, StoredState{Self: h.self, Snapshot: h.disk.snap, Entries: h.disk.entries}, 0)
		}
		voters, alive := 0, 0
		for _, m := range n.Members() {
			if m.Voter {
				voters++
				if x := w.byID(m.ID); x != nil && x != gone {
					alive++
				}
			}
		}
		if voters > 0 && alive <= voters/2 {
			return false
		}
	}
	return true
}

// toggle changes whether a host should belong to the group, with at least 3
// members and only while no disk is lost.
func (w *world) toggle(h *host) {
	wanted := 0
	for _, x := range w.hosts {
		if x.wanted {
			wanted++
		}
	}
	if l := w.leader(); l == nil || !w.converged() {
		return
	}
	if (h.wanted && wanted > 3) || !h.wanted {
		h.wanted = !h.wanted
	}
}

// TestAnyOrder lets rapid choose single events, so that a failure shrinks to
// the shortest order of events that breaks a rule.
func TestAnyOrder(t *testing.T) {
	// A check has 30 events and takes 0.2 ms, so 20 runs of rapid's 100 are
	// cheap.
	for range 20 {
		rapid.Check(t, anyOrder)
	}
}

func anyOrder(t *rapid.T) {
	w := newWorld(rapid.Uint64Range(1, 1000).Draw(t, "seed"), 3, 3)
	for w.leader() == nil {
		w.run(5)
	}
	host := func() *host { return w.hosts[rapid.IntRange(0, 2).Draw(t, "host")] }
	take := func() Message {
		if len(w.net) == 0 {
			t.Skip("no message is under way")
		}
		return w.net[rapid.IntRange(0, len(w.net)-1).Draw(t, "message")].m
	}
	t.Repeat(map[string]func(*rapid.T){
		"deliver": func(*rapid.T) { w.deliver(take()) },
		"time":    func(t *rapid.T) { w.run(clock.Millis(rapid.IntRange(1, 150).Draw(t, "ms"))) },
		"request": func(*rapid.T) {
			if len(w.history) < 30 {
				w.submit(host(), request{kind: "wcr"[rapid.IntRange(0, 2).Draw(t, "kind")], new: int64(len(w.history) + 1)})
			}
		},
		"crash": func(*rapid.T) { w.crash(host()) },
		"start": func(*rapid.T) {
			if h := host(); h.node == nil {
				w.start(h)
			}
		},
		"": func(t *rapid.T) {
			w.checkLogs()
			assert.NilError(t, w.err)
		},
	})
	assert.Assert(t, w.linear())
}
