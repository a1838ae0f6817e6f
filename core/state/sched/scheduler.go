package sched

import (
	"cmp"
	"fmt"
	"maps"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/heap"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// Scheduler holds the leader's view of the workers and of the waiting work. It
// is not safe for concurrent use.
type Scheduler[P RankPolicy, H place.HealthPolicy] struct {
	settings     Settings
	rankPolicy   P
	healthPolicy H
	// State is the leader's copy. It is ahead of the committed state by the
	// operations that are not committed yet.
	State   *jobs.State
	workers map[jobs.WorkerID]*worker
	// workerByMachine holds the latest worker of each machine.
	workerByMachine map[jobs.MachineID]*worker
	// removedIncarnations holds the latest removed incarnation of each worker.
	// Late heartbeats of this incarnation and earlier ones are rejected.
	removedIncarnations map[jobs.WorkerID]jobs.Incarnation
	// avoided holds the workers that tasks are kept off because of how their runs
	// ended there; an entry may have expired.
	avoided map[jobs.TaskID][]avoidedWorker
	// expiredRuns holds the runs of this term that ended as lost with the lease of their
	// worker, of the jobs that have not ended.
	expiredRuns map[jobs.TaskID][]expiredRun
	// failures holds the failures of the jobs that have not ended.
	failures map[jobs.ID]*jobFailures
	pools    map[jobs.PoolName]*pool
	// poolByQueue maps the configured queues to their pools.
	poolByQueue map[jobs.QueueName]jobs.PoolName
	// configuredPools holds the pools that the configuration names.
	configuredPools map[jobs.PoolName]bool
	// configVersion is the version of the configuration that poolByQueue,
	// configuredPools, queueAdvice, customersByKey, the quotas and the weights were
	// built from.
	configVersion uint64
	// queueAdvice holds the advice policies of the configured queues that have
	// advice.
	queueAdvice map[jobs.QueueName]jobs.AdvicePolicy
	// customersByKey holds the customers of the configuration by the digests of
	// their keys.
	customersByKey map[jobs.KeyDigest]jobs.CustomerName
	// customers holds the customers of the configurations of this term and of the jobs.
	// unblocking holds those with blocked groups that may be allowed to start, and
	// newWaits those whose tasks began to wait for the quota since the latest pass.
	customers  map[jobs.CustomerName]*customer
	unblocking map[*customer]bool
	newWaits   []*customer
	// quotasNotedAt is the time of the latest check for waits that have ended.
	quotasNotedAt clock.Millis
	// placements counts the rounds of placement; the pools take turns by it.
	placements int
	shares     shares
	advice     adviceState
	// now is the latest time passed to New, Heartbeat or Pass.
	now clock.Millis
	// termStart is when this process became leader.
	termStart clock.Millis
	waves     map[int]*wave
	// cordons holds the machines whose workers are cordoned.
	cordons map[jobs.MachineID]bool
	// maintenanceDue holds the machines of open waves whose maintenance has not started.
	maintenanceDue map[jobs.MachineID]bool
	// absences holds the machines of waves that may no longer exist.
	absences map[jobs.MachineID]*absence
	fleet    machineFleet
	takeover takeover
	// pending holds the jobs without a schedule that have not ended and of which
	// no task is known to have started on a worker.
	pending map[jobs.ID]*jobs.Record
	// pendingByQueue holds the number of the pending jobs of each queue.
	pendingByQueue map[jobs.QueueName]int
	// scheduled holds the occurrences that are due later than queuedUntil. Tasks of
	// the others are queued as soon as they wait and their step is ready.
	scheduled   heap.Heap[scheduledOccurrence]
	queuedUntil clock.Millis
	// replyDeadlines orders the heartbeats by the time at which they must be
	// answered. An entry is skipped if its heartbeat has been answered or must
	// now be answered at an earlier time.
	replyDeadlines heap.Heap[replyDeadline]
	// leaseEnds orders the workers by the end of their lease. If the lease has
	// been renewed when the end in an entry is reached, the entry is replaced
	// by one with the new end.
	leaseEnds heap.Heap[leaseEnd]
	pace      pace
	// dirtyPools holds the pools with newly available workers or new waiting
	// work; the next pass places tasks only in these.
	dirtyPools map[*pool]bool
	// nextWaveCheck is when the waves are advanced next.
	nextWaveCheck clock.Millis
	// waitingNotedAt is the time of the latest notes on long-running tasks that do
	// not run.
	waitingNotedAt clock.Millis
	plan           Plan
}

// replyDeadline is the time at which a heartbeat must be answered.
type replyDeadline struct {
	at        clock.Millis
	heartbeat *pendingHeartbeat
	w         *worker
}

// Before orders by time, then worker ID.
func (d replyDeadline) Before(e replyDeadline) bool {
	return cmp.Or(cmp.Compare(d.at, e.at), cmp.Compare(d.w.id, e.w.id)) < 0
}

// leaseEnd is the end of a worker's lease.
type leaseEnd struct {
	at clock.Millis
	w  *worker
}

// Before orders by time, then worker ID.
func (d leaseEnd) Before(e leaseEnd) bool {
	return cmp.Or(cmp.Compare(d.at, e.at), cmp.Compare(d.w.id, e.w.id)) < 0
}

// worker is one incarnation of a worker.
type worker struct {
	id          jobs.WorkerID
	incarnation jobs.Incarnation
	machine     jobs.MachineID
	pool        jobs.PoolName
	zone        string
	rack        string
	labels      []string
	seq         int64
	// heardAt is when the latest heartbeat in this term arrived; 0 for none.
	heardAt  clock.Millis
	capacity jobs.Resources
	used     jobs.Resources
	draining bool
	// reported is set once the worker has sent a heartbeat in this term.
	reported bool
	// repliedAt is the time of the first reply to the worker in this term; 0 for none.
	// confirmed is set once a heartbeat has followed it, or no late heartbeat can
	// arrive any more.
	repliedAt clock.Millis
	confirmed bool
	// leaseUntil is the end of the longest lease that the worker may have.
	leaseUntil clock.Millis
	runs       map[jobs.TaskID]*run
	// unassigned holds the stop orders for the runs that the worker lists although
	// they are not assigned to it. used is the sum of their reservations and of those
	// of runs.
	unassigned map[Stop]unassignedRun
	// heartbeat is the heartbeat that waits for its reply; nil for none.
	heartbeat *pendingHeartbeat
	// cordoned keeps new tasks off a worker whose machine is to be maintained
	// soon, except long-running ones that no other worker takes. Only updateCordons
	// changes it. goingDown is set while a maintenance or a move of the machine that
	// was ordered for this incarnation is open; the worker's tasks count as
	// unavailable then. Only updateGoingDown changes it.
	cordoned  bool
	goingDown bool
	// vacating keeps new tasks off a worker whose machine another pool needs.
	// The machine is moved once the running tasks have ended.
	vacating bool
	// leaseExpired is set from the end of the lease until the next heartbeat.
	leaseExpired bool
	speed        speed
	// idleSince is when updatePoolLoads first found that the worker runs
	// nothing; 0 if it runs something.
	idleSince clock.Millis
	// failureScore measures the evidence that the worker itself is faulty.
	// failedJobs holds the jobs whose failures count against the worker, since
	// its latest successful run and its latest quarantine. The worker is
	// quarantined until quarantinedUntil; 0 if it is not.
	failureScore     float64
	failedJobs       map[jobs.ID]bool
	quarantinedUntil clock.Millis
}

// pendingHeartbeat is a heartbeat whose reply is delayed until replyBy.
type pendingHeartbeat struct {
	// replyBy is valid if hasReplyBy is set; it can only be brought forward.
	replyBy    clock.Millis
	hasReplyBy bool
	ackUpTo    int64
	starts     []Start
	stops      []Stop
	throttles  []Throttle
	// urgent is set if the reply must not be delayed.
	urgent bool
}

// run is a task that is assigned to a worker.
type run struct {
	task   jobs.TaskID
	number int
	rec    *jobs.Record
	step   *jobs.Step
	// customer is that of the job. addRun sets it.
	customer *customer
	// listed is set if the worker's latest heartbeat lists the run. Otherwise,
	// unlistedSince is when the first heartbeat in a row without it was processed; 0
	// for none.
	listed        bool
	unlistedSince clock.Millis
	// percent and load are those of the latest RunStatus; RunStatus.Load says in
	// which unit load is. checkpoint is the latest checkpoint that is not empty.
	percent    int
	load       int
	checkpoint string
	// assignedAt is when the run was assigned. progressedAt is when its progress
	// was last seen to change. New sets both to the start of the term for a run
	// of an earlier term.
	assignedAt   clock.Millis
	progressedAt clock.Millis
	stopping     bool
	stopReason   string
	// hold is what the run holds for its customer's share.
	hold hold
}

// unassignedRun is a run that a worker lists although it is not assigned to it.
type unassignedRun struct {
	// customer is nil for a job without a customer and for an unknown one, of which
	// the resources are unknown too.
	customer *customer
	// resources are the full resources of the step, and reserved what the run
	// reserves on its worker.
	resources jobs.Resources
	reserved  jobs.Resources
}

// New returns the scheduler of a leader whose term starts at now. state is a
// copy of the committed state. A task that is assigned in it may run on its
// worker until the longest possible lease has ended, even if the worker never
// sends a heartbeat.
func New[P RankPolicy, H place.HealthPolicy](settings Settings, policy P, health H, state *jobs.State, now clock.Millis) *Scheduler[P, H] {
	s := &Scheduler[P, H]{
		settings: settings, rankPolicy: policy, healthPolicy: health, State: state, termStart: now, now: now, queuedUntil: now,
		workers: map[jobs.WorkerID]*worker{}, workerByMachine: map[jobs.MachineID]*worker{},
		pools: map[jobs.PoolName]*pool{}, waves: map[int]*wave{}, maintenanceDue: map[jobs.MachineID]bool{}, absences: map[jobs.MachineID]*absence{},
		dirtyPools: map[*pool]bool{}, fleet: newMachineFleet(), removedIncarnations: map[jobs.WorkerID]jobs.Incarnation{},
		avoided: map[jobs.TaskID][]avoidedWorker{}, expiredRuns: map[jobs.TaskID][]expiredRun{}, failures: map[jobs.ID]*jobFailures{},
		customers: map[jobs.CustomerName]*customer{}, unblocking: map[*customer]bool{}, advice: newAdviceState(),
		pending: map[jobs.ID]*jobs.Record{}, pendingByQueue: map[jobs.QueueName]int{},
	}
	s.shares = newShares(settings.ShareWindowMillis)
	s.readConfig()
	s.takeover = newTakeover(state, max(settings.TakeoverDelayMillis, 2*settings.MaintenanceMillis))
	s.restoreMoves(now)
	s.shares.restore(state)
	for _, rec := range state.Jobs {
		s.restoreJob(rec, now)
	}
	for _, p := range s.pools {
		// The restored work has not just arrived.
		p.newMilliCoreMillis = 0
		clear(p.newByCustomer)
	}
	for number := range state.Waves {
		s.waves[number] = newWave(state.Waves[number], s.takeover.inherited)
	}
	return s
}

// restoreJob adds a job that was accepted before this term.
func (s *Scheduler[P, H]) restoreJob(rec *jobs.Record, now clock.Millis) {
	for id, state := range rec.Tasks() {
		if state.Phase != jobs.PhaseAssigned {
			continue
		}
		w := s.workers[state.Worker]
		if w == nil || w.incarnation < state.Incarnation {
			w = &worker{
				id: state.Worker, incarnation: state.Incarnation, pool: rec.Pool, runs: map[jobs.TaskID]*run{}, failedJobs: map[jobs.ID]bool{},
				leaseUntil: now + s.maxLease(), speed: unknownSpeed(),
			}
			s.workers[state.Worker] = w
			s.leaseEnds.Push(leaseEnd{at: w.leaseUntil, w: w})
		}
		r := &run{task: id, number: state.Run, rec: rec, step: &rec.Steps[id.Step], assignedAt: now, progressedAt: now}
		s.addRun(w, r)
		s.holdShare(w, r, now)
	}
	s.stopBrokenGangs(rec)
	s.addPending(rec)
	s.queueJob(rec, now)
}

// maxLease returns the longest duration of a lease on the leader's clock, which
// is reached when the worker's clock is as slow as allowed.
func (s *Scheduler[P, H]) maxLease() clock.Millis {
	return s.settings.LeaseMillis + s.settings.LeaseMillis*s.settings.DriftPermille/1000
}

func (s *Scheduler[P, H]) addRun(w *worker, r *run) {
	w.runs[r.task] = r
	w.used = w.used.Plus(reservation(r.step))
	r.customer = s.customer(r.rec.Customer)
	s.addHeld(r.customer, r.step.Resources)
}

func (s *Scheduler[P, H]) removeRun(w *worker, r *run) {
	delete(w.runs, r.task)
	w.used = w.used.Minus(reservation(r.step))
	s.removeHeld(r.customer, r.step.Resources)
}

// reservation returns the resources that a task reserves on its worker. A
// best-effort task reserves no processors.
func reservation(step *jobs.Step) jobs.Resources {
	resources := step.Resources
	if step.BestEffort {
		resources.MilliCores = 0
	}
	return resources
}

// apply applies the operation to the leader's copy and adds it to the plan.
func (s *Scheduler[P, H]) apply(op jobs.Op, now clock.Millis) {
	s.State.Apply([]jobs.Op{op}, max(now, s.State.Time))
	s.plan.Ops = append(s.plan.Ops, op)
}

// PendingOps returns the number of operations that no plan contains yet.
func (s *Scheduler[P, H]) PendingOps() int { return len(s.plan.Ops) }

// readConfig rebuilds poolByQueue, configuredPools, queueAdvice, customersByKey, the quotas
// and the weights if the configuration has changed.
func (s *Scheduler[P, H]) readConfig() {
	c := &s.State.Config
	if s.poolByQueue != nil && c.Version == s.configVersion {
		return
	}
	s.configVersion = c.Version
	s.customersByKey = c.CustomersByKey()
	s.readQuotas()
	s.shares.configure(c.Customers)
	s.poolByQueue = make(map[jobs.QueueName]jobs.PoolName, len(c.Queues))
	s.configuredPools = make(map[jobs.PoolName]bool, len(c.Pools))
	for _, p := range c.Pools {
		s.configuredPools[p.Name] = true
	}
	s.queueAdvice = map[jobs.QueueName]jobs.AdvicePolicy{}
	for _, q := range c.Queues {
		s.poolByQueue[q.Name] = q.Pool
		if q.Advice.TicketValidity > 0 {
			s.queueAdvice[q.Name] = q.Advice
		}
	}
}

// CustomerOf returns the customer with the given key; ok is false if no customer has it.
func (s *Scheduler[P, H]) CustomerOf(key jobs.KeyDigest) (name jobs.CustomerName, ok bool) {
	name, ok = s.customersByKey[key]
	return name, ok
}

// poolOf returns the pool that runs a job: the pool of its queue or, if the
// queue was removed, the pool at submission.
func (s *Scheduler[P, H]) poolOf(rec *jobs.Record) jobs.PoolName {
	if p, ok := s.poolByQueue[rec.Queue]; ok {
		return p
	}
	return rec.Pool
}

// Submit accepts a job. It has no effect if the job ID is known. A job whose cancel came
// first is cancelled at once.
func (s *Scheduler[P, H]) Submit(j jobs.Job, now clock.Millis) {
	if s.State.Jobs[j.ID] != nil {
		return
	}
	j.AcceptedAt = max(now, s.State.Time)
	cancelledAt, cancelled := s.State.CancelledAt[jobs.CancelKey{Job: j.ID, Customer: j.Customer}]
	s.apply(jobs.Op{Kind: jobs.OpSubmit, Task: jobs.TaskID{Job: j.ID}, Job: &j}, now)
	rec := s.State.Jobs[j.ID]
	s.shares.accept(rec)
	if cancelled {
		// Both operations are part of one batch, so that no state has the job
		// without its cancel.
		s.apply(cancelOp(jobs.CancelKey{Job: j.ID, Customer: j.Customer}), now)
		delete(s.shares.excess, j.ID)
		s.noteJob(DecisionCancelled, rec, fmt.Sprintf("submitted %d ms after its cancel", j.AcceptedAt-cancelledAt), false)
		return
	}
	s.addPending(rec)
	s.queueJob(rec, now)
	owner := ""
	if j.Customer != "" {
		owner = fmt.Sprintf(", customer %s", j.Customer)
	}
	s.noteJob(DecisionAccepted, rec, fmt.Sprintf("queue %s%s, configuration version %d, %d steps, deadline in %d ms",
		j.Queue, owner, s.State.Config.Version, len(j.Steps), Deadline(rec, 0)-now), false)
}

// noteJobEnd adds a note on the end of a job: how long it took, by how much it
// was late if it completed, and how many runs it had and how many of them
// failed. It also drops the job's advice and failures and removes it from the
// pending jobs.
func (s *Scheduler[P, H]) noteJobEnd(rec *jobs.Record, now clock.Millis) {
	lateness := now - Deadline(rec, len(rec.Occurrences)-1)
	s.forgetAdvice(rec)
	s.dropBlocked(rec)
	s.removePending(rec.ID)
	delete(s.failures, rec.ID)
	delete(s.shares.excess, rec.ID)
	reason := fmt.Sprintf("after %d ms", now-rec.AcceptedAt)
	if lateness > 0 && rec.Status == jobs.StatusCompleted {
		reason += fmt.Sprintf(", %d ms late", lateness)
	}
	runs, failures := 0, 0
	for id, state := range rec.Tasks() {
		delete(s.avoided, id)
		delete(s.expiredRuns, id)
		runs += state.Run
		if id.Index == 0 {
			failures += rec.Failures(id.Occurrence, id.Step)
		}
	}
	reason += fmt.Sprintf(", %d runs, %d of them failed", runs, failures)
	s.noteJob(finalDecision(rec.Status), rec, reason, lateness > 0 || rec.Status == jobs.StatusFailed)
}

// maxTombstones bounds the cancels that are remembered, which take about 100 bytes each.
const maxTombstones = 1 << 16

// Cancel cancels a job. If the job is unknown or has ended, the cancel is remembered, so
// that it holds against a submission that arrives later. It returns false, without any
// effect, if too many cancels are remembered.
func (s *Scheduler[P, H]) Cancel(k jobs.CancelKey, now clock.Millis) bool {
	if !s.State.CancelIsDue(k, max(now, s.State.Time)) {
		return true
	}
	rec := s.State.Jobs[k.Job]
	if rec == nil || rec.Status.Final() {
		return s.recordCancel(k, now)
	}
	s.apply(cancelOp(k), now)
	s.noteJobEnd(rec, now)
	s.stopJobRuns(rec)
	return true
}

// recordCancel adds a tombstone for a job that is unknown or has ended.
func (s *Scheduler[P, H]) recordCancel(k jobs.CancelKey, now clock.Millis) bool {
	if len(s.State.Tombstones) >= maxTombstones {
		return false
	}
	s.apply(cancelOp(k), now)
	s.plan.Notes = append(s.plan.Notes, Note{
		Decision: DecisionCancelRecorded, Task: jobs.TaskID{Job: k.Job},
		Reason: fmt.Sprintf("the job is unknown or has ended; %d cancels are remembered", len(s.State.Tombstones)),
	})
	return true
}

func cancelOp(k jobs.CancelKey) jobs.Op {
	return jobs.Op{Kind: jobs.OpCancel, Task: jobs.TaskID{Job: k.Job}, Customer: k.Customer}
}

// stopJobRuns stops all runs of a job that has ended.
func (s *Scheduler[P, H]) stopJobRuns(rec *jobs.Record) {
	for id, state := range rec.Tasks() {
		if w, assigned := s.assignedRun(id, state); assigned != nil {
			s.stopRun(w, assigned, rec.Status.String())
		}
	}
}

// assignedRun returns the run of an assigned task and its worker. Both are nil
// if the task is not assigned or its worker is unknown; the run is nil if the
// worker no longer has it.
func (s *Scheduler[P, H]) assignedRun(id jobs.TaskID, state *jobs.TaskState) (*worker, *run) {
	w := s.workers[state.Worker]
	if state.Phase != jobs.PhaseAssigned || w == nil {
		return nil, nil
	}
	return w, w.runs[id]
}

// Configure makes a configuration the current one if it has a higher version.
func (s *Scheduler[P, H]) Configure(c jobs.Config, now clock.Millis) {
	if c.Version <= s.State.Config.Version {
		return
	}
	s.apply(jobs.Op{Kind: jobs.OpConfig, Config: &c}, now)
	weights := s.shares.weights
	s.readConfig()
	s.reassignPools(now)
	if !maps.Equal(weights, s.shares.weights) {
		s.rankAgain(now)
	}
}
