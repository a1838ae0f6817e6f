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

// The JSON that the command line prints, as far as the tests read it.
type (
	overview struct {
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
		Instance   string `json:"instance"`
		Pool       string `json:"pool"`
		Phase      string `json:"phase"`
		Reason     string `json:"reason"`
		Maintained int64  `json:"maintained-ms"`
		Since      int64  `json:"since-ms"`
	}
	declarationView struct {
		Name       string `json:"name"`
		Declared   int64  `json:"declared-ms"`
		Selected   int    `json:"selected"`
		Maintained int    `json:"maintained"`
		Version    uint64 `json:"version"`
	}
)

// overview asks the leader for the status until it answers.
func (s *system) overview() overview {
	s.t.Helper()
	var o overview
	s.wait("the status", func() bool {
		out, err := s.cli("status", "--json")
		return err == nil && json.Unmarshal([]byte(out), &o) == nil
	})
	return o
}

// leader is the control process that leads.
func (s *system) leader() *process {
	s.t.Helper()
	return s.find(s.overview().Leader)
}

// follower is a control process that does not lead, other than the ones named.
func (s *system) follower(but ...string) *process {
	s.t.Helper()
	but = append(but, s.leader().name)
	for _, c := range s.controls {
		if !strings.Contains(strings.Join(but, " "), c.name) {
			return c
		}
	}
	s.t.Fatal("no other control process")
	return nil
}

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

func (s *system) instance(id string) instanceView {
	s.t.Helper()
	for _, i := range s.instances() {
		if i.Instance == id {
			return i
		}
	}
	return instanceView{}
}

// declarations returns the declared maintenance by name.
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

// declare declares maintenance of an instance that does not exist, which is a
// change that has no effect beside itself.
func (s *system) declare(name string, members ...*process) (string, error) {
	if len(members) == 0 {
		members = s.controls
	}
	return s.cliAt(members, "maintenance", "declare", name, "--instance", "none-"+name,
		"--deadline", "2099-01-01T00:00:00Z", "--base", "0", "--request", "request-"+name, "--author", "test")
}

// changes are declarations that were accepted, by name, with the version that
// the command line printed.
type changes struct {
	mu       sync.Mutex
	accepted map[string]uint64
	failed   []string
	count    atomic.Int64
}

// stream declares until stop is closed or n declarations were accepted. A
// declaration whose answer was lost is sent again with the same identity, as
// operators do; a refusal, a conflict, or no answer within patience is a
// failure.
func (s *system) stream(prefix string, workers, n int, stop <-chan struct{}) (*changes, *sync.WaitGroup) {
	c := &changes{accepted: map[string]uint64{}}
	var next atomic.Int64
	var wg sync.WaitGroup
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				i := int(next.Add(1))
				if i > n {
					return
				}
				if !s.declareUntilAnswered(c, fmt.Sprintf("%s-%04d", prefix, i), stop) {
					return
				}
			}
		}()
	}
	return c, &wg
}

func (s *system) declareUntilAnswered(c *changes, name string, stop <-chan struct{}) bool {
	for deadline := time.Now().Add(patience); ; {
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
		c.mu.Lock()
		switch {
		case err == nil:
			c.accepted[name] = version
			c.count.Add(1)
		case strings.Contains(out, "conflict") || strings.Contains(out, "refused:"):
			c.failed = append(c.failed, out)
			err = nil
		case time.Now().After(deadline):
			c.failed = append(c.failed, "no answer: "+out+s.describe())
			err = nil
		}
		c.mu.Unlock()
		if err == nil {
			return true
		}
	}
}

// check compares the accepted changes with what the control group holds.
func (c *changes) check(s *system) {
	s.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Equal(s.t, len(c.failed), 0, "%v", c.failed)
	held := s.declarations()
	byVersion := map[uint64]string{}
	for name, version := range c.accepted {
		assert.Equal(s.t, held[name].Version, version, "%s was accepted at another version than it is held at", name)
		assert.Equal(s.t, byVersion[version], "", "%s and another change were accepted at one version", name)
		byVersion[version] = name
	}
}

// caughtUp waits until a control process has committed what the leader had.
func (s *system) caughtUp(p *process) {
	s.t.Helper()
	want := float64(s.overview().Commit)
	s.wait(p.name+" to catch up", func() bool {
		return s.metrics(p)["commit_index"] >= want
	})
}
