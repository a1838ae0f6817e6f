package raft

import (
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
)

// losses is the number of seeded days that TestLosses plays. The environment variable
// named by lossesEnv can raise the number.
const (
	losses    = 300
	lossesEnv = "CAMPHORRIDGE_RAFT_LOSSES"
)

// TestLosses guards against a group that loses acknowledged writes, or that cannot
// commit for longer than the users' page allows, after the losses of that page.
func TestLosses(t *testing.T) { testDays(t, false) }

// TestLossesAndFullDisks guards against the same when disks also refuse writes for a
// while, alone and beside the other losses: of the leader, of a follower, of several.
func TestLossesAndFullDisks(t *testing.T) { testDays(t, true) }

// testDays plays seeded days.
func testDays(t *testing.T, fullDisks bool) {
	count := losses
	if n, err := strconv.Atoi(os.Getenv(lossesEnv)); err == nil {
		count = max(count, n)
	}
	if testing.Short() {
		count = losses / 10
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	next, failed, total := 0, 0, map[string]int{}
	take := func() (int, bool) {
		mu.Lock()
		defer mu.Unlock()
		next++
		return next, next <= count && failed < 5
	}
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for seed, ok := take(); ok; seed, ok = take() {
				f := playDay(uint64(seed), fullDisks)
				mu.Lock()
				for name, n := range f.counts {
					total[name] += n
				}
				total["terms"] += len(f.leaders)
				total["operations"] += len(f.history)
				if f.err != nil {
					failed++
					t.Errorf("seed %d, site %+v, beyond the tolerance %t: %v", seed, f.site, beyondTolerance(uint64(seed)), f.err)
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	t.Logf("%d days: %v", count, total)
	// Days with too few of these events would check too little.
	names := []string{"crash", "disk", "gone", "planned", "cut", "frozen", "slow", "set-voters", "remove", "joint"}
	if fullDisks {
		names = append(names, "full")
	}
	for _, name := range names {
		assert.Check(t, total[name] >= count/20, "only %d %s events in %d days", total[name], name, count)
	}
}

// beyondTolerance reports whether the losses of a day may overlap beyond the tolerance,
// as far as no more disks are lost than it allows.
func beyondTolerance(seed uint64) bool { return seed%2 == 0 }

// playDay plays one day: losses at random times, then a final loss, and a recovery.
func playDay(seed uint64, fullDisks bool) *fleet {
	f := newFleet(seed, sites[seed/2%uint64(len(sites))])
	f.fullDisks = fullDisks
	f.lossPercent, f.maxDelay = f.random.IntN(3), 2+f.random.IntN(25)
	next := f.now
	for end := f.now + 10*clock.Second + clock.Millis(f.random.IntN(20_000)); f.now < end && f.err == nil; {
		f.step()
		f.request()
		if (f.now >= next || f.leaderInJointState() && f.random.IntN(3) == 0) && f.injectLoss(beyondTolerance(seed)) {
			// Losses follow each other at once, in quick succession or with time to
			// recover in between.
			next = f.now + []clock.Millis{0, 0, 200, 2000, 9000}[f.random.IntN(5)]
			if beyondTolerance(seed) && f.random.IntN(12) == 0 {
				next = f.now + 20*clock.Second
			}
		}
		if f.now%1000 == 0 {
			f.checkLogs()
		}
	}
	f.finalLoss()
	f.settle()
	return f
}

// request submits a random request to a running process now and then.
func (f *fleet) request() {
	if f.random.IntN(50) > 0 || len(f.hosts) == 0 {
		return
	}
	if h := f.hosts[f.random.IntN(len(f.hosts))]; h.running() {
		f.submitRandom(h)
	}
}

// injectLoss disturbs a random place or several and reports whether it did, which it
// does only within the tolerance or, if beyond is set, within that of disks.
func (f *fleet) injectLoss(beyond bool) bool {
	if f.now < f.places[0].countsUntil && f.now < f.catchUp+2000 {
		return false
	}
	if beyond && f.random.IntN(15) == 0 {
		f.injectAll()
		return true
	}
	p := f.target()
	allowed := f.lost() < f.faults || beyond
	if p == nil || p.disturbed() || (!beyond && f.now < p.countsUntil) || !allowed {
		return false
	}
	if f.random.IntN(5) < 2 {
		if p.replaced || (!p.diskLost && f.disksLost() >= f.faults) {
			return false
		}
		f.loseDisk(p)
	} else {
		f.disturb(p)
	}
	f.disturbance()
	return true
}

// injectAll crashes all machines or splits them into two halves.
func (f *fleet) injectAll() {
	if f.random.IntN(2) == 0 && !f.split {
		f.counts["split"]++
		f.split, f.splitUntil = true, f.now+f.longTime()
		for _, i := range f.random.Perm(len(f.places))[:len(f.places)/2] {
			if h := f.places[i].current; h != nil {
				h.partition = 1
			}
		}
		return
	}
	f.counts["all"]++
	for _, p := range f.places {
		if !p.disturbed() {
			f.stop(p, f.shortTime())
		}
	}
}

// target chooses a place: that of the leader, of the newest or oldest disk, of a
// standby, or any.
func (f *fleet) target() *place {
	bySince := func(a, b *place) int { return int(a.since - b.since) }
	if f.leaderInJointState() {
		return f.placeOf(f.leader())
	}
	switch f.random.IntN(8) {
	case 0, 1:
		if l := f.leader(); l != nil {
			return f.placeOf(l)
		}
	case 2:
		return slices.MaxFunc(f.places, bySince)
	case 3:
		return slices.MinFunc(f.places, bySince)
	case 4:
		l := f.leader()
		for _, p := range f.places {
			if l == nil || p.current == nil {
				continue
			}
			if m, ok := l.node.member(p.current.self.ID); ok && !m.Voter {
				return p
			}
		}
	}
	return f.places[f.random.IntN(len(f.places))]
}

func (f *fleet) placeOf(h *host) *place {
	for _, p := range f.places {
		if p.current == h {
			return p
		}
	}
	return nil
}

// shortTime returns the time until a machine or its successor starts.
func (f *fleet) shortTime() clock.Millis { return clock.Millis(200 + f.random.IntN(1300)) }

// longTime returns the duration of a loss without its disk.
func (f *fleet) longTime() clock.Millis {
	return clock.Millis(100 + f.random.IntN([]int{500, 3000, 10_000}[f.random.IntN(3)]))
}

// stop crashes the machine at a place and starts it again later.
func (f *fleet) stop(p *place, d clock.Millis) {
	f.noteJoint(p)
	h := p.current
	f.crash(h)
	p.restoreAt, p.restore = f.now+d, func() { f.start(h) }
}

func (f *fleet) leaderInJointState() bool {
	l := f.leader()
	return l.running() && l.node.joint()
}

// noteJoint counts the loss of a leader while its member list is joint.
func (f *fleet) noteJoint(p *place) {
	if h := p.current; h != nil && h.node != nil && h.node.Role() == RoleLeader && h.node.joint() {
		f.counts["joint"]++
	}
}

// loseDisk performs a loss with the disk: the machine restarts with an empty one, a
// successor follows after it is gone, or a successor starts before it goes.
func (f *fleet) loseDisk(p *place) {
	p.diskLost = true
	switch f.random.IntN(4) {
	case 0, 1:
		f.counts["disk"]++
		f.stop(p, f.shortTime())
		f.newIdentity(p)
	case 2:
		f.counts["gone"]++
		f.noteJoint(p)
		f.remove(p.current)
		p.current, p.replaced = nil, true
		p.restoreAt, p.restore = f.now+f.shortTime(), func() { f.start(f.occupy(p)) }
	case 3:
		f.counts["planned"]++
		p.retiring, p.retireAt, p.replaced = p.current, f.now+f.longTime(), true
		f.start(f.occupy(p))
	}
}

// disturb performs a loss of a machine that keeps its disk.
func (f *fleet) disturb(p *place) {
	h := p.current
	d := f.longTime()
	if f.fullDisks && f.random.IntN(2) == 0 {
		f.counts["full"]++
		f.noteJoint(p)
		h.fullDisk = true
		p.restoreAt, p.restore = f.now+d, func() { h.fullDisk = false }
		return
	}
	kind := f.random.IntN(8)
	if kind < 2 {
		f.counts["crash"]++
		f.stop(p, d)
		return
	}
	f.noteJoint(p)
	p.restoreAt = f.now + d
	switch kind {
	case 2, 3:
		f.counts["frozen"]++
		h.frozen, h.suspended = true, f.random.IntN(2) == 0
		p.restore = func() { h.frozen, h.suspended = false, false }
	case 4:
		f.counts["slow"]++
		h.diskDelay = []int{200, 800, 5000}[f.random.IntN(3)]
		p.restore = func() { h.diskDelay = 0 }
	default:
		f.counts["cut"]++
		h.cutIn, h.cutOut = kind != 6, kind != 7
		p.restore = func() { h.cutIn, h.cutOut = false, false }
	}
}

// endSplit ends a split of the fleet.
func (f *fleet) endSplit() {
	for _, h := range f.hosts {
		h.partition = 0
	}
	f.split = false
}

// stepUntil advances the fleet until a condition holds, at most for a time, and reports
// whether it holds.
func (f *fleet) stepUntil(limit clock.Millis, holds func() bool) bool {
	for end := f.now + limit; f.now < end && f.err == nil && !holds(); {
		f.step()
	}
	return f.err == nil && holds()
}

// finalLoss waits until nothing counts as lost, and then loses as many disks as the
// tolerance allows directly after a write was acknowledged, in some cases while all other
// machines lose power.
func (f *fleet) finalLoss() {
	f.endSplit()
	quiet := func() bool {
		return f.lost() == 0 && f.disksLost() == 0 && !f.overloaded
	}
	if !f.stepUntil(60*clock.Second, quiet) || !f.acknowledge() {
		return
	}
	places := slices.Clone(f.places)
	f.random.Shuffle(len(places), func(i, j int) { places[i], places[j] = places[j], places[i] })
	if f.random.IntN(3) == 0 {
		slices.SortFunc(places, func(a, b *place) int { return int(b.since - a.since) })
	}
	all := f.random.IntN(2) == 0
	for i, p := range places {
		switch {
		case i < f.faults:
			f.loseDisk(p)
		case all:
			f.stop(p, f.shortTime())
		}
	}
	f.disturbance()
}

// acknowledge submits writes until one is acknowledged.
func (f *fleet) acknowledge() bool {
	op, at := -1, clock.Millis(0)
	return f.stepUntil(10*clock.Second, func() bool {
		if op >= 0 && f.history[op].Return != noReturn {
			return true
		}
		if l := f.leader(); l.running() && f.now >= at {
			op, at = len(f.history), f.now+1000
			f.submit(l, request{kind: opWrite, new: int64(1000 + op)})
		}
		return false
	})
}

// settle waits until all machines are back and have had their time, and verifies that the
// group answers a read and that the history is linearizable.
func (f *fleet) settle() {
	if f.err != nil {
		return
	}
	f.stepUntil(f.recovery+20*clock.Second, func() bool { return f.lost() == 0 && !f.overloaded })
	f.stepUntil(commitBound, func() bool { return false })
	f.checkLogs()
	if f.err == nil && !f.readBack() {
		f.failf("the last read was not answered\n%s", f.describe())
	}
	if f.err == nil && !f.linearizable() {
		f.failf("the history is not linearizable")
	}
}
