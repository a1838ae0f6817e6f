package tests

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/internal/stand"
)

// TestSurgeMovesSpareInstances guards against an instance that serves two pools at
// the same time during a surge, and against requests that the move of an instance
// cuts off. The load peaks in one pool and then in another, so that instances move
// from the spare pool to the first and then on to the second.
func TestSurgeMovesSpareInstances(t *testing.T) {
	l := threeZones("merge", "audit", "portal", "portal")
	l.requestDuration = 50 * time.Millisecond
	l.controlSettings = "[capacity]\nsurge-keep = 0\n"
	s := startSystem(t, l)
	s.wait("all instances", func() bool {
		out, err := s.cli("instances")
		return err == nil && strings.Count(out, " serving ") == 12
	})
	s.retryCLI("contract", "apply", s.writeFile("acme.ini", `[contract]
customer = acme
covers = instance
queue = 700
[pool merge]
instances = 3
[pool audit]
instances = 3
[disruption]
max-unavailable = 4
budget-ms = 600000
window-ms = 3600000
[spare]
instances = 6
pool = portal
`), "--author", "test")
	s.waitReady()
	for _, pool := range []string{"merge", "audit"} {
		ctx, cancel := context.WithCancel(context.Background())
		sums := make(chan stand.Summary, 1)
		load := stand.Load{
			Entries: s.callerAddrs(""), Service: pool, Customer: "acme",
			Requests: 1_000_000, Concurrency: 120, Timeout: 20 * time.Second, Prefix: "surge-",
		}
		go func() { sums <- load.Run(ctx) }()
		s.wait("spare instances in pool "+pool, func() bool { return s.servingCount(pool) > 3 })
		time.Sleep(2 * time.Second)
		cancel()
		for _, a := range (<-sums).Answers {
			if a.Err == nil {
				assert.Assert(t, a.Outcome == "ran" || a.Outcome == "not-run", "%s ended with outcome %q", a.ID, a.Outcome)
			}
		}
	}
	s.wait("all spare instances to return to the spare pool", func() bool { return s.servingCount("portal") == 6 })
	s.checkPoolsDoNotOverlap()
}

// servingCount returns the number of instances that serve a pool, or 0 if the
// command failed.
func (s *system) servingCount(pool string) int {
	out, err := s.cli("instances")
	if err != nil {
		return 0
	}
	n := 0
	for _, line := range strings.Split(out, "\n") {
		// The fourth column is the pool, and the sixth the phase.
		f := strings.Fields(line)
		if len(f) > 5 && f[3] == pool && f[5] == "serving" {
			n++
		}
	}
	return n
}

// checkPoolsDoNotOverlap checks in the upstreams' records that no instance ran
// requests of two pools at the same time: the first request of a pool may start only
// after all requests of the previous pool have ended.
func (s *system) checkPoolsDoNotOverlap() {
	s.t.Helper()
	moves := 0
	lastRun := map[string]stand.HandledRequest{}
	busyUntil := map[string]clock.Millis{}
	for _, p := range s.platforms {
		for _, r := range p.HandledRequests() {
			previous, ok := lastRun[r.Instance]
			if ok && previous.Pool != r.Pool {
				moves++
				assert.Assert(s.t, r.Started >= busyUntil[r.Instance],
					"instance %s started request %s of pool %s while it ran requests of pool %s", r.Instance, r.ID, r.Pool, previous.Pool)
			}
			lastRun[r.Instance] = r
			busyUntil[r.Instance] = max(busyUntil[r.Instance], r.Ended)
		}
	}
	assert.Assert(s.t, moves > 0, "no instance served two pools in turn")
}
