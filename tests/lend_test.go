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

// oneZone has all upstreams of the pool merge in zone za.
func oneZone(instances int) layout {
	l := threeZones()
	l.upstreams = map[string][]string{"za": strings.Split(strings.Repeat("merge,", instances-1)+"merge", ",")}
	l.delay = 20 * time.Millisecond
	return l
}

func (s *system) maxRunning() int {
	n := 0
	for _, f := range s.platform {
		for i := range 4 {
			if u := f.Upstream(fmt.Sprintf("za-i%02d", i)); u != nil {
				n = max(n, u.MaxRunning())
			}
		}
	}
	return n
}

// TestLoansServeOtherZones guards against a zone without upstreams that
// refuses its requests, against loans that let an upstream run more than its
// slots, and against an instance that is rebooted while a loan on it is in use.
func TestLoansServeOtherZones(t *testing.T) {
	s := serving(t, oneZone(4))
	load := stand.Load{
		Entries: append(s.callerAddrs("zb"), s.callerAddrs("zc")...), Service: "merge", Customer: "acme",
		Requests: 1500, Workers: 40, Timeout: 20 * time.Second, Prefix: "spill",
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
				assert.Equal(t, s.runsOf(a.ID), 0, "request %s was refused and ran", a.ID)
			default:
				t.Fatalf("request %s ended with outcome %q", a.ID, a.Outcome)
			}
		}
	}
	t.Logf("ran: %v", ran)
	assert.Assert(t, ran["spillmerge-"] > 100, "%v", ran)
	assert.Assert(t, s.maxRunning() <= 8, "an upstream ran %d requests at once", s.maxRunning())

	h := http.Header{stand.IDHeader: {"long"}, stand.DelayHeader: {"3000"}, "Camphorridge-Timeout-Ms": {"20000"}}
	done := make(chan error, 1)
	go func() {
		_, _, _, err := call(t, s.callerAddrs("zb")[0], "merge", h)
		done <- err
	}()
	s.wait("the long request to run", func() bool { return s.runsOf("long") == 1 })
	instance, u := "", (*stand.Upstream)(nil)
	finished := func() (ok bool) {
		for _, r := range u.Record() {
			ok = ok || r.ID == "long" && r.Finished
		}
		return ok
	}
	for _, r := range s.record() {
		if r.ID == "long" {
			instance, u = r.Instance, s.platform["za"].Upstream(r.Instance)
		}
	}
	s.must("maintenance", "declare", "reboot", "--instance", instance, "--deadline", "1h", "--author", "test")
	s.wait("the reboot", func() bool {
		if s.platform["za"].Reboots(instance) == 0 {
			return false
		}
		assert.Assert(t, finished(), "%s was rebooted under a request on a loan", instance)
		return true
	})
	assert.NilError(t, <-done)
}
