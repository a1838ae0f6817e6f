package jobs

import (
	"iter"

	"camphorridge/core/state/clock"
)

// Retention is how long an ended job is kept. Submitters query ended jobs for
// up to two minutes. A longer retention makes snapshots larger, and the Raft
// group is blocked while a snapshot is made.
const Retention = 3 * clock.Minute

// renewalAge is the age above which the cancel of an ended or unknown job is stored
// again. The latest acknowledged cancel is remembered for at least Retention less
// renewalAge.
const renewalAge = 10 * clock.Second

// State is the replicated state of submitted work.
type State struct {
	// Time is the latest time passed to Apply; it never decreases.
	Time   clock.Millis
	Config Config
	// Jobs holds the accepted jobs, ended ones until their retention ends.
	Jobs map[ID]*Record
	// Seq is the sequence number of the latest accepted job; it never
	// decreases.
	Seq   uint64
	Waves map[int]*Wave
	// EndedJobs lists the jobs in Jobs that have a final status, in the order
	// in which they ended.
	EndedJobs []ID
	// Tombstones lists the remembered cancels, ordered by time. A job may have
	// several.
	Tombstones []Tombstone
	// CancelledAt holds the time of the latest entry in Tombstones of each job and
	// customer.
	CancelledAt map[CancelKey]clock.Millis
	// MachineOrders lists the orders for machines of the last orderRetention, ordered
	// by time. A new leader waits before it gives orders for the same machines.
	MachineOrders []MachineOrder
}

// orderRetention is how long an order for a machine is kept. It must exceed the time for
// which an order matters to a new leader, see sched.Settings, with a margin for clocks that
// differ.
const orderRetention = 30 * clock.Second

// CancelKey identifies the cancels that hold against a submission: those of the same
// customer. Otherwise a customer could keep others from submitting jobs.
type CancelKey struct {
	Job ID
	// Customer is empty for a cancel without a key.
	Customer CustomerName
}

// Tombstone remembers the cancel of a job that was unknown or had ended, for Retention.
// A submission of the job by the same customer that arrives later is not to be run.
type Tombstone struct {
	CancelKey
	At clock.Millis
}

// New returns the empty state.
func New() *State {
	return &State{Jobs: map[ID]*Record{}, Waves: map[int]*Wave{}, CancelledAt: map[CancelKey]clock.Millis{}}
}

// Apply removes the jobs and tombstones whose retention has ended at time now, and then
// applies a batch of operations. In this order the replicas, which apply the operations
// later and in larger batches than the leader, have removed what the leader had. An
// operation that does not match the state
// has no effect, for example the submission of a known ID, the end of a run
// that is not the task's latest, or a configuration that is not newer than the
// current one.
func (s *State) Apply(ops []Op, now clock.Millis) {
	s.Time = max(s.Time, now)
	s.removeExpired()
	for i := range ops {
		s.apply(&ops[i])
	}
}

func (s *State) apply(op *Op) {
	switch op.Kind {
	case OpSubmit:
		s.submit(op.Job)
	case OpCancel:
		s.cancel(CancelKey{Job: op.Task.Job, Customer: op.Customer})
	case OpAssign:
		s.assign(op)
	case OpEnd:
		s.endRun(op)
	case OpConfig:
		if op.Config.Version > s.Config.Version {
			s.Config = *op.Config
		}
	case OpDeclareWave:
		s.declareWave(op.Wave)
	case OpMaintenanceOrdered:
		if w := s.Waves[op.WaveNumber]; w != nil {
			w.Ordered[op.Machine] = true
			s.addMachineOrder(MachineOrder{Machine: op.Machine})
		}
	case OpMaintenanceStarted:
		if w := s.Waves[op.WaveNumber]; w != nil {
			w.Started[op.Machine] = true
			// The latest order for the machine may be a repetition, which is not
			// recorded itself.
			s.addMachineOrder(MachineOrder{Machine: op.Machine})
		}
	case OpMoveOrdered:
		s.addMachineOrder(MachineOrder{Machine: op.Machine, Pool: op.Pool, Incarnation: op.Incarnation})
	}
}

