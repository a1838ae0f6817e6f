package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of the settings files, in force for the minions.
const (
	maxHold     = 10 * time.Second
	stopTimeout = 200 * time.Millisecond
	gangTimeout = 3 * time.Second
	tick        = 10 * time.Millisecond
)

// work is the specification of a task, as its clients write it.
type work struct {
	Ms   int    `json:"ms"`
	Gang int    `json:"gang,omitempty"`
	CPU  int    `json:"cpu"`
	Fail bool   `json:"fail,omitempty"`
	Save bool   `json:"save,omitempty"`
	Tag  string `json:"tag,omitempty"`
}

// run is one run of a task.
type run struct {
	task, minion string
	number       int
	life         *life
	started      time.Time
	ended        time.Time
	how          string
	// noted is set once the end was acknowledged, and lapsed if the minion's lease lapsed
	// between the end and that.
	noted, lapsed bool
	w             work
	workFrom      time.Time
	saved, from   string
	stopAt        time.Time
}

// life is one incarnation of a minion.
type life struct {
	m       *minion
	born    int64
	seq     int
	lastEnd int
	runs    map[string]*run
	closed  map[string]int
	ends    []endRow
	lease   time.Time
	token   int64
	address string
	next    int
	quit    chan struct{}
	done    chan struct{}
	// lapsed is set while the lease has lapsed, and lapses counts how often it has.
	lapsed bool
	lapses int
}

type endRow struct {
	n      int
	r      *run
	lapses int
}

// minion is a machine with one minion at a time.
type minion struct {
	sys         *system
	rec         *record
	id, machine string
	pool        string
	cpu, mem    int
	// unguarded minions start what does not fit.
	unguarded bool
	// moving and upkeepWave, 0 for none, belong to the stand-in of the platform.
	moving        bool
	upkeepWave    int
	mu            sync.Mutex
	cut, draining bool
	// drainAcked is set once a heartbeat that said draining was acknowledged.
	drainAcked bool
	life       *life
}

func (m *minion) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life != nil {
		return
	}
	l := &life{m: m, born: time.Now().UnixMilli(), runs: map[string]*run{}, closed: map[string]int{}, quit: make(chan struct{}), done: make(chan struct{})}
	m.life, m.draining, m.drainAcked = l, false, false
	m.rec.add("minion %s starts, born %d", m.id, l.born)
	go l.loop()
}

// crash ends the minion and all that runs on it.
func (m *minion) crash() {
	m.mu.Lock()
	l := m.life
	m.life = nil
	m.mu.Unlock()
	if l == nil {
		return
	}
	close(l.quit)
	<-l.done
	m.rec.mu.Lock()
	defer m.rec.mu.Unlock()
	for _, r := range l.runs {
		r.ended, r.how = time.Now(), "crashed"
	}
	m.rec.addLocked("minion %s crashes after %d heartbeats in %d ms", m.id, l.seq, time.Now().UnixMilli()-l.born)
}

// drain announces that the minion shuts down, goes on for a while after that is
// acknowledged, and leaves.
func (m *minion) drain(linger time.Duration) {
	m.mu.Lock()
	m.draining = true
	l := m.life
	m.mu.Unlock()
	if l == nil {
		return
	}
	m.rec.add("minion %s drains", m.id)
	for until := time.Now().Add(8 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		m.mu.Lock()
		acked, same := m.drainAcked, m.life == l
		m.mu.Unlock()
		if !same {
			return
		}
		if acked {
			time.Sleep(2*time.Second + linger)
			break
		}
	}
	m.crash()
	if !m.isCut() {
		for _, target := range m.sys.controlTargets() {
			if send(http.MethodDelete, target, "/camphorridge/instances/"+m.id, "", nil, nil, time.Second).status == http.StatusOK {
				return
			}
		}
	}
}

func (m *minion) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
	m.rec.add("minion %s cut off: %v", m.id, cut)
}

func (m *minion) isCut() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut
}

