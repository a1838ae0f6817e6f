package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// Timing of a minion.
const (
	tick           = 10 * time.Millisecond
	beatTimeout    = time.Second
	beatAfterEnd   = 50 * time.Millisecond
	stopTakes      = 100 * time.Millisecond
	maxListedEnds  = 500
	checkpointWork = 500 * time.Millisecond
)

// minion is a machine with the minion on it. Its fields are guarded by the lock of the
// fleet, but for those that never change.
type minion struct {
	sys                    *system
	id, machine, pool      string
	labels                 []string
	cpu, mem               int
	guards                 bool
	up                     bool
	born                   int64
	seq                    int
	target                 string
	runs                   map[string]*taskRun
	ends                   []end
	lastEnd                int
	closed                 map[string]int
	leaseUntil             time.Time
	lapses                 int
	endedAt                time.Time
	token                  int64
	stopped                chan struct{}
	refusedBeats, goodBeat atomic.Int64
}

// taskRun is a task that a minion runs.
type taskRun struct {
	name     taskName
	number   int
	step     *step
	started  time.Time
	worked   time.Duration
	ticked   time.Time
	saved    string
	stopping time.Time
	began    bool
}

// end is the end of a run that is not taken note of.
type end struct {
	number int
	task   taskName
	run    int
	how    string
	saved  string
	lapses int
	starts int
}

// start starts a new life of the minion.
func (m *minion) start() {
	f := m.sys.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.up || f.over {
		return
	}
	m.up, m.born, m.seq, m.target = true, time.Now().UnixMilli(), 0, ""
	m.runs, m.ends, m.lastEnd, m.closed, m.token = map[string]*taskRun{}, nil, 0, map[string]int{}, 0
	m.leaseUntil, m.stopped = time.Time{}, make(chan struct{})
	m.sys.rec.note("minion %s starts on %s, service %s, born %d", m.id, m.machine, m.pool, m.born)
	go m.work(m.stopped)
	go m.beat(m.stopped)
}

// crash ends the minion and all that it runs.
func (m *minion) crash(why string) {
	f := m.sys.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !m.up {
		return
	}
	m.up = false
	close(m.stopped)
	for _, r := range m.runs {
		f.ended(m, r, "gone")
	}
	m.runs = map[string]*taskRun{}
	m.sys.rec.note("minion %s ends: %s", m.id, why)
}

// service returns the pool of the machine.
func (m *minion) service() string {
	m.sys.fleet.mu.Lock()
	defer m.sys.fleet.mu.Unlock()
	return m.pool
}

// joins sets the pool of the machine's next minion, which has a new id.
func (m *minion) joins(pool string) {
	m.sys.fleet.mu.Lock()
	defer m.sys.fleet.mu.Unlock()
	m.pool = pool
	m.id += "x"
}

// renew gives the machine's next minion a new id.
func (m *minion) renew() {
	m.sys.fleet.mu.Lock()
	defer m.sys.fleet.mu.Unlock()
	m.id += "u"
}

// entry returns the entry of the machine in the platform's list.
func (m *minion) entry() string {
	m.sys.fleet.mu.Lock()
	defer m.sys.fleet.mu.Unlock()
	state, id := "up", fmt.Sprintf("%q", m.id)
	if !m.up {
		state, id = "upkeep", "null"
	}
	if m.pool == standbyPool {
		state = "up"
	}
	labels, _ := json.Marshal(m.labels)
	return fmt.Sprintf(`{"machine":%q,"pool":%q,"state":%q,"zone":"wien-a","labels":%s,"freeResources":{"cpu":%d,"memMb":%d,"gpu":0},"id":%s}`,
		m.machine, m.pool, state, labels, m.cpu, m.mem, id)
}

// work lets the runs of the minion go on until it ends.
func (m *minion) work(stopped chan struct{}) {
	for {
		select {
		case <-stopped:
			return
		case <-time.After(tick):
		}
		f := m.sys.fleet
		f.mu.Lock()
		if m.stopped == stopped && m.up {
			m.advance(time.Now())
		}
		f.mu.Unlock()
	}
}

