package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The timing of a stand-in worker.
const (
	heartbeatPeriod  = 1500 * time.Millisecond
	heartbeatTimeout = time.Second
	pauseAfterEnd    = 50 * time.Millisecond
	maxLease         = 10 * time.Second
)

// maxReplyBytes is the largest answer to a heartbeat that acknowledges it.
const maxReplyBytes = 4 << 20

// event is the start or the end of a run on a worker.
type event struct {
	at     time.Time
	worker string
	task   string
	run    int
	// how is "start" or how the run ended.
	how string
}

// lastingSpec is the specification of jobs whose tasks run until they are stopped.
const lastingSpec = "lasting"

// worker is a minion that follows the heartbeat protocol. Its tasks take taskTime, except
// those of jobs with lastingSpec.
type worker struct {
	s        *system
	id       string
	machine  string
	pool     string
	zone     string
	born     int64
	taskTime time.Duration
	stopped  chan struct{}
	ended    chan struct{}
	stopOnce sync.Once

	// The fields below belong to the goroutine of loop.
	seq, lastEnd int
	target       string
	next         int
	runs         map[string]*taskRun
	closed       map[string]int
	ends         []runEnd
	leaseUntil   time.Time
	// unreadable is set once an answer could not be parsed.
	unreadable bool

	mu     sync.Mutex
	events []event
	// refused counts the heartbeats in a row without a valid answer.
	refused int
}

type taskRun struct {
	run     int
	lasting bool
	started time.Time
	due     time.Time
}

// startupTime is how long a lasting task takes until it is at work.
const startupTime = 500 * time.Millisecond

// percent returns the progress of the run: 100 for a lasting one that is at work.
func (r *taskRun) percent() int {
	total := r.due.Sub(r.started)
	if r.lasting {
		total = startupTime
	}
	p := int(100 * time.Since(r.started) / total)
	if r.lasting {
		return min(p, 100)
	}
	return min(p, 99)
}

type runEnd struct {
	number, run int
	task, how   string
}

// startWorker starts a worker on a new machine of pool-1.
func (s *system) startWorker(n int, taskTime time.Duration) *worker {
	return s.startWorkerIn("pool-1", n, taskTime)
}

// startWorkerIn starts a worker on a new machine of a pool.
func (s *system) startWorkerIn(pool string, n int, taskTime time.Duration) *worker {
	w := &worker{
		s: s, id: fmt.Sprintf("i-%d", n), machine: fmt.Sprintf("m-%d", n), pool: pool, zone: fmt.Sprintf("zone-%d", 1+n%3), taskTime: taskTime,
	}
	w.begin()
	s.platform.add(w)
	return w
}

// successor starts the next worker of the machine in a pool, under a new id.
func (w *worker) successor(pool string) *worker {
	next := &worker{s: w.s, id: w.id + "x", machine: w.machine, pool: pool, zone: w.zone, taskTime: w.taskTime}
	next.begin()
	return next
}

// begin starts the worker.
func (w *worker) begin() {
	w.born = time.Now().UnixMilli()
	w.stopped, w.ended = make(chan struct{}), make(chan struct{})
	w.runs, w.closed = map[string]*taskRun{}, map[string]int{}
	w.s.mu.Lock()
	w.s.workers = append(w.s.workers, w)
	w.s.mu.Unlock()
	go w.loop()
}

// close ends the worker and everything that runs on it.
func (w *worker) close() {
	w.stopOnce.Do(func() { close(w.stopped) })
	<-w.ended
}

func (w *worker) capacity() map[string]int {
	return map[string]int{"cpu": 16000, "memMb": 32768, "gpu": 0}
}

