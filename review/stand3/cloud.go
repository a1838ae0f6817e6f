package main

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// cloud stands in for the platform's interface to machines and its advice service.
type cloud struct {
	sys     *system
	minions []*minion
	mu      sync.Mutex
	slow    bool
	waves   map[int]*waveState
	tokens  map[string]int
	server  *http.Server
}

func startCloud(s *system, minions []*minion) (*cloud, error) {
	c := &cloud{sys: s, minions: minions, waves: map[int]*waveState{}, tokens: map[string]int{}}
	l, err := net.Listen("tcp", s.cloudAddr())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /camphorridge/machines", c.machines)
	mux.HandleFunc("POST /camphorridge/machine-move", c.move)
	mux.HandleFunc("POST /camphorridge/machine-upkeep", c.upkeep)
	mux.HandleFunc("POST /camphorridge/advise", c.advise)
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = c.server.Serve(l) }()
	return c, nil
}

func (c *cloud) machines(w http.ResponseWriter, _ *http.Request) {
	rows := []map[string]any{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.minions {
		state := "up"
		if m.moving {
			state = "moving"
		}
		rows = append(rows, map[string]any{
			"machine": m.machine, "pool": m.pool, "state": state, "zone": "z1", "labels": []string{"a", "r1-1"},
			"freeResources": map[string]int{"cpu": m.cpu, "memMb": m.mem, "gpu": 0}, "id": m.id,
		})
	}
	c.sys.rec.add("platform: list of %d machines", len(rows))
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": rows, "nextToken": nil})
}

// upkeepTime is how long an upkeep of a machine takes.
const upkeepTime = 2 * time.Second

// upkeep carries out an upkeep of a machine. While the platform is slow, its answer comes
// late or not at all.
func (c *cloud) upkeep(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder, token := q.Header.Get("Lease-Holder"), q.Header.Get("Fencing-Token")
	c.mu.Lock()
	delay := time.Duration(0)
	if c.slow {
		delay = time.Duration(rand.IntN(4000)) * time.Millisecond
	}
	status := c.begin(o.Machine, o.Wave, holder, token)
	c.mu.Unlock()
	c.sys.rec.add("platform: upkeep of %s for wave %d by %s, token %s: status %d after %v", o.Machine, o.Wave, holder, token, status, delay)
	time.Sleep(delay)
	w.WriteHeader(status)
	if status == http.StatusConflict {
		_, _ = w.Write([]byte(`{"reason":"busy"}`))
	}
}

// begin begins an upkeep unless it is done, and checks the rules for it. c is locked.
func (c *cloud) begin(machine string, wave int, holder, token string) int {
	i := slices.IndexFunc(c.minions, func(m *minion) bool { return m.machine == machine })
	v := c.waves[wave]
	if i < 0 || v == nil || !slices.Contains(v.machines, machine) {
		return http.StatusBadRequest
	}
	n, _ := strconv.Atoi(token)
	if last, ok := c.tokens[machine]; ok && n < last {
		c.sys.rec.broken("ONE: %s is ordered by %s with the token %d after %d", machine, holder, n, last)
	}
	c.tokens[machine] = n
	m := c.minions[i]
	switch {
	case v.begun[machine]:
		return http.StatusOK
	case m.moving:
		return http.StatusConflict
	}
	down := 0
	for _, x := range c.minions {
		if x.upkeepWave == wave {
			down++
		}
	}
	if down >= v.maxDown {
		c.sys.rec.broken("LIMIT: the upkeep of %s begins while %d machines of wave %d are down, cap %d", machine, down, wave, v.maxDown)
	}
	v.begun[machine], m.moving, m.upkeepWave = true, true, wave
	m.crash()
	time.AfterFunc(upkeepTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		m.moving, m.upkeepWave = false, 0
		if m.pool != "pool-off" {
			m.start()
		}
	})
	return http.StatusOK
}

// waveState is a wave as the operator has declared it.
type waveState struct {
	machines []string
	maxDown  int
	begun    map[string]bool
}

// checkWave checks that a wave that is said to be completed is so.
func (c *cloud) checkWave(wave int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.waves[wave]
	for _, m := range v.machines {
		if !v.begun[m] {
			c.sys.rec.broken("MIXED: wave %d is said to be completed, and %s hasn't begun its upkeep", wave, m)
		}
	}
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

// advise approves every second minion.
func (c *cloud) advise(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(time.Duration(20+len(o.Workers)) * time.Millisecond)
	good := [][]string{}
	for _, id := range o.Workers {
		if strings.ContainsAny(id[len(id)-1:], "02468") {
			good = append(good, []string{id, "ticket-" + id + "-" + o.Step})
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"good": good})
}
