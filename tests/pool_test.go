package tests

import (
	"context"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"camphorridge/internal/stand"
)

// quick makes maintenance fast enough for tests.
const quick = "[maintenance]\nstep-ms = 10000\ncanary-ms = 500\nstuck-ms = 20000\n"

// away follows an instance until it is in maintenance and back, and returns
// the times of both steps by the control group.
func (s *system) away(id string) (from, to int64) {
	s.t.Helper()
	s.wait(id+" to be in maintenance", func() bool {
		i := s.instance(id)
		from = i.Since
		return i.Phase == "maintenance"
	})
	s.wait(id+" to return", func() bool {
		i := s.instance(id)
		to = i.Since
		return i.Phase == "serving"
	})
	return from, to
}

// TestReleaseWaitsForEveryEntry guards against an instance that is rebooted
// while an entry process may still send it requests: one entry process of the
// zone is frozen, then another is killed, and maintenance must wait for each,
// name it, and go on when it is back. No request may reach the instance
// between the confirmed release and its return.
func TestReleaseWaitsForEveryEntry(t *testing.T) {
	l := threeZones("merge", "merge")
	l.control = quick
	s := serving(t, l)
	f := s.platform["za"]
	f.RebootTime = 1500 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan stand.Summary, 1)
	go func() {
		done <- stand.Load{
			Entries: s.callerAddrs("za"), Service: "merge", Customer: "acme", Requests: 1_000_000, Concurrency: 6,
			Timeout: 5 * time.Second, Prefix: "steady", Pause: 5 * time.Millisecond,
		}.Run(ctx)
	}()
	tests := []struct {
		instance, entry string
		stop, back      func()
	}{
		{
			"za-i00", "e3",
			func() { s.signal("e3", syscall.SIGSTOP) },
			func() { s.signal("e3", syscall.SIGCONT) },
		},
		{
			"za-i01", "e2",
			func() { s.kill("e2") },
			func() { s.run(s.find("e2")) },
		},
	}
	for _, tt := range tests {
		s.wait(tt.instance+" to run requests", func() bool { return len(f.Upstream(tt.instance).Record()) > 20 })
		tt.stop()
		s.must("maintenance", "declare", tt.instance, "--instance", tt.instance, "--deadline", "1h", "--author", "test")
		for _, command := range [][]string{{"status"}, {"explain", "instance", tt.instance}} {
			s.wait(command[0]+" to name "+tt.entry, func() bool {
				out, err := s.cli(command...)
				for line := range strings.Lines(out) {
					if err == nil && strings.Contains(line, tt.entry) && (command[0] == "explain" || strings.HasPrefix(line, "waits: instance "+tt.instance)) {
						return true
					}
				}
				return false
			})
		}
		time.Sleep(4 * time.Second)
		assert.Equal(t, s.instance(tt.instance).Phase, "releasing")
		assert.Equal(t, f.Reboots(tt.instance), 0)
		tt.back()
		from, to := s.away(tt.instance)
		assert.Assert(t, f.Reboots(tt.instance) >= 1)
		for _, r := range f.Record() {
			started := int64(r.Started)
			assert.Assert(t, r.Instance != tt.instance || started < from || started >= to,
				"%s ran %s through %s at %d, between its release at %d and its return at %d", r.Instance, r.ID, r.Entry, started, from, to)
		}
	}
	cancel()
	<-done
}

// TestMoveWaitsForEveryEntry guards against an instance that serves two pools:
// a spare instance takes the place of a lost one while an entry process of
// each zone is frozen, and must stay in its pool until all have confirmed the
// release. It may run nothing for the new pool before it was assigned to it.
func TestMoveWaitsForEveryEntry(t *testing.T) {
	l := threeZones("merge", "merge", "portal")
	l.control = "[capacity]\nrepair-after-ms = 1000\n"
	s := start(t, l)
	s.wait("the instances", func() bool { return len(s.instances()) == 9 })
	s.must("contract", "apply", s.write("acme.ini", "[contract]\ncustomer = acme\ncovers = instance\nqueue = 700\n"+
		"[pool merge]\ninstances = 6\n[disruption]\nmax-unavailable = 1\nbudget-ms = 600000\nwindow-ms = 3600000\n"+
		"[spare]\ninstances = 3\npool = portal\n"), "--author", "test")
	s.ready()
	frozen := []string{"e3", "e5", "e7"}
	for _, e := range frozen {
		s.signal(e, syscall.SIGSTOP)
	}
	s.platform["za"].Kill("za-i00")
	s.wait("the loss to be noticed", func() bool {
		return strings.HasPrefix(s.instance("za-i00").Reason, "lost:")
	})
	moving := func() string {
		for _, i := range s.instances() {
			if i.Pool == "portal" && i.Phase == "releasing" {
				return i.Instance
			}
		}
		return ""
	}
	var id string
	s.wait("a spare instance to be released", func() bool {
		id = moving()
		return id != ""
	})
	served := func() int {
		n := 0
		for _, r := range s.record() {
			if r.Instance == id {
				n++
			}
		}
		return n
	}
	deadline := time.Now().Add(3 * time.Second)
	for time.Now().Before(deadline) {
		for _, e := range []string{"e1", "e4", "e6"} {
			_, _, _, err := call(t, s.find(e).callers, "merge", nil)
			assert.NilError(t, err)
		}
		assert.Equal(t, s.instance(id).Pool, "portal")
	}
	assert.Equal(t, served(), 0, "%s served pool merge before it was assigned to it", id)
	for _, e := range frozen {
		s.signal(e, syscall.SIGCONT)
	}
	s.wait(id+" to be assigned", func() bool { return s.instance(id).Pool == "merge" })
	assigned := s.instance(id).Since
	s.wait(id+" to serve", func() bool {
		for _, e := range s.callerAddrs("") {
			_, _, _, _ = call(t, e, "merge", nil)
		}
		return served() > 0
	})
	for _, r := range s.record() {
		assert.Assert(t, r.Instance != id || int64(r.Started) >= assigned, "%s ran before the assignment", id)
	}
}
