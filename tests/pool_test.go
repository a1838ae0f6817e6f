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
			Entries: s.callerAddrs("za"), Service: "merge", Customer: "acme", Requests: 1_000_000, Workers: 6,
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
