package tests

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gotest.tools/v3/assert"
)

// The fields that the tests read of the JSON that the command line prints. Times are
// in milliseconds since the epoch.
type (
	statusView struct {
		Leader    string        `json:"leader"`
		Commit    uint64        `json:"commit"`
		Version   uint64        `json:"version"`
		Processes []processView `json:"processes"`
	}
	processView struct {
		Process string `json:"process"`
		Version uint64 `json:"version"`
		Silent  bool   `json:"silent"`
	}
	instanceView struct {
		Instance     string `json:"instance"`
		Pool         string `json:"pool"`
		Phase        string `json:"phase"`
		Reason       string `json:"reason"`
		MaintainedAt int64  `json:"maintained-ms"`
		Since        int64  `json:"since-ms"`
	}
	// declarationView is declared maintenance. Selected is the number of instances
	// that it selects, and MaintainedCount the number of those that have returned
	// from it.
	declarationView struct {
		Name            string `json:"name"`
		DeclaredAt      int64  `json:"declared-ms"`
		Selected        int    `json:"selected"`
		MaintainedCount int    `json:"maintained"`
		Version         uint64 `json:"version"`
	}
)

// status returns the status of the system. It waits until the command succeeds.
func (s *system) status() statusView {
	s.t.Helper()
	var o statusView
	s.wait("the status", func() bool {
		out, err := s.cli("status", "--json")
		return err == nil && json.Unmarshal([]byte(out), &o) == nil
	})
	return o
}

// leader returns the control process that is the leader.
func (s *system) leader() *process {
	s.t.Helper()
	return s.find(s.status().Leader)
}

// follower returns a control process that is not the leader and not among the named
// ones.
func (s *system) follower(except ...string) *process {
	s.t.Helper()
	except = append(except, s.leader().name)
	for _, c := range s.controls {
		if !strings.Contains(strings.Join(except, " "), c.name) {
			return c
		}
	}
	s.t.Fatal("no other control process")
	return nil
}

// listInstances returns the instances, or an error if the command failed.
func (s *system) listInstances() ([]instanceView, error) {
	out, err := s.cli("instances", "--json")
	if err != nil {
		return nil, err
	}
	var v struct {
		Instances []instanceView `json:"instances"`
	}
	err = json.Unmarshal([]byte(out), &v)
	return v.Instances, err
}

// instances returns the instances. It waits until the command succeeds.
func (s *system) instances() []instanceView {
	s.t.Helper()
	var all []instanceView
	s.wait("the instances", func() (ok bool) {
		var err error
		all, err = s.listInstances()
		return err == nil
	})
	return all
}

// instance returns an instance, or the zero value if it is unknown.
func (s *system) instance(id string) instanceView {
	s.t.Helper()
	for _, i := range s.instances() {
		if i.Instance == id {
			return i
		}
	}
	return instanceView{}
}

// declarations returns the declared maintenance by name. It waits until the command
// succeeds.
func (s *system) declarations() map[string]declarationView {
	s.t.Helper()
	var all map[string]declarationView
	s.wait("the declarations", func() bool {
		out, err := s.cli("maintenance", "list", "--json")
		if err != nil {
			return false
		}
		all, err = parseDeclarations(out)
		return err == nil
	})
	return all
}

func parseDeclarations(out string) (map[string]declarationView, error) {
	var v struct {
		Maintenance []declarationView `json:"maintenance"`
	}
	if err := json.Unmarshal([]byte(out), &v); err != nil {
		return nil, err
	}
	all := map[string]declarationView{}
	for _, d := range v.Maintenance {
		all[d.Name] = d
	}
	return all, nil
}

// declare declares maintenance of an instance that does not exist, which has no
// other effect than the declaration itself. It calls the given control members, or
// all members if none are given.
func (s *system) declare(name string, members ...*process) (string, error) {
	if len(members) == 0 {
		members = s.controls
	}
	return s.cliAt(members, "maintenance", "declare", name, "--instance", "none-"+name,
		"--deadline", "2099-01-01T00:00:00Z", "--base", "0", "--request", "request-"+name, "--author", "test")
}

// declarationResults holds the results of concurrent declarations. accepted maps
// the name of each accepted declaration to the version that the command line
// printed, failed holds the output of each failed one, and count is the number of
// accepted ones.
type declarationResults struct {
	mu       sync.Mutex
	accepted map[string]uint64
	failed   []string
	count    atomic.Int64
}

// startDeclaring declares maintenance in the background until stop is closed or
// n declarations are done. The parameter senders is the number of concurrent senders. It returns the results, and a group to wait for the
// end. A declaration without an answer is sent again with the same request ID, as
// operators do. A refusal, a conflict, and no answer within waitTimeout count as
// failures.
func (s *system) startDeclaring(prefix string, senders, n int, stop <-chan struct{}) (*declarationResults, *sync.WaitGroup) {
	r := &declarationResults{accepted: map[string]uint64{}}
	var next atomic.Int64
	var wg sync.WaitGroup
	for range senders {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				i := int(next.Add(1))
				if i > n {
					return
				}
				if !s.declareUntilAnswered(r, fmt.Sprintf("%s-%04d", prefix, i), stop) {
					return
				}
			}
		}()
	}
	return r, &wg
}

// declareUntilAnswered sends one declaration until it is answered and records
// the result. It returns false if stop is closed before that.
func (s *system) declareUntilAnswered(r *declarationResults, name string, stop <-chan struct{}) bool {
	for deadline := time.Now().Add(waitTimeout); ; {
		select {
		case <-stop:
			return false
		default:
		}
		out, err := s.declare(name)
		var version uint64
		if err == nil {
			_, err = fmt.Sscanf(out, "accepted at version %d", &version)
		}
		r.mu.Lock()
		switch {
		case err == nil:
			r.accepted[name] = version
			r.count.Add(1)
		case strings.Contains(out, "conflict") || strings.Contains(out, "refused:"):
			r.failed = append(r.failed, out)
			err = nil
		case time.Now().After(deadline):
			r.failed = append(r.failed, "no answer: "+out+s.formatMetrics())
			err = nil
		}
		r.mu.Unlock()
		if err == nil {
			return true
		}
	}
}

// check fails the test if a declaration failed, if the control group has not stored
// each accepted one at its version, or if two have the same version.
func (r *declarationResults) check(s *system) {
	s.t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	assert.Equal(s.t, len(r.failed), 0, "%v", r.failed)
	stored := s.declarations()
	byVersion := map[uint64]string{}
	for name, version := range r.accepted {
		assert.Equal(s.t, stored[name].Version, version, "%s is stored at another version than it was accepted at", name)
		assert.Equal(s.t, byVersion[version], "", "%s and another declaration were accepted at the same version", name)
		byVersion[version] = name
	}
}

// waitCaughtUp waits until the commit index of a control process is at least that of
// the leader at the time of the call.
func (s *system) waitCaughtUp(p *process) {
	s.t.Helper()
	want := float64(s.status().Commit)
	s.wait(p.name+" to catch up", func() bool {
		return s.metrics(p)["commit_index"] >= want
	})
}
