package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// lastingMachines is the number of machines of the pool with the lasting tasks, and mayMiss
// how many of these tasks may be away.
const (
	lastingMachines = 8
	mayMiss         = 1
	// busyTime is long enough for three readings of the list of machines.
	busyTime = 62 * time.Second
)

// newListConfig returns a configuration with a second pool.
func newListConfig(version int) config {
	c := newConfig(version)
	q := c.Routes[0]
	q.Name, q.Host, q.Backend = "r-3", "busy.example", "pool-2"
	c.Routes = append(c.Routes, q)
	s := c.Services[0]
	s.Name = "pool-2"
	c.Services = append(c.Services, s)
	return c
}

// move moves a machine: its minion ends, and a new one starts in the other pool after 1.5 s.
func (c *cloud) move(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.minions, func(m *minion) bool { return m.machine == o.Machine })
	if i < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m := c.minions[i]
	c.sys.rec.add("platform: move of %s, which is in %s, to %s by %s, token %s", o.Machine, m.pool, o.Pool, q.Header.Get("Lease-Holder"), q.Header.Get("Fencing-Token"))
	switch {
	case m.pool == o.Pool:
		return
	case m.moving:
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"reason":"busy"}`))
		return
	}
	c.sys.rec.checkAvailable(m)
	m.moving = true
	m.crash()
	m.pool = o.Pool
	time.AfterFunc(1500*time.Millisecond, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		m.moving = false
		if o.Pool != "pool-off" {
			m.start()
		}
	})
}

// checkAvailable checks whether an order ends a lasting task at work while mayMiss others
// of its step are away by such an order.
func (r *record) checkAvailable(m *minion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, runs := range r.runs {
		last := runs[len(runs)-1]
		if last.w.Tag != "lasting" || last.minion != m.id || last.how != "" {
			continue
		}
		away := 0
		for other, xs := range r.runs {
			if x := xs[len(xs)-1]; other != task && stepOf(other) == stepOf(task) && x.how == "crashed" {
				away++
			}
		}
		if away >= mayMiss {
			r.brokenLocked("AVAIL: an order ends %s at work on minion %s while %d others of its step, which may miss %d, are away", task, m.id, away, mayMiss)
		} else {
			r.addLocked("an order ends %s at work on minion %s", task, m.id)
		}
	}
}

// foreignRows returns entries of another writer, with fields missing, that name machines of
// the pool with the lasting tasks.
func (c *cloud) foreignRows() []map[string]any {
	var rows []map[string]any
	for _, m := range c.minions[:lastingMachines] {
		rows = append(rows, map[string]any{"machine": m.machine, "pool": "pool-off", "state": "up"})
	}
	return rows
}

// playList runs a lasting job in one pool while another pool has more work than it can
// hold. The platform's list of machines has entries of another writer.
func playList(s *system, trouble bool) error {
	minions := newMinions(s, lastingMachines+2)
	minions[lastingMachines].pool, minions[lastingMachines+1].pool = "pool-2", "pool-2"
	c, err := startCloud(s, minions)
	if err != nil {
		return err
	}
	defer func() { _ = c.server.Close() }()
	if err := s.launch(); err != nil {
		return err
	}
	s.configure(newListConfig(2), time.Now().Add(10*time.Second))
	for i, m := range minions {
		// Machines don't send their heartbeats at the same moment.
		time.Sleep(time.Duration(60+i%3*40) * time.Millisecond)
		m.start()
		defer m.crash()
	}
	time.Sleep(2 * time.Second)
	lasting := job{Spec: specOf(work{CPU: 1000, Tag: "lasting"}), Steps: []step{{Count: 6, CPU: 1000, MemMb: 100, LongRunning: true, MayMiss: mayMiss, AntiAffinity: 1}}}
	if !s.submit(jobID(1), host, lasting, time.Now().Add(10*time.Second)) {
		return fmt.Errorf("the lasting job was not accepted")
	}
	time.Sleep(3 * time.Second)
	c.mu.Lock()
	c.foreign = trouble
	c.mu.Unlock()
	busy := job{Spec: specOf(work{Ms: 1000, CPU: 4000}), Steps: []step{{Count: 8, CPU: 4000, MemMb: 100, EstimateMs: 1000}}}
	for n, end := 2, time.Now().Add(busyTime); time.Now().Before(end); n++ {
		s.submit(jobID(n), "busy.example", busy, time.Now().Add(3*time.Second))
		time.Sleep(700 * time.Millisecond)
	}
	return nil
}