func (s *State) addMachineOrder(o MachineOrder) {
	o.At = s.Time
	s.MachineOrders = append(s.MachineOrders, o)
}

func (s *State) submit(j *Job) {
	if s.Jobs[j.ID] != nil {
		return
	}
	s.Seq++
	s.Jobs[j.ID] = NewRecord(*j, s.Seq)
}

// NewRecord returns the record of a job of which no task has run.
func NewRecord(j Job, seq uint64) *Record {
	r := &Record{Job: j, Seq: seq, Occurrences: make([]Occurrence, max(j.OccurrenceCount, 1))}
	for k := range r.Occurrences {
		r.Occurrences[k] = newOccurrence(j.Steps)
	}
	return r
}

// Recount recomputes DoneTasks, DoneSteps and DoneOccurrences from the phases
// of the tasks.
func (r *Record) Recount() {
	r.DoneOccurrences = 0
	for k := range r.Occurrences {
		occurrence := &r.Occurrences[k]
		occurrence.DoneSteps = 0
		for i := range occurrence.Steps {
			step := &occurrence.Steps[i]
			step.DoneTasks = 0
			for _, t := range step.Tasks {
				if t.Phase == PhaseDone {
					step.DoneTasks++
				}
			}
			if step.DoneTasks == len(step.Tasks) {
				occurrence.DoneSteps++
			}
		}
		if occurrence.DoneSteps == len(occurrence.Steps) {
			r.DoneOccurrences++
		}
	}
}

// newOccurrence returns an occurrence of which no task has run. The tasks of
// all its steps share one allocation.
func newOccurrence(steps []Step) Occurrence {
	total := 0
	for i := range steps {
		total += steps[i].TaskCount
	}
	tasks := make([]TaskState, total)
	occurrence := Occurrence{Steps: make([]StepState, len(steps))}
	for i := range steps {
		occurrence.Steps[i].Tasks, tasks = tasks[:steps[i].TaskCount:steps[i].TaskCount], tasks[steps[i].TaskCount:]
	}
	return occurrence
}

// cancel cancels a job that has not ended. The cancel of any other job leaves a
// tombstone.
func (s *State) cancel(k CancelKey) {
	if r := s.Jobs[k.Job]; r != nil && !r.Status.Final() {
		s.finishJob(r, StatusCancelled)
		return
	}
	s.AddTombstone(Tombstone{CancelKey: k, At: s.Time})
}

// AddTombstone adds a tombstone that is not older than those in the state.
func (s *State) AddTombstone(t Tombstone) {
	s.Tombstones = append(s.Tombstones, t)
	s.CancelledAt[t.CancelKey] = t.At
}

// CancelIsDue reports whether a cancel at time now has an effect: the job has not ended,
// or a later submission would not be refused for long enough.
func (s *State) CancelIsDue(k CancelKey, now clock.Millis) bool {
	refusedSince, refused := s.CancelledAt[k]
	if r := s.Jobs[k.Job]; r != nil {
		if !r.Status.Final() {
			return true
		}
		refusedSince, refused = max(refusedSince, r.EndedAt), true
	}
	return !refused || now-refusedSince > renewalAge
}

func (s *State) finishJob(r *Record, status Status) {
	r.Status, r.EndedAt = status, s.Time
	// Spec is needed only to start tasks, and an ended job starts none.
	r.Spec = ""
	s.EndedJobs = append(s.EndedJobs, r.ID)
}

