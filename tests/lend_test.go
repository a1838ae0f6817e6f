package tests

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"camphorridge/internal/stand"
)

// upstreamsInOneZone returns a layout whose upstreams all serve the pool merge
// in zone za.
func upstreamsInOneZone(instances int) layout {
	l := threeZones()
	l.upstreams = map[string][]string{"za": strings.Split(strings.Repeat("merge,", instances-1)+"merge", ",")}
	l.requestDuration = 20 * time.Millisecond
	return l
}

// maxRunning returns the largest number of requests that ran at the same time
// on one of the first four upstreams of zone za.
func (s *system) maxRunning() int {
	n := 0
	for _, platform := range s.platforms {
		for i := range 4 {
			if u := platform.Upstream(fmt.Sprintf("za-i%02d", i)); u != nil {
				n = max(n, u.MaxRunning())
			}
		}
	}
	return n
}

// TestLoansServeOtherZones guards against a zone without upstreams that refuses
// its requests, against loans that let an upstream run more requests than it
// has slots, against an instance that is rebooted while a loan of its slots is
// in use, and against loans that stay in use after a partition cuts the borrower off
// from the lender.
func TestLoansServeOtherZones(t *testing.T) {
	s := startServing(t, upstreamsInOneZone(4))
	load := stand.Load{
		Entries: append(s.callerAddrs("zb"), s.callerAddrs("zc")...), Service: "merge", Customer: "acme",
		Requests: 1500, Concurrency: 40, Timeout: 20 * time.Second, Prefix: "spill",
	}
	own := load
	own.Entries, own.Prefix = s.callerAddrs("za"), "own"
	sums := make(chan stand.Summary, 2)
	for _, l := range []stand.Load{load, own} {
		go func() { sums <- l.Run(context.Background()) }()
	}
	ran := map[string]int{}
	for range 2 {
		for _, a := range (<-sums).Answers {
			assert.NilError(t, a.Err)
			switch a.Outcome {
			case "ran":
				ran[strings.TrimRight(a.ID, "0123456789")]++
			case "not-run":
				assert.Equal(t, s.runCount(a.ID), 0, "request %s was refused but ran", a.ID)
			default:
				t.Fatalf("request %s ended with outcome %q", a.ID, a.Outcome)
			}
		}
	}
	t.Logf("ran: %v", ran)
	assert.Assert(t, ran["spillmerge-"] > 100, "%v", ran)
	assert.Assert(t, s.maxRunning() <= 8, "an upstream ran %d requests at the same time, but has 8 slots", s.maxRunning())

	h := http.Header{stand.IDHeader: {"long"}, stand.DelayHeader: {"3000"}, "Camphorridge-Timeout-Ms": {"20000"}}
	done := make(chan error, 1)
	go func() {
		_, _, _, err := call(t, s.callerAddrs("zb")[0], "merge", h)
		done <- err
	}()
	s.wait("the long request to run", func() bool { return s.runCount("long") == 1 })
	instance, u := "", (*stand.Upstream)(nil)
	finished := func() (ok bool) {
		for _, r := range u.HandledRequests() {
			ok = ok || r.ID == "long" && r.Finished
		}
		return ok
	}
	for _, r := range s.handledRequests() {
		if r.ID == "long" {
			instance, u = r.Instance, s.platforms["za"].Upstream(r.Instance)
		}
	}
	s.retryCLI("maintenance", "declare", "reboot", "--instance", instance, "--deadline", "1h", "--author", "test")
	s.wait("the reboot", func() bool {
		if s.platforms["za"].Reboots(instance) == 0 {
			return false
		}
		assert.Assert(t, finished(), "%s was rebooted while it ran a request on a loan", instance)
		return true
	})
	assert.NilError(t, <-done)

	entry := s.callerAddrs("zb")[0]
	s.setRelayMode("zb", stand.RelaySilent)
	s.wait("the loans of the partitioned zone to end", func() bool {
		status, outcome, _, err := call(t, entry, "merge", nil)
		return err == nil && status == http.StatusServiceUnavailable && outcome == "not-run"
	})
	s.setRelayMode("zb", stand.RelayForward)
	s.wait("loans after the partition", func() bool {
		status, _, _, err := call(t, entry, "merge", nil)
		return err == nil && status == http.StatusOK
	})
}

// BenchmarkLending reports the requests served with lending off and on. The
// load goes through the zones that have no upstreams, through one of the three
// entry processes of the zone that has them, or through all three, which need
// no loans.
func BenchmarkLending(b *testing.B) {
	for _, leaseMillis := range []int{0, 2000} {
		for _, load := range []struct {
			name    string
			entries []int
		}{{"other-zones", []int{3, 4, 5, 6}}, {"one-entry", []int{0}}, {"own-zone", []int{0, 1, 2}}} {
			b.Run(fmt.Sprintf("lease=%d/%s", leaseMillis, load.name), func(b *testing.B) {
				l := upstreamsInOneZone(4)
				l.entrySettings = fmt.Sprintf("[lending]\nlease-ms = %d\n", leaseMillis)
				for b.Loop() {
					s := startSystem(b, l)
					// The contract's concurrency is so high that only the slots limit the load.
					s.concurrency = 224
					s.applyContract("acme", 4, "merge")
					s.waitReady()
					s.wait("the upstreams", func() bool {
						out, err := s.cli("instances")
						return err == nil && strings.Count(out, "serving") == 4
					})
					var entries []string
					for _, i := range load.entries {
						entries = append(entries, s.entries[i].callerAddr)
					}
					flood := stand.Load{
						Entries: entries, Service: "merge", Customer: "acme",
						Requests: 4000, Concurrency: 32, Timeout: 20 * time.Second, Prefix: "bench",
					}
					started := time.Now()
					sum := flood.Run(context.Background())
					served := float64(sum.Counts["200 ran"])
					b.ReportMetric(served/time.Since(started).Seconds(), "served/s")
					b.ReportMetric(100*served/float64(len(sum.Answers)), "served-%")
					b.ReportMetric(float64(s.maxRunning()), "most-at-once")
				}
			})
		}
	}
}
