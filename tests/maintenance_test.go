package tests

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"camphorridge/internal/stand"
)

// watchOut polls the instances until stop is closed and reports what breaks
// the budget of one instance at once.
func (s *system) watchOut(stop <-chan struct{}, faults chan<- string) {
	defer close(faults)
	var before []string
	lostBefore := false
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		var out []string
		lost := false
		all, err := s.listInstances()
		if err != nil {
			continue
		}
		for _, i := range all {
			if i.Phase == "releasing" || i.Phase == "maintenance" {
				out = append(out, i.Instance)
			}
			lost = lost || strings.HasPrefix(i.Reason, "lost:")
		}
		if len(out) > 1 {
			faults <- fmt.Sprintf("%v are out of service at once", out)
		}
		for _, id := range out {
			if lost && lostBefore && !slices.Contains(before, id) {
				faults <- fmt.Sprintf("%s was taken out while another instance was lost", id)
			}
		}
		before, lostBefore = out, lost
	}
}

// TestMaintenanceUnderFailures guards against requests that maintenance cuts
// off and against more instances out of service than the contract allows,
// while an upstream, an entry process and the leader are killed and come back
// in the middle of a wave over all instances.
func TestMaintenanceUnderFailures(t *testing.T) {
	l := threeZones("merge", "merge")
	l.control = quick
	s := serving(t, l)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sums := make(chan stand.Summary, 1)
	go func() {
		sums <- stand.Load{
			Entries: s.callerAddrs(""), Service: "merge", Customer: "acme", Requests: 1_000_000, Concurrency: 14,
			Timeout: 20 * time.Second, Prefix: "steady", Pause: 10 * time.Millisecond,
		}.Run(ctx)
	}()
	stop, faults := make(chan struct{}), make(chan string, 10_000)
	go s.watchOut(stop, faults)
	finish := sync.OnceFunc(func() {
		close(stop)
		for fault := range faults {
			t.Error(fault)
		}
	})
	defer finish()
	s.must("maintenance", "declare", "all", "--pool", "merge", "--deadline", "1h", "--author", "test")
	maintained := func(n int) {
		t.Helper()
		s.wait(fmt.Sprintf("%d maintained instances", n), func() bool { return s.declarations()["all"].Maintained >= n })
	}
	maintained(1)
	old := s.leader()
	s.kill(old.name)
	maintained(2)
	s.run(old)
	s.kill("e4")
	time.Sleep(time.Second)
	s.run(s.find("e4"))
	maintained(3)
	f := s.platform["zb"]
	var u *stand.Upstream
	s.wait("zb-i00 to be up", func() bool {
		u = f.Upstream("zb-i00")
		return u != nil
	})
	o := u.Options
	o.Address = u.Addr()
	f.Kill("zb-i00")
	s.wait("the loss to be noticed", func() bool { return strings.HasPrefix(s.instance("zb-i00").Reason, "lost:") })
	assert.NilError(t, f.Start(o))
	maintained(6)
	finish()
	cancel()
	s.checkSteady(<-sums, "zb-i00", 3)
	for _, i := range s.instances() {
		assert.Equal(t, i.Phase, "serving", "%s", i.Instance)
		assert.Assert(t, i.Maintained >= s.declarations()["all"].Declared, "%s", i.Instance)
	}
}

// checkSteady checks the answers of a load against the record. Only requests
// on the killed upstream, or through the killed entry process by its index,
// may have been cut off.
func (s *system) checkSteady(sum stand.Summary, upstream string, entry int) {
	s.t.Helper()
	ran := map[string][]string{}
	for _, r := range s.record() {
		ran[r.ID] = append(ran[r.ID], r.Instance)
	}
	for _, a := range sum.Answers {
		if errors.Is(a.Err, context.Canceled) {
			continue
		}
		var n int
		_, err := fmt.Sscanf(a.ID, "steadymerge-%d", &n)
		assert.NilError(s.t, err)
		through := s.entries[n%len(s.entries)]
		switch {
		case a.Err != nil:
			assert.Equal(s.t, n%len(s.entries), entry, "%s through %s was cut off: %v", a.ID, through.name, a.Err)
		case a.Outcome == "ran":
			assert.Equal(s.t, len(ran[a.ID]), 1, "%s ran on %v", a.ID, ran[a.ID])
		case a.Outcome == "not-run":
			assert.Equal(s.t, len(ran[a.ID]), 0, "%s was refused and ran on %v", a.ID, ran[a.ID])
		default:
			only := through.zone == "zb" && (len(ran[a.ID]) == 0 || ran[a.ID][0] == upstream)
			assert.Assert(s.t, only, "%s through %s ended %d %s and ran on %v", a.ID, through.name, a.Status, a.Outcome, ran[a.ID])
		}
	}
	s.t.Logf("%s", sum)
	assert.Assert(s.t, sum.Counts["200 ran"] > 0)
}