// removeExpired removes the jobs that ended at least Retention ago, the tombstones that
// are as old, and the orders for machines that are older than orderRetention.
func (s *State) removeExpired() {
	for len(s.EndedJobs) > 0 {
		r := s.Jobs[s.EndedJobs[0]]
		if r != nil && s.Time-r.EndedAt < Retention {
			break
		}
		delete(s.Jobs, s.EndedJobs[0])
		s.EndedJobs = s.EndedJobs[1:]
	}
	for len(s.MachineOrders) > 0 && s.Time-s.MachineOrders[0].At > orderRetention {
		s.MachineOrders = s.MachineOrders[1:]
	}
	for len(s.Tombstones) > 0 && s.Time-s.Tombstones[0].At >= Retention {
		if t := s.Tombstones[0]; s.CancelledAt[t.CancelKey] == t.At {
			delete(s.CancelledAt, t.CancelKey)
		}
		s.Tombstones = s.Tombstones[1:]
	}
}

// Task returns the state of a task, or nil if the task does not exist.
func (s *State) Task(t TaskID) *TaskState {
	r := s.Jobs[t.Job]
	if r == nil {
		return nil
	}
	return r.Task(t)
}

// Task returns the state of a task of the job, or nil if the task does not
// exist.
func (r *Record) Task(t TaskID) *TaskState {
	if t.Occurrence < 0 || t.Occurrence >= len(r.Occurrences) || t.Step < 0 || t.Index < 0 {
		return nil
	}
	occurrence := &r.Occurrences[t.Occurrence]
	if t.Step >= len(occurrence.Steps) || t.Index >= len(occurrence.Steps[t.Step].Tasks) {
		return nil
	}
	return &occurrence.Steps[t.Step].Tasks[t.Index]
}

// Tasks iterates over the tasks of the job, ordered by occurrence, step and
// index.
func (r *Record) Tasks() iter.Seq2[TaskID, *TaskState] {
	return func(yield func(TaskID, *TaskState) bool) {
		for k := range r.Occurrences {
			for i := range r.Occurrences[k].Steps {
				tasks := r.Occurrences[k].Steps[i].Tasks
				for n := range tasks {
					if !yield(TaskID{Job: r.ID, Occurrence: k, Step: i, Index: n}, &tasks[n]) {
						return
					}
				}
			}
		}
	}
}

// stepState returns the state of the step that t belongs to.
func (r *Record) stepState(t TaskID) *StepState { return &r.Occurrences[t.Occurrence].Steps[t.Step] }

// Failures returns the number of failed runs of a step. A gang fails as a
// whole, so a failed run of it counts once.
func (r *Record) Failures(occurrence, step int) int {
	state := &r.Occurrences[occurrence].Steps[step]
	if r.Steps[step].Gang {
		return state.gangFailures()
	}
	n := 0
	for i := range state.Tasks {
		n += state.Tasks[i].Failures
	}
	return n
}

// gangFailures returns the number of failed runs of a gang, which is the
// highest count of its tasks: assign sets the count of each started task to
// that of the gang.
func (st *StepState) gangFailures() int {
	n := 0
	for i := range st.Tasks {
		n = max(n, st.Tasks[i].Failures)
	}
	return n
}

// setGangCheckpoint sets the checkpoint of all tasks of a gang. A checkpoint
// that one task reports is valid for the whole gang, and all tasks must resume
// from the same checkpoint.
func (st *StepState) setGangCheckpoint(checkpoint string) {
	for i := range st.Tasks {
		st.Tasks[i].Checkpoint = checkpoint
	}
}

func (s *State) assign(op *Op) {
	r := s.Jobs[op.Task.Job]
	if r == nil || r.Status.Final() {
		return
	}
	t := r.Task(op.Task)
	if t == nil || t.Phase != PhaseWaiting || op.Run <= t.Run {
		return
	}
	if r.Steps[op.Task.Step].Gang {
		t.Failures = r.stepState(op.Task).gangFailures()
	}
	t.Phase, t.Run, t.Worker, t.Incarnation = PhaseAssigned, op.Run, op.Worker, op.Incarnation
	r.EverAssigned = true
	if r.Status == StatusQueued {
		r.Status = StatusRunning
	}
}