func (l *life) loop() {
	defer close(l.done)
	replies := make(chan reply, 1)
	var sent time.Time
	waiting, saidDraining := false, false
	nextBeat := time.Now()
	for {
		select {
		case <-l.quit:
			return
		case r := <-replies:
			waiting = false
			pause, ok := 100*time.Millisecond, false
			if r.status == http.StatusOK && time.Since(sent) < time.Second && !l.m.isCut() {
				pause, ok = l.apply(r.body, sent)
				if ok && saidDraining {
					l.m.mu.Lock()
					l.m.drainAcked = true
					l.m.mu.Unlock()
				}
			}
			if !ok {
				l.address = ""
				l.next++
			}
			nextBeat = time.Now().Add(pause)
		case <-time.After(tick):
		}
		if l.advance() {
			if at := time.Now().Add(50 * time.Millisecond); at.Before(nextBeat) {
				nextBeat = at
			}
		}
		if !waiting && !time.Now().Before(nextBeat) {
			waiting, sent = true, time.Now()
			l.m.mu.Lock()
			saidDraining = l.m.draining
			l.m.mu.Unlock()
			go l.beat(l.body(), replies)
		}
	}
}

// beat sends one heartbeat.
func (l *life) beat(body []byte, replies chan reply) {
	if l.m.isCut() {
		time.Sleep(time.Second)
		replies <- reply{}
		return
	}
	target := l.address
	if target == "" {
		targets := l.m.sys.controlTargets()
		target = targets[l.next%len(targets)]
	}
	replies <- send(http.MethodPut, target, "/camphorridge/instances/"+l.m.id, "", nil, body, time.Second)
}

// body returns the next heartbeat.
func (l *life) body() []byte {
	l.seq++
	running, ends := [][]any{}, [][]any{}
	l.m.rec.mu.Lock()
	for _, r := range l.runs {
		running = append(running, []any{r.task, r.number, r.saved, r.percent(), r.w.CPU})
	}
	for _, e := range l.ends {
		ends = append(ends, []any{e.n, e.r.task, e.r.number, e.r.how, e.r.saved})
	}
	l.m.rec.mu.Unlock()
	if len(ends) > 500 {
		ends = ends[:500]
	}
	l.m.mu.Lock()
	state := "ready"
	if l.m.draining {
		state = "draining"
	}
	l.m.mu.Unlock()
	b, _ := json.Marshal(map[string]any{
		"backend": l.m.pool, "address": "127.0.0.1:1", "zone": "z1", "version": "v1", "capacity": 8, "state": state, "warmupLeftMs": 0,
		"freeResources": map[string]int{"cpu": l.m.cpu, "memMb": l.m.mem, "gpu": 0}, "labels": []string{"a", "r1-1"}, "clockMs": time.Now().UnixMilli() - l.born,
		"seq": l.seq, "born": l.born, "machine": l.m.machine, "running": running, "finishedTasks": ends,
	})
	return b
}

// stepOf returns the step of a task with its dot.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')+1] }

// save makes a new checkpoint with each half second of work. It returns true.
func (r *run) save() bool {
	if !r.w.Save {
		return true
	}
	of := r.task
	if r.w.Gang > 0 {
		of = stepOf(r.task)
	}
	if n := int(time.Since(r.workFrom) / (500 * time.Millisecond)); n > 0 {
		r.saved = fmt.Sprintf("%s|%d|%d", of, r.number, n)
	}
	return true
}

func (r *run) percent() int {
	if r.w.Ms == 0 {
		return 100
	}

	if r.workFrom.IsZero() {
		return 0
	}
	return min(99, int(time.Since(r.workFrom).Milliseconds()*100/int64(max(r.w.Ms, 1))))
}

// end ends a run. The record is locked.
func (l *life) end(r *run, how string) {
	r.ended, r.how = time.Now(), how
	l.lastEnd++
	l.ends = append(l.ends, endRow{l.lastEnd, r, l.lapses})
	l.closed[r.task] = max(l.closed[r.task], r.number)
	delete(l.runs, r.task)
	l.m.rec.addLocked("minion %s: run %d of %s ends %s", l.m.id, r.number, r.task, how)
}

