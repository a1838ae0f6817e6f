package sched

import (
	"cmp"
	"fmt"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/heap"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// Scheduler holds what the leader knows of workers and of waiting work. One duty
// owns it.
type Scheduler[O RankPolicy, J place.HealthPolicy] struct {
	set   Settings
	order O
	judge J
	// State is the leader's copy; it is ahead of the committed one by the
	// operations that are on their way.
	State   *jobs.State
	workers map[jobs.WorkerID]*worker
	// machines holds the latest worker of each machine.
	machines map[jobs.MachineID]*worker
	// ended holds the latest life of each worker that was taken off the board;
	// heartbeats of it that come late are not taken.
	ended map[jobs.WorkerID]jobs.Incarnation
	// failedOn holds the worker that a task failed on last.
	failedOn map[jobs.TaskID]jobs.WorkerID
	pools    map[jobs.PoolName]*pool
	// queues maps the queues in force to their pools.
	queues map[jobs.QueueName]jobs.PoolName
	// placed lists the version of the configuration that queues was made of.
	placed uint64
	// advices holds the rules of the queues in force that have advice.
	advices map[jobs.QueueName]jobs.AdvicePolicy
	advice  advice
	// now is the latest time that a call has told.
	now clock.Millis
	// began is the time at which the leader's term began here.
	began clock.Millis
	waves map[int]*wave
	fleet machines
	// later holds the occurrences that are not due yet.
	later heap.Heap[later]
	// answers holds the heartbeats by the time at which they have to be
	// answered; an entry whose heartbeat was answered or brought forward since
	// is passed over.
	answers heap.Heap[dueBeat]
	// leases holds the workers by the end of their lease; a lease that was
	// renewed since is entered again when its old end comes.
	leases heap.Heap[dueLease]
	// dirty holds the pools with something new for a pass: a present worker or
	// waiting work.
	dirty map[*pool]bool
	// upkeep is the time of the next look at the waves.
	upkeep clock.Millis
	out    Plan
}

// dueBeat is the time at which a heartbeat has to be answered.
type dueBeat struct {
	at   clock.Millis
	beat *waiting
	w    *worker
}

// Before orders by time, and by name for equal times.
func (d dueBeat) Before(e dueBeat) bool {
	return cmp.Or(cmp.Compare(d.at, e.at), cmp.Compare(d.w.id, e.w.id)) < 0
}

// dueLease is the end of a worker's lease.
type dueLease struct {
	at clock.Millis
	w  *worker
}

// Before orders by time, and by name for equal times.
func (d dueLease) Before(e dueLease) bool {
	return cmp.Or(cmp.Compare(d.at, e.at), cmp.Compare(d.w.id, e.w.id)) < 0
}

// worker is one life of a worker.
type worker struct {
	id       jobs.WorkerID
	life     jobs.Incarnation
	machine  jobs.MachineID
	pool     jobs.PoolName
	zone     string
	rack     string
	labels   []string
	seq      int64
	room     jobs.Resources
	used     jobs.Resources
	draining bool
	// known is set once the worker was heard in this term.
	known bool
	// until is the end of the longest lease that the worker may have.
	until clock.Millis
	runs  map[jobs.TaskID]*run
	// strays are runs that the worker lists and that are not assigned to it.
	strays map[jobs.TaskID]stray
	// beat is set while a heartbeat waits for its answer.
	beat *waiting
	// held keeps new tasks off a worker whose machine is to be maintained, and
	// leaving is set from the order on, when its tasks count as away.
	held    bool
	leaving bool
	// streak counts the jobs in a row whose tasks failed here, and lastFailed is
	// the latest of them.
	streak     int
	lastFailed jobs.ID
	// parting keeps new tasks off a worker whose machine another pool needs: it
	// is moved once what runs has ended.
	parting bool
	// expired is set from the end of the lease until the next heartbeat.
	expired bool
	pace    pace
	// idle is the time since which the worker runs nothing.
	idle clock.Millis
	// weight is the evidence against the worker; it is set aside until aside.
	weight float64
	aside  clock.Millis
}

type stray struct {
	run  int
	need jobs.Resources
}

// waiting is a heartbeat whose answer is held back until due.
type waiting struct {
	// due is when the answer has to be sent, once set is true; it only falls.
	due     clock.Millis
	set     bool
	ack     int64
	starts  []Start
	stops   []Stop
	rates   []Throttle
	pressed bool
}

// run is a task that is assigned to a worker.
type run struct {
	task   jobs.TaskID
	number int
	rec    *jobs.Record
	step   *jobs.Step
	// listed is set once the worker lists the run.
	listed  bool
	percent int
	load    int
	saved   string
	// started is when the run was assigned, and moved when its progress was
	// last seen to grow.
	started  clock.Millis
	moved    clock.Millis
	stopping bool
	// why is the reason of a stop.
	why string
}

// New returns a board for a leader whose term begins at now, with the
// committed state. Whatever is assigned may run on its worker until the
// longest lease has ended, even if the worker is never heard.
func New[O RankPolicy, J place.HealthPolicy](set Settings, order O, judge J, s *jobs.State, now clock.Millis) *Scheduler[O, J] {
	b := &Scheduler[O, J]{
		set: set, order: order, judge: judge, State: s, began: now, now: now,
		workers: map[jobs.WorkerID]*worker{}, machines: map[jobs.MachineID]*worker{},
		pools: map[jobs.PoolName]*pool{}, waves: map[int]*wave{},
		dirty: map[*pool]bool{}, fleet: newMachines(), ended: map[jobs.WorkerID]jobs.Incarnation{}, failedOn: map[jobs.TaskID]jobs.WorkerID{},
		advice: newAdvice(),
	}
	b.readConfig()
	for _, r := range s.Jobs {
		b.adopt(r, now)
	}
	for n := range s.Waves {
		b.waves[n] = newWave(s.Waves[n])
	}
	return b
}

// adopt enters a job that was accepted before this term.
func (b *Scheduler[O, J]) adopt(r *jobs.Record, now clock.Millis) {
	for id, t := range r.Tasks() {
		if t.Phase != jobs.PhaseAssigned {
			continue
		}
		w := b.workers[t.Worker]
		if w == nil || w.life < t.Incarnation {
			w = &worker{
				id: t.Worker, life: t.Incarnation, pool: r.Pool, runs: map[jobs.TaskID]*run{},
				until: now + b.longest(), pace: unknownPace(),
			}
			b.workers[t.Worker] = w
			b.leases.Push(dueLease{at: w.until, w: w})
		}
		b.attach(w, &run{task: id, number: t.Run, rec: r, step: &r.Steps[id.Step], started: now, moved: now})
	}
	b.adoptGangs(r)
	b.enter(r, now)
}

// longest is the time after which a lease that was granted at most now has
// ended on the slowest clock.
func (b *Scheduler[O, J]) longest() clock.Millis {
	return b.set.LeaseMillis + b.set.LeaseMillis*b.set.DriftPermille/1000
}

func (b *Scheduler[O, J]) attach(w *worker, r *run) {
	w.runs[r.task] = r
	w.used = w.used.Plus(counted(r.step))
}

func (b *Scheduler[O, J]) detach(w *worker, r *run) {
	delete(w.runs, r.task)
	w.used = w.used.Minus(counted(r.step))
}

// counted is what a task takes of a worker's room. A filler takes processor
// time that others leave.
func counted(s *jobs.Step) jobs.Resources {
	n := s.Resources
	if s.BestEffort {
		n.MilliCores = 0
	}
	return n
}

// apply changes the board's copy and adds the operation to the plan.
func (b *Scheduler[O, J]) apply(o jobs.Op, now clock.Millis) {
	b.State.Apply([]jobs.Op{o}, max(now, b.State.Time))
	b.out.Ops = append(b.out.Ops, o)
}

// PendingOps is the number of operations since the last plan.
func (b *Scheduler[O, J]) PendingOps() int { return len(b.out.Ops) }

// readConfig maps queues to pools once a new configuration is in force.
func (b *Scheduler[O, J]) readConfig() {
	c := &b.State.Config
	if b.queues != nil && c.Version == b.placed {
		return
	}
	b.placed = c.Version
	b.queues = make(map[jobs.QueueName]jobs.PoolName, len(c.Queues))
	b.advices = map[jobs.QueueName]jobs.AdvicePolicy{}
	for _, q := range c.Queues {
		b.queues[q.Name] = q.Pool
		if q.Advice.TicketValidity > 0 {
			b.advices[q.Name] = q.Advice
		}
	}
}

// poolOf is the pool that runs a job: that of its queue, and for a queue that
// was removed that of its submission.
func (b *Scheduler[O, J]) poolOf(r *jobs.Record) jobs.PoolName {
	if p, ok := b.queues[r.Queue]; ok {
		return p
	}
	return r.Pool
}

// Submit accepts a job. A job that is known is left as it is.
func (b *Scheduler[O, J]) Submit(j jobs.Job, now clock.Millis) {
	if b.State.Jobs[j.ID] != nil {
		return
	}
	j.AcceptedAt = max(now, b.State.Time)
	b.apply(jobs.Op{Kind: jobs.OpSubmit, Task: jobs.TaskID{Job: j.ID}, Job: &j}, now)
	rec := b.State.Jobs[j.ID]
	b.enter(rec, now)
	b.noteJob(DecisionAccepted, rec, fmt.Sprintf("queue %s at version %d, %d steps, on time until %d ms from now",
		j.Queue, b.State.Config.Version, len(j.Steps), Deadline(rec, 0)-now), false)
}

// noteEnd explains the final status of a job: how long it took, and for a late
// one what kept it.
func (b *Scheduler[O, J]) noteEnd(r *jobs.Record, now clock.Millis) {
	late := now - Deadline(r, len(r.Occurrences)-1)
	b.forgetAdvice(r)
	reason := fmt.Sprintf("after %d ms", now-r.AcceptedAt)
	if late > 0 && r.Status == jobs.StatusCompleted {
		reason += fmt.Sprintf(", %d ms late", late)
	}
	runs, fails := 0, 0
	for id, t := range r.Tasks() {
		runs += t.Run
		if id.Index == 0 {
			fails += r.Failures(id.Occurrence, id.Step)
		}
	}
	reason += fmt.Sprintf(", %d runs, %d of them failed", runs, fails)
	b.noteJob(finalDecision(r.Status), r, reason, late > 0 || r.Status == jobs.StatusFailed)
}

// Cancel ends a job. It reports false for one that is not known.
func (b *Scheduler[O, J]) Cancel(id jobs.ID, now clock.Millis) bool {
	r := b.State.Jobs[id]
	if r == nil {
		return false
	}
	if !r.Status.Final() {
		b.apply(jobs.Op{Kind: jobs.OpCancel, Task: jobs.TaskID{Job: id}}, now)
		b.noteEnd(r, now)
		b.stopJob(r)
	}
	return true
}

// stopJob orders the end of what runs of a job that is over.
func (b *Scheduler[O, J]) stopJob(r *jobs.Record) {
	for id, t := range r.Tasks() {
		if w, x := b.assigned(id, t); x != nil {
			b.stop(w, x, r.Status.String())
		}
	}
}

// assigned returns the run of an assigned task and its worker; nil for others.
func (b *Scheduler[O, J]) assigned(id jobs.TaskID, t *jobs.TaskState) (*worker, *run) {
	w := b.workers[t.Worker]
	if t.Phase != jobs.PhaseAssigned || w == nil {
		return nil, nil
	}
	return w, w.runs[id]
}

// Configure puts a configuration in force when it is newer.
func (b *Scheduler[O, J]) Configure(c jobs.Config, now clock.Millis) {
	if c.Version <= b.State.Config.Version {
		return
	}
	b.apply(jobs.Op{Kind: jobs.OpConfig, Config: &c}, now)
	b.readConfig()
	b.regroup()
}

// PendingJobs counts the accepted jobs of a queue of which no task has started,
// without scheduled ones.
func (b *Scheduler[O, J]) PendingJobs(q jobs.QueueName) int {
	n := 0
	for _, p := range b.pools {
		seen := map[jobs.ID]bool{}
		for _, g := range p.groups {
			if g.rec.Queue == q && !g.rec.EverAssigned && g.rec.OccurrenceCount == 0 && !g.rec.Status.Final() && !seen[g.rec.ID] {
				seen[g.rec.ID] = true
				n++
			}
		}
	}
	return n
}