func (s *State) endRun(op *Op) {
	r := s.Jobs[op.Task.Job]
	if r == nil {
		return
	}
	t := r.Task(op.Task)
	if op.Late {
		s.completeLate(r, t, op)
		return
	}
	if t == nil || t.Phase != PhaseAssigned || t.Run != op.Run {
		return
	}
	t.Phase, t.Worker, t.Incarnation = PhaseWaiting, "", 0
	step := &r.Steps[op.Task.Step]
	if op.Checkpoint != "" {
		t.Checkpoint = op.Checkpoint
		if step.Gang {
			r.stepState(op.Task).setGangCheckpoint(op.Checkpoint)
		}
	}
	switch {
	case op.Result == ResultDone && !step.LongRunning:
		s.completeTask(r, op.Task)
	case op.Result == ResultFailed && !step.LongRunning:
		t.Failures++
		if t.Failures >= max(r.MaxAttempts, 1) && !r.Status.Final() {
			s.finishJob(r, StatusFailed)
		}
	}
}

// completeLate completes a task whose run number op.Run was lost. A later run may be assigned.
func (s *State) completeLate(r *Record, t *TaskState, op *Op) {
	if t == nil || t.Phase == PhaseDone || op.Run > t.Run || r.Status.Final() {
		return
	}
	t.Worker, t.Incarnation = "", 0
	s.completeTask(r, op.Task)
}

// completeTask marks a task as done and updates the counts of its step,
// occurrence and job; the job ends when its last task is done. When one task of
// a gang is done, all of them are.
func (s *State) completeTask(r *Record, id TaskID) {
	occurrence := &r.Occurrences[id.Occurrence]
	step := &occurrence.Steps[id.Step]
	if r.Steps[id.Step].Gang {
		for n := range step.Tasks {
			t := &step.Tasks[n]
			t.Phase, t.Worker, t.Incarnation = PhaseDone, "", 0
		}
		step.DoneTasks = len(step.Tasks)
	} else {
		step.Tasks[id.Index].Phase = PhaseDone
		step.DoneTasks++
	}
	if step.DoneTasks < len(step.Tasks) {
		return
	}
	occurrence.DoneSteps++
	if occurrence.DoneSteps < len(occurrence.Steps) {
		return
	}
	r.DoneOccurrences++
	if r.DoneOccurrences == len(r.Occurrences) && !r.Status.Final() {
		s.finishJob(r, StatusCompleted)
	}
}

func (s *State) declareWave(wave *Wave) {
	if s.Waves[wave.Number] != nil {
		return
	}
	declared := *wave
	declared.Ordered, declared.Started = map[MachineID]bool{}, map[MachineID]bool{}
	s.Waves[wave.Number] = &declared
}

// Queue returns the queue with the given name and whether it exists.
func (c *Config) Queue(name QueueName) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Ready reports whether all steps that the given step depends on are done.
func (r *Record) Ready(occurrence, step int) bool {
	state := &r.Occurrences[occurrence]
	for _, dependency := range r.Steps[step].DependsOn {
		if state.Steps[dependency].DoneTasks < len(state.Steps[dependency].Tasks) {
			return false
		}
	}
	return true
}

// DueAt returns the earliest start time of an occurrence; 0 if it may start
// immediately.
func (r *Record) DueAt(occurrence int) clock.Millis {
	if r.OccurrenceCount == 0 {
		return 0
	}
	return r.FirstDue + clock.Millis(occurrence)*r.Interval
}

// CriticalPath returns the length of the longest chain of dependent steps, by
// their estimates.
func (j *Job) CriticalPath() clock.Millis {
	var longest clock.Millis
	ends := make([]clock.Millis, len(j.Steps))
	for i := range j.Steps {
		for _, dependency := range j.Steps[i].DependsOn {
			ends[i] = max(ends[i], ends[dependency])
		}
		ends[i] += j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}