// advance ends what is due and reports whether anything has ended.
func (l *life) advance() bool {
	rec := l.m.rec
	rec.mu.Lock()
	defer rec.mu.Unlock()
	before, now := l.lastEnd, time.Now()
	lapsed := now.After(l.lease)
	if lapsed && !l.lapsed {
		l.lapses++
	}
	l.lapsed = lapsed
	for _, r := range l.runs {
		switch {
		case lapsed:
			l.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			l.end(r, "stopped")
		case r.w.Gang > 0:
			r.save()
			l.advanceGang(r, now)
		case r.save() && r.w.Ms > 0 && now.After(r.workFrom.Add(time.Duration(r.w.Ms)*time.Millisecond)):
			if r.w.Fail {
				l.end(r, "failed")
			} else {
				l.end(r, "done")
			}
		}
	}
	return l.lastEnd > before
}

// advanceGang advances a run of a gang, whose tasks work only while all are present.
func (l *life) advanceGang(r *run, now time.Time) {
	step := stepOf(r.task)
	present, done, broken := 0, false, false
	var from time.Time
	for task, runs := range l.m.rec.runs {
		if !strings.HasPrefix(task, step) {
			continue
		}
		for _, x := range runs {
			if x.number != r.number {
				continue
			}
			switch {
			case x.how == "" || x.how == "done":
				present++
				if x.started.After(from) {
					from = x.started
				}
				done = done || x.how == "done"
			default:
				broken = true
			}
		}
	}
	switch {
	case broken:
		l.end(r, "broken")
	case done || (present == r.w.Gang && now.After(from.Add(time.Duration(r.w.Ms)*time.Millisecond))):
		l.end(r, "done")
	case present < r.w.Gang && now.After(r.started.Add(gangTimeout)):
		l.end(r, "alone")
	}
}

// orders is the reply to a heartbeat.
type orders struct {
	HoldMs       int     `json:"holdMs"`
	AckedUpTo    int     `json:"ackedUpTo"`
	FencingToken int64   `json:"fencingToken"`
	Start        [][]any `json:"start"`
	Stop         [][]any `json:"stop"`
	RetryMs      int     `json:"retryMs"`
	HeartbeatURL string  `json:"heartbeatUrl"`
}

// apply carries out the orders of a reply and returns the pause until the next
// heartbeat.
func (l *life) apply(body []byte, sent time.Time) (time.Duration, bool) {
	var o orders
	if err := json.Unmarshal(body, &o); err != nil {
		l.m.rec.broken("a reply to minion %s can't be read: %v", l.m.id, err)
		return 100 * time.Millisecond, false
	}
	rec := l.m.rec
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if o.FencingToken < l.token {
		return 100 * time.Millisecond, true
	}
	l.token = o.FencingToken
	if hold := min(time.Duration(o.HoldMs)*time.Millisecond, maxHold); hold > 0 && sent.Add(hold).After(l.lease) {
		l.lease = sent.Add(hold)
	}
	l.address = o.HeartbeatURL
	l.ends = slices.DeleteFunc(l.ends, func(e endRow) bool {
		if e.n > o.AckedUpTo {
			return false
		}
		e.r.noted, e.r.lapsed = true, e.lapses != l.lapses
		return true
	})
	for _, x := range o.Stop {
		task, n := x[0].(string), int(x[1].(float64))
		l.closed[task] = max(l.closed[task], n)
		if r := l.runs[task]; r != nil && r.number == n && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTimeout / 4)
		}
	}
	if o.HoldMs > 0 {
		for _, x := range o.Start {
			l.startRun(x)
		}
	}
	return time.Duration(o.RetryMs) * time.Millisecond, true
}

// startRun begins a run. The record is locked.
func (l *life) startRun(x []any) {
	task, n, spec, saved := x[0].(string), int(x[1].(float64)), x[2].(string), x[3].(string)
	if r := l.runs[task]; (r != nil && r.number >= n) || n <= l.closed[task] {
		return
	}
	r := &run{task: task, minion: l.m.id, number: n, life: l, started: time.Now(), workFrom: time.Now(), saved: saved, from: saved}
	if err := json.Unmarshal([]byte(spec), &r.w); err != nil {
		l.m.rec.brokenLocked("UNASKED: %s is started with the specification %q", task, spec)
		return
	}
	used := 0
	for _, y := range l.runs {
		used += y.w.CPU
	}
	if used+r.w.CPU > l.m.cpu {
		if !l.m.unguarded {
			l.runs[task] = r
			l.end(r, "refused")
			return
		}
		l.m.rec.brokenLocked("LIMIT: %s brings minion %s to %d of %d", task, l.m.id, used+r.w.CPU, l.m.cpu)
	}
	if ticket := "ticket-" + l.m.id + "-" + strings.TrimSuffix(stepOf(task), "."); r.w.Tag == "advised" && (len(x) < 5 || x[4].(string) != ticket) {
		l.runs[task] = r
		l.end(r, "refused")
		return
	}
	l.m.rec.checkStart(r)
	for _, y := range l.m.rec.runs[task] {
		if y.how == "" {
			l.m.rec.brokenLocked("TWICE: %s is started as run %d on minion %s while run %d is at work on minion %s", task, n, l.m.id, y.number, y.minion)
		}
	}
	l.runs[task] = r
	l.m.rec.runs[task] = append(l.m.rec.runs[task], r)
	l.m.rec.addLocked("minion %s: run %d of %s starts", l.m.id, n, task)
}

