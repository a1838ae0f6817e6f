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

// fastMaintenance holds settings of control processes with which maintenance is
// fast enough for tests.
const fastMaintenance = "[maintenance]\nstep-ms = 10000\ncanary-ms = 500\nstuck-ms = 20000\n"

// waitForMaintenance waits until an instance is in maintenance and then until it
// serves again. It returns the start and the end of the maintenance as the control
// group recorded them, in milliseconds since the epoch.
func (s *system) waitForMaintenance(id string) (from, to int64) {
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
// while an entry process may still send it requests. First one entry process of the
// zone is frozen, later another is killed. Maintenance must wait for each of them,
// tell operators which one it waits for, and continue when the process is back. No
// request may reach the instance between its confirmed release and its return.
func TestReleaseWaitsForEveryEntry(t *testing.T) {
	l := threeZones("merge", "merge")
	l.controlSettings = fastMaintenance
	s := startServing(t, l)
	platform := s.platforms["za"]
	platform.RebootTime = 1500 * time.Millisecond
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
		stop, resume    func()
	}{
		{
			"za-i00", "e3",
			func() { s.signal("e3", syscall.SIGSTOP) },
			func() { s.signal("e3", syscall.SIGCONT) },
		},
		{
			"za-i01", "e2",
			func() { s.kill("e2") },
			func() { s.startProcess(s.find("e2")) },
		},
	}
	for _, tt := range tests {
		s.wait(tt.instance+" to run requests", func() bool { return len(platform.Upstream(tt.instance).HandledRequests()) > 20 })
		tt.stop()
		s.retryCLI("maintenance", "declare", tt.instance, "--instance", tt.instance, "--deadline", "1h", "--author", "test")
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
		assert.Equal(t, platform.Reboots(tt.instance), 0)
		tt.resume()
		from, to := s.waitForMaintenance(tt.instance)
		assert.Assert(t, platform.Reboots(tt.instance) >= 1)
		for _, r := range platform.HandledRequests() {
			started := int64(r.Started)
			assert.Assert(t, r.Instance != tt.instance || started < from || started >= to,
				"%s ran %s through %s at %d, between its release at %d and its return at %d", r.Instance, r.ID, r.Entry, started, from, to)
		}
	}
	cancel()
	<-done
}

// TestMoveWaitsForEveryEntry guards against an instance that serves two pools at the
// same time. A spare instance replaces a lost one while one entry process of each
// zone is frozen. It must stay in the spare pool until all entry processes have
// confirmed its release, and must run nothing for the new pool before it is assigned
// to it.
func TestMoveWaitsForEveryEntry(t *testing.T) {
	l := threeZones("merge", "merge", "portal")
	l.controlSettings = "[capacity]\nrepair-after-ms = 1000\n"
	s := startSystem(t, l)
	s.wait("the instances", func() bool { return len(s.instances()) == 9 })
	s.retryCLI("contract", "apply", s.writeFile("acme.ini", "[contract]\ncustomer = acme\ncovers = instance\nqueue = 700\n"+
		"[pool merge]\ninstances = 6\n[disruption]\nmax-unavailable = 1\nbudget-ms = 600000\nwindow-ms = 3600000\n"+
		"[spare]\ninstances = 3\npool = portal\n"), "--author", "test")
	s.waitReady()
	frozen := []string{"e3", "e5", "e7"}
	for _, e := range frozen {
		s.signal(e, syscall.SIGSTOP)
	}
	s.platforms["za"].Kill("za-i00")
	s.wait("the loss to be noticed", func() bool {
		return strings.HasPrefix(s.instance("za-i00").Reason, "lost:")
	})
	releasingSpare := func() string {
		for _, i := range s.instances() {
			if i.Pool == "portal" && i.Phase == "releasing" {
				return i.Instance
			}
		}
		return ""
	}
	var id string
	s.wait("a spare instance to be released", func() bool {
		id = releasingSpare()
		return id != ""
	})
	runsOnSpare := func() int {
		n := 0
		for _, r := range s.handledRequests() {
			if r.Instance == id {
				n++
			}
		}
		return n
	}
	deadline := time.Now().Add(3 * time.Second)
	for time.Now().Before(deadline) {
		for _, e := range []string{"e1", "e4", "e6"} {
			_, _, _, err := call(t, s.find(e).callerAddr, "merge", nil)
			assert.NilError(t, err)
		}
		assert.Equal(t, s.instance(id).Pool, "portal")
	}
	assert.Equal(t, runsOnSpare(), 0, "%s served pool merge before it was assigned to it", id)
	for _, e := range frozen {
		s.signal(e, syscall.SIGCONT)
	}
	s.wait(id+" to be assigned", func() bool { return s.instance(id).Pool == "merge" })
	assigned := s.instance(id).Since
	s.wait(id+" to serve", func() bool {
		for _, e := range s.callerAddrs("") {
			_, _, _, _ = call(t, e, "merge", nil)
		}
		return runsOnSpare() > 0
	})
	for _, r := range s.handledRequests() {
		assert.Assert(t, r.Instance != id || int64(r.Started) >= assigned, "%s ran before the assignment", id)
	}
}
