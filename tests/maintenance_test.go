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

// watchDisruption polls the instances until stop is closed, and sends a message to
// violations for each violation of the disruption budget, which allows one instance
// out of service at a time. Instances in the phases releasing and maintenance are out
// of service. There are two kinds of violation: more than one instance is out of
// service, or an instance is taken out of service although an instance is lost in
// this poll and was lost in the previous one.
func (s *system) watchDisruption(stop <-chan struct{}, violations chan<- string) {
	defer close(violations)
	var outBefore []string
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
			violations <- fmt.Sprintf("%v are out of service at the same time", out)
		}
		for _, id := range out {
			if lost && lostBefore && !slices.Contains(outBefore, id) {
				violations <- fmt.Sprintf("%s was taken out of service while an instance was lost", id)
			}
		}
		outBefore, lostBefore = out, lost
	}
}

// TestMaintenanceUnderFailures guards against requests that maintenance cuts
// off, and against more instances out of service than the contract allows.
// During the maintenance of all instances, an upstream, an entry process and
// the leader are killed and started again.
func TestMaintenanceUnderFailures(t *testing.T) {
	l := threeZones("merge", "merge")
	l.controlSettings = fastMaintenance
	s := startServing(t, l)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sums := make(chan stand.Summary, 1)
	go func() {
		sums <- stand.Load{
			Entries: s.callerAddrs(""), Service: "merge", Customer: "acme", Requests: 1_000_000, Concurrency: 14,
			Timeout: 20 * time.Second, Prefix: "steady", Pause: 10 * time.Millisecond,
		}.Run(ctx)
	}()
	stop, violations := make(chan struct{}), make(chan string, 10_000)
	go s.watchDisruption(stop, violations)
	finish := sync.OnceFunc(func() {
		close(stop)
		for violation := range violations {
			t.Error(violation)
		}
	})
	defer finish()
	s.retryCLI("maintenance", "declare", "all", "--pool", "merge", "--deadline", "1h", "--author", "test")
	waitMaintained := func(n int) {
		t.Helper()
		s.wait(fmt.Sprintf("%d maintained instances", n), func() bool { return s.declarations()["all"].MaintainedCount >= n })
	}
	waitMaintained(1)
	leader := s.leader()
	s.kill(leader.name)
	waitMaintained(2)
	s.startProcess(leader)
	s.kill("e4")
	time.Sleep(time.Second)
	s.startProcess(s.find("e4"))
	waitMaintained(3)
	platform := s.platforms["zb"]
	var u *stand.Upstream
	s.wait("zb-i00 to be up", func() bool {
		u = platform.Upstream("zb-i00")
		return u != nil
	})
	options := u.Options
	options.Address = u.Addr()
	platform.Kill("zb-i00")
	s.wait("the loss to be noticed", func() bool { return strings.HasPrefix(s.instance("zb-i00").Reason, "lost:") })
	assert.NilError(t, platform.Start(options))
	waitMaintained(6)
	finish()
	cancel()
	// The index 3 is that of e4, which is in zone zb like the killed upstream.
	s.checkAnswers(<-sums, "zb-i00", 3)
	for _, i := range s.instances() {
		assert.Equal(t, i.Phase, "serving", "%s", i.Instance)
		assert.Assert(t, i.MaintainedAt >= s.declarations()["all"].DeclaredAt, "%s", i.Instance)
	}
}

// checkAnswers compares the answers of a load with the requests that the upstreams
// handled. Only requests on the killed upstream, or through the killed entry process,
// may have been cut off: killedInstance and s.entries[killedEntryIndex], which are
// both in zone zb. Only entry processes of that zone may answer that the outcome is
// unknown, and only for a request that no upstream handled or that ran on the killed
// one.
func (s *system) checkAnswers(sum stand.Summary, killedInstance string, killedEntryIndex int) {
	s.t.Helper()
	ran := map[string][]string{}
	for _, r := range s.handledRequests() {
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
			assert.Equal(s.t, n%len(s.entries), killedEntryIndex, "%s through %s was cut off: %v", a.ID, through.name, a.Err)
		case a.Outcome == "ran":
			assert.Equal(s.t, len(ran[a.ID]), 1, "%s ran on %v", a.ID, ran[a.ID])
		case a.Outcome == "not-run":
			assert.Equal(s.t, len(ran[a.ID]), 0, "%s was refused but ran on %v", a.ID, ran[a.ID])
		default:
			expected := through.zone == "zb" && (len(ran[a.ID]) == 0 || ran[a.ID][0] == killedInstance)
			assert.Assert(s.t, expected, "%s through %s ended with status %d and outcome %s, and ran on %v", a.ID, through.name, a.Status, a.Outcome, ran[a.ID])
		}
	}
	s.t.Logf("%s", sum)
	assert.Assert(s.t, sum.Counts["200 ran"] > 0)
}