// checkStart checks the order, the time and the checkpoint of a start. The record is locked.
func (r *record) checkStart(x *run) {
	parts := strings.Split(x.task, ".")
	j, ok := r.jobs[parts[0]]
	if !ok {
		r.brokenLocked("UNASKED: %s is started, which no client has sent", x.task)
		return
	}
	if at, ok := r.cancelled[parts[0]]; ok && time.Since(at) > 3*time.Second {
		r.brokenLocked("UNASKED: %s is started %d ms after the cancel was acknowledged", x.task, time.Since(at).Milliseconds())
	}
	var k, s int
	_, _ = fmt.Sscan(parts[1], &k)
	_, _ = fmt.Sscan(parts[2], &s)
	if due := j.FirstRunMs + int64(k)*j.IntervalMs; j.Times > 0 && time.Now().UnixMilli() < due-250 {
		r.brokenLocked("ORDER: %s is started %d ms before its time", x.task, due-time.Now().UnixMilli())
	}
	for _, a := range j.Steps[s].After {
		done := 0
		for i := range j.Steps[a].Count {
			if slices.ContainsFunc(r.runs[fmt.Sprintf("%s.%d.%d.%d", parts[0], k, a, i)], func(y *run) bool { return y.how == "done" }) {
				done++
			}
		}
		// One end of a gang's task represents all of them.
		if done < j.Steps[a].Count && (done == 0 || !j.Steps[a].Gang) {
			r.brokenLocked("ORDER: %s is started when %d tasks of step %d are done", x.task, done, a)
		}
	}
	of := x.task
	if j.Steps[s].Gang {
		of = stepOf(x.task)
	}
	if x.saved != "" && !strings.HasPrefix(x.saved, of+"|") {
		r.brokenLocked("UNASKED: %s is started with the checkpoint %q", x.task, x.saved)
	}
	for task, runs := range r.runs {
		if !j.Steps[s].Gang || !strings.HasPrefix(task, of) {
			continue
		}
		for _, y := range runs {
			if y.number == x.number && y.from != x.from {
				r.brokenLocked("UNASKED: run %d of %s is started with the checkpoint %q and %s with %q", x.number, x.task, x.from, task, y.from)
			}
		}
	}
	failed := 0
	for _, y := range r.runs[x.task] {
		if y.how == "failed" && y.noted && !y.lapsed {
			failed++
		}
	}
	if failed >= 4 && !j.Steps[s].LongRunning {
		r.brokenLocked("BUDGET: %s is started after %d runs have failed", x.task, failed)
	}
}

// checkEnds checks that no task was started after a run of it had ended done and was
// taken note of.
func (r *record) checkEnds() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, runs := range r.runs {
		for _, d := range runs {
			if d.how != "done" || !d.noted || d.lapsed {
				continue
			}
			for _, s := range runs {
				if s.started.After(d.ended) {
					r.brokenLocked("TWICE: %s is started as run %d on minion %s after run %d has ended done on minion %s, which is taken note of", task, s.number, s.minion, d.number, d.minion)
				}
			}
		}
	}
}

func newMinions(s *system, n int) []*minion {
	var all []*minion
	for i := range n {
		all = append(all, &minion{sys: s, rec: s.rec, id: fmt.Sprintf("i-%d", i+1), machine: fmt.Sprintf("m-%d", i+1), pool: "pool-1", cpu: 4000, mem: 16000})
	}
	return all
}