// loop sends heartbeats, and ends runs that are done or whose lease has ended.
func (w *worker) loop() {
	defer close(w.ended)
	next := time.Now()
	for {
		select {
		case <-w.stopped:
			for _, task := range slices.Sorted(maps.Keys(w.runs)) {
				w.log(task, w.runs[task].run, "terminated")
			}
			return
		case <-time.After(5 * time.Millisecond):
		}
		if w.endRuns() {
			next = earlier(next, time.Now().Add(pauseAfterEnd))
		}
		if time.Now().After(next) {
			next = time.Now().Add(w.heartbeat())
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (w *worker) endRuns() bool {
	ended := false
	now := time.Now()
	for _, task := range slices.Sorted(maps.Keys(w.runs)) {
		switch r := w.runs[task]; {
		case now.After(w.leaseUntil):
			w.end(task, r, "lapsed")
		case !r.lasting && now.After(r.due):
			w.end(task, r, "done")
		default:
			continue
		}
		ended = true
	}
	return ended
}

func (w *worker) end(task string, r *taskRun, how string) {
	w.lastEnd++
	w.ends = append(w.ends, runEnd{number: w.lastEnd, run: r.run, task: task, how: how})
	w.closed[task] = max(w.closed[task], r.run)
	delete(w.runs, task)
	w.log(task, r.run, how)
}

// log records an event.
func (w *worker) log(task string, run int, how string) {
	w.mu.Lock()
	w.events = append(w.events, event{at: time.Now(), worker: w.id, task: task, run: run, how: how})
	w.mu.Unlock()
	w.s.rec.note("worker %s: task %s run %d: %s", w.id, task, run, how)
}

// history returns the events so far.
func (w *worker) history() []event {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.events)
}

// heartbeat sends one heartbeat, following redirects, and returns the time until the
// next one.
func (w *worker) heartbeat() time.Duration {
	w.seq++
	sent := time.Now()
	target := w.target
	if target == "" {
		w.next++
		target = w.s.addr(kindControl, 1+w.next%3, controlPort)
	}
	status, body := w.put(target, w.body())
	var reply struct {
		HoldMs    int     `json:"holdMs"`
		Acked     int     `json:"ackedUpTo"`
		Start     [][]any `json:"start"`
		Stop      [][]any `json:"stop"`
		RetryMs   int     `json:"retryMs"`
		Heartbeat string  `json:"heartbeatUrl"`
	}
	var parseErr error
	if len(body) > maxReplyBytes {
		parseErr = fmt.Errorf("it has %d bytes, more than %d", len(body), maxReplyBytes)
	} else {
		parseErr = json.Unmarshal(body, &reply)
	}
	if status/100 != 2 || parseErr != nil || time.Since(sent) > heartbeatTimeout {
		w.target = ""
		if status/100 == 2 && parseErr != nil && !w.unreadable {
			w.unreadable = true
			w.s.rec.note("worker %s: the answer to a heartbeat can't be used (%v): %.300s", w.id, parseErr, body)
		}
		w.refused++
		if w.refused == 3 {
			w.s.rec.note("worker %s: three heartbeats in a row without an acknowledgement, the last one with status %d", w.id, status)
		}
		return 200 * time.Millisecond
	}
	w.refused = 0
	w.target = reply.Heartbeat
	if reply.HoldMs > 0 {
		hold := min(time.Duration(reply.HoldMs)*time.Millisecond, maxLease)
		if until := sent.Add(hold); until.After(w.leaseUntil) {
			w.leaseUntil = until
		}
	}
	w.ends = slices.DeleteFunc(w.ends, func(e runEnd) bool { return e.number <= reply.Acked })
	for _, x := range reply.Stop {
		w.stop(x)
	}
	for _, x := range reply.Start {
		if reply.HoldMs > 0 {
			w.start(x)
		}
	}
	if reply.RetryMs > 0 {
		return time.Duration(reply.RetryMs) * time.Millisecond
	}
	return heartbeatPeriod
}

func (w *worker) stop(x []any) {
	task, run := taskAndRun(x)
	w.closed[task] = max(w.closed[task], run)
	if r := w.runs[task]; r != nil && r.run == run {
		w.end(task, r, "stopped")
	}
}

func (w *worker) start(x []any) {
	task, run := taskAndRun(x)
	if r := w.runs[task]; (r != nil && r.run >= run) || run <= w.closed[task] {
		return
	}
	now := time.Now()
	w.runs[task] = &taskRun{run: run, lasting: x[2] == lastingSpec, started: now, due: now.Add(w.taskTime)}
	w.log(task, run, "start")
}

func taskAndRun(x []any) (string, int) {
	task, _ := x[0].(string)
	run, _ := x[1].(float64)
	return task, int(run)
}

// body returns the body of a heartbeat.
func (w *worker) body() map[string]any {
	running, ends := [][]any{}, [][]any{}
	for _, task := range slices.Sorted(maps.Keys(w.runs)) {
		r := w.runs[task]
		running = append(running, []any{task, r.run, "", r.percent(), 100})
	}
	for _, e := range w.ends {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{
		"backend": w.pool, "address": "127.0.0.1:8080", "zone": w.zone, "version": "v1", "capacity": 8, "state": "ready", "warmupLeftMs": 0,
		"freeResources": w.capacity(), "labels": []string{"a", "r1-1"}, "clockMs": time.Now().UnixMilli() - w.born, "seq": w.seq, "born": w.born,
		"machine": w.machine, "running": running, "finishedTasks": ends,
	}
}

func (w *worker) put(target string, body map[string]any) (int, []byte) {
	return putHeartbeat(target, w.id, body)
}

// putHeartbeat sends a heartbeat to a control process and follows redirects.
func putHeartbeat(target, id string, body map[string]any) (int, []byte) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil
	}
	q, err := http.NewRequest(http.MethodPut, "http://"+target+"/camphorridge/instances/"+id, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	q.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{Timeout: heartbeatTimeout}).Do(q)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}