// advance ends the runs that are due. The caller holds the lock.
func (m *minion) advance(now time.Time) {
	f := m.sys.fleet
	if !m.leaseUntil.IsZero() && now.After(m.leaseUntil) {
		m.lapses++
		m.leaseUntil = time.Time{}
		if len(m.runs) > 0 {
			m.sys.rec.note("minion %s: the lease has lapsed with %d runs", m.id, len(m.runs))
		}
		for _, r := range m.runs {
			m.endRun(r, "lapsed")
		}
		return
	}
	for _, r := range m.runs {
		waits := r.step.Gang && !r.began
		if waits {
			r.began = f.gangIsPresent(r)
		}
		if !waits {
			r.worked += now.Sub(r.ticked)
		}
		r.ticked = now
		if r.step.Saves && r.worked > 0 {
			r.saved = fmt.Sprintf("%s-%d", r.name.group(), int(r.worked/checkpointWork))
		}
		due := time.Duration(r.step.Millis) * time.Millisecond
		switch {
		case !r.stopping.IsZero():
			if now.After(r.stopping) {
				m.endRun(r, "stopped")
			}
		case waits && now.Sub(r.started) > gangTimeout:
			m.endRun(r, "alone")
		case r.step.Lasts && r.step.FailsOnce && r.number == 1 && r.worked >= due:
			m.endRun(r, "failed")
		case !r.step.Lasts && r.worked >= due && r.step.FailsOnce && r.number == 1:
			m.endRun(r, "failed")
		case !r.step.Lasts && r.worked >= due:
			f.endTogether(r)
		}
	}
}

// endRun ends a run. The caller holds the lock.
func (m *minion) endRun(r *taskRun, how string) {
	m.lastEnd++
	m.endedAt = time.Now()
	delete(m.runs, r.name.String())
	m.closed[r.name.String()] = max(m.closed[r.name.String()], r.number)
	m.ends = append(m.ends, end{m.lastEnd, r.name, r.number, how, r.saved, m.lapses, m.sys.fleet.startsOf(r.name)})
	m.sys.fleet.ended(m, r, how)
	if r.step.Gang && how != "done" {
		m.sys.fleet.breakGang(r)
	}
}

// beat sends heartbeats until the minion ends.
func (m *minion) beat(stopped chan struct{}) {
	next := 0
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for {
		pause := m.beatOnce(client, &next)
		if pause < 0 {
			return
		}
		if !m.pause(stopped, pause) {
			return
		}
	}
}

// pause waits for the next heartbeat: until the pause is over, or a moment after an end.
func (m *minion) pause(stopped chan struct{}, pause time.Duration) bool {
	since := time.Now()
	for time.Since(since) < pause {
		select {
		case <-stopped:
			return false
		case <-time.After(tick / 2):
		}
		m.sys.fleet.mu.Lock()
		ended := m.endedAt
		m.sys.fleet.mu.Unlock()
		if ended.After(since.Add(-beatAfterEnd)) && time.Since(ended) > beatAfterEnd && time.Since(since) > beatAfterEnd {
			return true
		}
	}
	return true
}

// beatOnce sends a heartbeat to one node after the other until one acknowledges it. It
// returns the pause before the next heartbeat, or -1 if the minion has ended.
func (m *minion) beatOnce(client *http.Client, next *int) time.Duration {
	nodes := m.sys.controlAddresses()
	for n := range len(nodes) + 1 {
		m.sys.fleet.mu.Lock()
		if !m.up {
			m.sys.fleet.mu.Unlock()
			return -1
		}
		life := m.born
		m.seq++
		target := m.target
		if target == "" || n > 0 {
			target = nodes[*next%len(nodes)]
			*next++
		}
		body := m.body()
		m.sys.fleet.mu.Unlock()
		sent := time.Now()
		reply, err := m.sys.fleet.put(client, target, m, body)
		m.sys.fleet.mu.Lock()
		if !m.up || m.born != life {
			m.sys.fleet.mu.Unlock()
			return -1
		}
		if err == nil && time.Since(sent) < beatTimeout {
			m.goodBeat.Add(1)
			pause := m.apply(reply, sent)
			m.sys.fleet.mu.Unlock()
			return pause
		}
		m.refusedBeats.Add(1)
		m.target = ""
		m.sys.fleet.mu.Unlock()
	}
	return 200 * time.Millisecond
}

// body returns the body of a heartbeat. The caller holds the lock.
func (m *minion) body() string {
	running := [][]any{}
	for _, r := range m.runs {
		percent := 100
		if !r.step.Lasts {
			percent = min(99, int(100*r.worked/(time.Duration(max(r.step.Millis, 1))*time.Millisecond)))
		}
		running = append(running, []any{r.name.String(), r.number, r.saved, percent})
	}
	ends := [][]any{}
	for _, e := range m.ends[:min(len(m.ends), maxListedEnds)] {
		ends = append(ends, []any{e.number, e.task.String(), e.run, e.how, e.saved})
	}
	b, _ := json.Marshal(map[string]any{
		"backend": m.pool, "address": "127.0.0.1:8080", "zone": "wien-a", "version": "v1", "capacity": 8, "state": "ready", "warmupLeftMs": 0,
		"freeResources": map[string]int{"cpu": m.cpu, "memMb": m.mem, "gpu": 0}, "labels": m.labels, "clockMs": time.Now().UnixMilli() - m.born,
		"seq": m.seq, "born": m.born, "machine": m.machine, "running": running, "finishedTasks": ends,
	})
	return string(b)
}

