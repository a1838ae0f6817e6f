package sched

import (
	"fmt"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// simWorker is one incarnation of a simulated worker. It follows the worker
// protocol: orders with an old token have no effect, a run number is used only
// once, and all runs end when the lease expires.
type simWorker struct {
	id          jobs.WorkerID
	incarnation jobs.Incarnation
	machine     jobs.MachineID
	seq         int64
	token       uint64
	leaseUntil  clock.Millis
	runs        map[jobs.TaskID]*simRun
	// endedRuns holds the highest run number that was stopped or has ended, by
	// task.
	endedRuns map[jobs.TaskID]int
	ends      []RunEnd
	lastEnd   int64
	// heartbeatLeader is the leader that accepted the pending heartbeat.
	heartbeatLeader *simLeader
	// sentAt is when the pending heartbeat was sent; 0 for none.
	sentAt        clock.Millis
	nextHeartbeat clock.Millis
	capacity      jobs.Resources
	down          bool
	// The runs of failing workers all fail, and those of stuck workers make no
	// progress.
	failing, stuck bool
	draining       bool
	pool           jobs.PoolName
	// refusing workers start nothing. Replies to the worker are lost until
	// repliesLostUntil.
	refusing         bool
	repliesLostUntil clock.Millis
}

type simRun struct {
	run        int
	startedAt  clock.Millis
	duration   clock.Millis
	fails      bool
	checkpoint string
	// formed is set once all tasks of the run's gang were running.
	formed bool
}

func (sim *simulation) newWorker(n int) *simWorker {
	sim.nextIncarnation++
	return &simWorker{
		id: jobs.WorkerID(fmt.Sprint("w", n)), incarnation: sim.nextIncarnation, machine: jobs.MachineID(fmt.Sprint("m", n)),
		runs: map[jobs.TaskID]*simRun{}, endedRuns: map[jobs.TaskID]int{}, capacity: jobs.Resources{MilliCores: 4000, MemoryMiB: 4000},
		pool:    "p",
		failing: !sim.faultsOff && sim.rand.IntN(20) == 0, stuck: !sim.faultsOff && sim.rand.IntN(30) == 0,
	}
}

func (sim *simulation) applyReply(reply simReply) {
	w := reply.to
	w.sentAt, w.nextHeartbeat = 0, sim.now+reply.orders.RetryAfter
	if reply.token < w.token {
		return
	}
	w.token = reply.token
	// The worker's clock runs 2% slow.
	w.leaseUntil = max(w.leaseUntil, reply.sentAt+reply.lease+reply.lease/50)
	w.ends = slices.DeleteFunc(w.ends, func(e RunEnd) bool { return e.Number <= reply.orders.AckUpTo })
	for _, s := range reply.orders.Stops {
		w.endedRuns[s.Task] = max(w.endedRuns[s.Task], s.Run)
		if r := w.runs[s.Task]; r != nil && r.run == s.Run {
			w.end(s.Task, r, jobs.ResultStopped)
		}
	}
	for _, s := range reply.orders.Starts {
		sim.startRun(w, s)
	}
}

func (w *simWorker) end(t jobs.TaskID, r *simRun, result jobs.Result) {
	w.lastEnd++
	e := RunEnd{Number: w.lastEnd, Task: t, Run: r.run, Result: result}
	if result != jobs.ResultRefused {
		e.Checkpoint = fmt.Sprint("s", r.run, "-", t.Index)
	}
	w.ends = append(w.ends, e)
	w.endedRuns[t] = max(w.endedRuns[t], r.run)
	delete(w.runs, t)
}

func (sim *simulation) startRun(w *simWorker, s Start) {
	if r := w.runs[s.Task]; r != nil && r.run == s.Run {
		return
	}
	used := jobs.Resources{}
	for t := range w.runs {
		used = used.Plus(sim.committed.Jobs[t.Job].Steps[t.Step].Resources)
	}
	need := sim.committed.Jobs[s.Task.Job].Steps[s.Task.Step].Resources
	if w.refusing || s.Run <= w.endedRuns[s.Task] || !need.FitsIn(w.capacity.Minus(used)) {
		w.end(s.Task, &simRun{run: s.Run}, jobs.ResultRefused)
		return
	}
	sim.checkStart(w, s)
	sim.started[s.Task.Job] = true
	duration := clock.Millis(100 + sim.rand.IntN(900))
	w.runs[s.Task] = &simRun{run: s.Run, startedAt: sim.now, duration: duration, fails: w.failing || sim.rand.IntN(25) == 0, checkpoint: s.Checkpoint}
	sim.checkGang(w, s)
	if sim.checkRunning != nil {
		sim.checkRunning(s.Task)
	}
}

// checkGang checks that the running tasks of a gang share their run number and
// started from the same checkpoint.
func (sim *simulation) checkGang(w *simWorker, s Start) {
	if !sim.committed.Jobs[s.Task.Job].Steps[s.Task.Step].Gang {
		return
	}
	for _, other := range sim.workers {
		for t, r := range other.runs {
			if t.Job != s.Task.Job || t.Occurrence != s.Task.Occurrence || t.Step != s.Task.Step {
				continue
			}
			if r.run == s.Run && r.checkpoint != s.Checkpoint {
				sim.failf("task %v starts from checkpoint %q, but %v of its gang from %q", s.Task, s.Checkpoint, t, r.checkpoint)
			}
			if r.run > s.Run {
				sim.failf("task %v starts run %d on %s while run %d of %v is running", s.Task, s.Run, w.id, r.run, t)
			}
		}
	}
}

// updateGangs starts the work of gangs whose tasks are all running. It stops
// the running tasks of a gang that has lost a task or whose other tasks do not
// start within gangTimeoutMillis.
func (sim *simulation) updateGangs() {
	present := map[runKey]int{}
	for _, w := range sim.workers {
		for t, r := range w.runs {
			present[gangKey(t, r)]++
		}
	}
	for _, w := range sim.workers {
		for t, r := range w.runs {
			step := &sim.committed.Jobs[t.Job].Steps[t.Step]
			complete := present[gangKey(t, r)] == step.TaskCount
			switch {
			case !step.Gang:
			case complete && !r.formed:
				r.formed, r.startedAt = true, sim.now
			case !complete && (r.formed || sim.now-r.startedAt > gangTimeoutMillis):
				w.end(t, r, jobs.ResultStopped)
			}
		}
	}
}

func gangKey(t jobs.TaskID, r *simRun) runKey {
	t.Index = 0
	return runKey{t, r.run}
}

// stepWorker simulates the work of a worker and sends its next heartbeat.
func (sim *simulation) stepWorker(_ int, w *simWorker) {
	if sim.now >= w.leaseUntil {
		for t, r := range w.runs {
			w.end(t, r, jobs.ResultExpired)
		}
	}
	ended := false
	for t, r := range w.runs {
		step := &sim.committed.Jobs[t.Job].Steps[t.Step]
		if step.LongRunning || (step.Gang && !r.formed) || w.stuck || sim.now-r.startedAt < r.duration {
			continue
		}
		result := jobs.ResultDone
		if r.fails {
			result = jobs.ResultFailed
		}
		if step.Gang && result == jobs.ResultDone {
			sim.endGang(t, r)
		} else {
			w.end(t, r, result)
		}
		ended = true
	}
	if w.sentAt != 0 && sim.now-w.sentAt > replyTimeoutMillis {
		w.sentAt = 0
	}
	if ended && w.sentAt == 0 {
		w.nextHeartbeat = min(w.nextHeartbeat, sim.now+60)
	}
	if w.sentAt == 0 && sim.now >= w.nextHeartbeat {
		sim.sendHeartbeat(w)
	}
}

// endGang completes all tasks of a gang.
func (sim *simulation) endGang(task jobs.TaskID, r *simRun) {
	key := gangKey(task, r)
	for _, w := range sim.workers {
		for t, other := range w.runs {
			if gangKey(t, other) == key {
				w.end(t, other, jobs.ResultDone)
			}
		}
	}
}

func (sim *simulation) sendHeartbeat(w *simWorker) {
	w.seq++
	w.sentAt = sim.now
	h := Heartbeat{
		Worker: w.id, Incarnation: w.incarnation, Machine: w.machine, Pool: w.pool, Labels: []string{"a", "r-1"}, Seq: w.seq, Capacity: w.capacity,
		Draining: w.draining, Ends: slices.Clone(w.ends),
	}
	for t, r := range w.runs {
		percent := int(100 * (sim.now - r.startedAt) / r.duration)
		if w.stuck {
			percent = 0
		}
		h.Running = append(h.Running, RunStatus{Task: t, Run: r.run, Percent: min(percent, 99), Checkpoint: fmt.Sprint("s", r.run, "-", t.Index)})
		if sim.committed.Jobs[t.Job].Steps[t.Step].LongRunning {
			h.Running[len(h.Running)-1].Percent = 100
		}
	}
	l := sim.leader
	if sim.stale != nil && sim.rand.IntN(2) == 0 {
		l = sim.stale
	}
	h.ReceivedAt = sim.now + l.clockOffset
	w.heartbeatLeader = nil
	if l.scheduler.Heartbeat(h, h.ReceivedAt) {
		w.heartbeatLeader = l
	}
	if !sim.faultsOff && sim.rand.IntN(50) == 0 {
		// The network may deliver a heartbeat twice.
		l.scheduler.Heartbeat(h, h.ReceivedAt)
	}
}