// reply is the response to a heartbeat.
type reply struct {
	HoldMs       int64   `json:"holdMs"`
	AckedUpTo    int     `json:"ackedUpTo"`
	FencingToken int64   `json:"fencingToken"`
	Start        [][]any `json:"start"`
	Stop         [][]any `json:"stop"`
	RetryMs      int64   `json:"retryMs"`
	HeartbeatURL string  `json:"heartbeatUrl"`
}

// apply applies a response and returns the pause before the next heartbeat. The caller
// holds the lock.
func (m *minion) apply(r *reply, sent time.Time) time.Duration {
	m.target = r.HeartbeatURL
	pause := 1500 * time.Millisecond
	if r.RetryMs > 0 {
		pause = time.Duration(r.RetryMs) * time.Millisecond
	}
	if r.FencingToken < m.token {
		return pause
	}
	m.token = r.FencingToken
	if r.HoldMs > 0 {
		if until := sent.Add(min(time.Duration(r.HoldMs)*time.Millisecond, maxHold)); until.After(m.leaseUntil) {
			m.leaseUntil = until
		}
	}
	m.forget(r.AckedUpTo)
	for _, s := range r.Stop {
		m.order(s, m.stopRun)
	}
	if r.HoldMs > 0 {
		for _, s := range r.Start {
			m.order(s, func(t taskName, run int) { m.startRun(t, run, text(s, 2), text(s, 3)) })
		}
	}
	return pause
}

// forget drops the ends that are taken note of. The caller holds the lock.
func (m *minion) forget(upTo int) {
	kept := m.ends[:0]
	for _, e := range m.ends {
		if e.number > upTo {
			kept = append(kept, e)
			continue
		}
		m.sys.fleet.noted(m, e, m.lapses)
	}
	m.ends = kept
}

func text(row []any, i int) string {
	if i >= len(row) {
		return ""
	}
	s, _ := row[i].(string)
	return s
}

// order calls f with the task and the run of an order.
func (m *minion) order(row []any, f func(taskName, int)) {
	t, ok := parseTask(text(row, 0))
	if len(row) < 2 || !ok {
		m.sys.rec.note("minion %s: unreadable order %v", m.id, row)
		return
	}
	n, _ := row[1].(float64)
	f(t, int(n))
}

func (m *minion) stopRun(t taskName, number int) {
	m.closed[t.String()] = max(m.closed[t.String()], number)
	if r := m.runs[t.String()]; r != nil && r.number == number && r.stopping.IsZero() {
		r.stopping = time.Now().Add(stopTakes)
	}
}

func (m *minion) startRun(t taskName, number int, spec, saved string) {
	name := t.String()
	if r := m.runs[name]; (r != nil && r.number >= number) || number <= m.closed[name] {
		return
	}
	var steps []step
	if json.Unmarshal([]byte(spec), &steps) != nil || len(steps) == 0 {
		m.sys.rec.broken("UNASKED", "minion %s is told to start %s with the spec %.80q", m.id, name, spec)
		return
	}
	now := time.Now()
	r := &taskRun{name: t, number: number, step: &steps[min(t.step, len(steps)-1)], started: now, ticked: now, saved: saved}
	if m.guards && !m.fits(r.step) {
		m.lastEnd++
		m.closed[name] = max(m.closed[name], number)
		m.ends = append(m.ends, end{m.lastEnd, t, number, "refused", saved, m.lapses, 0})
		m.sys.rec.note("minion %s refuses %s run %d for want of room", m.id, name, number)
		return
	}
	m.runs[name] = r
	m.sys.fleet.began(m, r)
}

// fits reports whether a task fits beside the runs. The caller holds the lock.
func (m *minion) fits(s *step) bool {
	cpu, mem := s.CPU, s.Mem
	for _, r := range m.runs {
		cpu, mem = cpu+r.step.CPU, mem+r.step.Mem
	}
	return cpu <= m.cpu && mem <= m.mem
}
