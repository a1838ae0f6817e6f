package jobs

import (
	"iter"

	"camphorridge/core/state/clock"
)

// Retention is how long an ended job is remembered. Submitters ask for two
// minutes; a snapshot of what is remembered holds the group up while it is made.
const Retention = 3 * clock.Minute

// State is the replicated state of submitted work.
type State struct {
	// Time is the largest time of an operation; it only grows.
	Time   clock.Millis
	Config Config
	// Jobs holds every job that was accepted and not forgotten.
	Jobs map[ID]*Record
	// Seq is the number of the latest accepted job; it only grows.
	Seq   uint64
	Waves map[int]*Wave
	// EndedJobs lists the jobs with a final status in the order of their ends.
	EndedJobs []ID
}

// New returns the empty state.
func New() *State {
	return &State{Jobs: map[ID]*Record{}, Waves: map[int]*Wave{}}
}

// Apply applies the operations of one batch made at time now. Operations that
// no longer fit the state change nothing: a second submission of an id, the end
// of a run that is not the latest, a configuration that is not newer.
func (s *State) Apply(ops []Op, now clock.Millis) {
	s.Time = max(s.Time, now)
	for i := range ops {
		s.apply(&ops[i])
	}
	s.forget()
}

func (s *State) apply(o *Op) {
	switch o.Kind {
	case OpSubmit:
		s.submit(o.Job)
	case OpCancel:
		s.cancel(o.Task.Job)
	case OpAssign:
		s.assign(o)
	case OpEnd:
		s.end(o)
	case OpConfig:
		if o.Config.Version > s.Config.Version {
			s.Config = *o.Config
		}
	case OpDeclareWave:
		s.declare(o.Wave)
	case OpMaintenanceOrdered:
		if w := s.Waves[o.WaveNumber]; w != nil {
			w.Ordered[o.Machine] = true
		}
	case OpMaintenanceStarted:
		if w := s.Waves[o.WaveNumber]; w != nil {
			w.Started[o.Machine] = true
		}
	}
}

func (s *State) submit(j *Job) {
	if s.Jobs[j.ID] != nil {
		return
	}
	s.Seq++
	s.Jobs[j.ID] = NewRecord(*j, s.Seq)
}

// NewRecord returns the record of a job of which nothing has run.
func NewRecord(j Job, seq uint64) *Record {
	r := &Record{Job: j, Seq: seq, Occurrences: make([]Occurrence, max(j.OccurrenceCount, 1))}
	for k := range r.Occurrences {
		r.Occurrences[k] = newOccurrence(j.Steps)
	}
	return r
}

// Recount sets the sums of what is done from the phases of the tasks.
func (r *Record) Recount() {
	r.DoneOccurrences = 0
	for k := range r.Occurrences {
		o := &r.Occurrences[k]
		o.DoneSteps = 0
		for i := range o.Steps {
			st := &o.Steps[i]
			st.DoneTasks = 0
			for _, t := range st.Tasks {
				if t.Phase == PhaseDone {
					st.DoneTasks++
				}
			}
			if st.DoneTasks == len(st.Tasks) {
				o.DoneSteps++
			}
		}
		if o.DoneSteps == len(o.Steps) {
			r.DoneOccurrences++
		}
	}
}

// newOccurrence keeps the tasks of all steps in one allocation.
func newOccurrence(steps []Step) Occurrence {
	n := 0
	for i := range steps {
		n += steps[i].TaskCount
	}
	all := make([]TaskState, n)
	o := Occurrence{Steps: make([]StepState, len(steps))}
	for i := range steps {
		o.Steps[i].Tasks, all = all[:steps[i].TaskCount:steps[i].TaskCount], all[steps[i].TaskCount:]
	}
	return o
}

func (s *State) cancel(id ID) {
	if r := s.Jobs[id]; r != nil && !r.Status.Final() {
		s.finish(r, StatusCancelled)
	}
}

func (s *State) finish(r *Record, to Status) {
	r.Status, r.EndedAt = to, s.Time
	// Nothing of an ended job is started any more.
	r.Spec = ""
	s.EndedJobs = append(s.EndedJobs, r.ID)
}

// forget drops jobs that ended longer ago than Retention.
func (s *State) forget() {
	for len(s.EndedJobs) > 0 {
		r := s.Jobs[s.EndedJobs[0]]
		if r != nil && s.Time-r.EndedAt < Retention {
			return
		}
		delete(s.Jobs, s.EndedJobs[0])
		s.EndedJobs = s.EndedJobs[1:]
	}
}

// Task returns the state of a task; nil for one that does not exist.
func (s *State) Task(t TaskID) *TaskState {
	r := s.Jobs[t.Job]
	if r == nil {
		return nil
	}
	return r.Task(t)
}

// Task returns the state of a task of the job; nil for one that does not
// exist.
func (r *Record) Task(t TaskID) *TaskState {
	if t.Occurrence < 0 || t.Occurrence >= len(r.Occurrences) || t.Step < 0 || t.Index < 0 {
		return nil
	}
	o := &r.Occurrences[t.Occurrence]
	if t.Step >= len(o.Steps) || t.Index >= len(o.Steps[t.Step].Tasks) {
		return nil
	}
	return &o.Steps[t.Step].Tasks[t.Index]
}

// Tasks yields the tasks of the job in order.
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

// stepOf returns the state of a task's step.
func (r *Record) stepOf(t TaskID) *StepState { return &r.Occurrences[t.Occurrence].Steps[t.Step] }

// Failures counts the failed runs of a step; the tasks of a gang fail together.
func (r *Record) Failures(occurrence, step int) int {
	st := &r.Occurrences[occurrence].Steps[step]
	if r.Steps[step].Gang {
		return st.fails()
	}
	n := 0
	for i := range st.Tasks {
		n += st.Tasks[i].Failures
	}
	return n
}

// fails counts the failed runs of a gang.
func (st *StepState) fails() int {
	n := 0
	for i := range st.Tasks {
		n = max(n, st.Tasks[i].Failures)
	}
	return n
}

// save sets the checkpoint of all tasks of a gang: that of any of them holds for
// all, and all have to start from the same one.
func (st *StepState) save(saved string) {
	for i := range st.Tasks {
		st.Tasks[i].Checkpoint = saved
	}
}

func (s *State) assign(o *Op) {
	r := s.Jobs[o.Task.Job]
	if r == nil || r.Status.Final() {
		return
	}
	t := r.Task(o.Task)
	if t == nil || t.Phase != PhaseWaiting || o.Run <= t.Run {
		return
	}
	if r.Steps[o.Task.Step].Gang {
		t.Failures = r.stepOf(o.Task).fails()
	}
	t.Phase, t.Run, t.Worker, t.Incarnation = PhaseAssigned, o.Run, o.Worker, o.Incarnation
	r.EverAssigned = true
	if r.Status == StatusQueued {
		r.Status = StatusRunning
	}
}

func (s *State) end(o *Op) {
	r := s.Jobs[o.Task.Job]
	if r == nil {
		return
	}
	t := r.Task(o.Task)
	if t == nil || t.Phase != PhaseAssigned || t.Run != o.Run {
		return
	}
	t.Phase, t.Worker, t.Incarnation = PhaseWaiting, "", 0
	step := &r.Steps[o.Task.Step]
	if o.Checkpoint != "" {
		t.Checkpoint = o.Checkpoint
		if step.Gang {
			r.stepOf(o.Task).save(o.Checkpoint)
		}
	}
	switch {
	case o.Result == ResultDone && !step.LongRunning:
		s.done(r, o.Task)
	case o.Result == ResultFailed && !step.LongRunning:
		t.Failures++
		if t.Failures >= max(r.MaxAttempts, 1) && !r.Status.Final() {
			s.finish(r, StatusFailed)
		}
	}
}

// done notes a task's good end, and those of its step, occurrence and job with
// it. The good end of one task of a gang stands for all of them.
func (s *State) done(r *Record, id TaskID) {
	o := &r.Occurrences[id.Occurrence]
	st := &o.Steps[id.Step]
	if r.Steps[id.Step].Gang {
		for n := range st.Tasks {
			t := &st.Tasks[n]
			t.Phase, t.Worker, t.Incarnation = PhaseDone, "", 0
		}
		st.DoneTasks = len(st.Tasks)
	} else {
		st.Tasks[id.Index].Phase = PhaseDone
		st.DoneTasks++
	}
	if st.DoneTasks < len(st.Tasks) {
		return
	}
	o.DoneSteps++
	if o.DoneSteps < len(o.Steps) {
		return
	}
	r.DoneOccurrences++
	if r.DoneOccurrences == len(r.Occurrences) && !r.Status.Final() {
		s.finish(r, StatusCompleted)
	}
}

func (s *State) declare(w *Wave) {
	if s.Waves[w.Number] != nil {
		return
	}
	n := *w
	n.Ordered, n.Started = map[MachineID]bool{}, map[MachineID]bool{}
	s.Waves[w.Number] = &n
}

// Queue returns the queue of a name.
func (c *Config) Queue(name QueueName) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Ready reports whether all tasks of the steps that a step waits for are done.
func (r *Record) Ready(occurrence, step int) bool {
	o := &r.Occurrences[occurrence]
	for _, before := range r.Steps[step].DependsOn {
		if o.Steps[before].DoneTasks < len(o.Steps[before].Tasks) {
			return false
		}
	}
	return true
}

// Due returns the time from which an occurrence may start; 0 for at once.
func (r *Record) Due(occurrence int) clock.Millis {
	if r.OccurrenceCount == 0 {
		return 0
	}
	return r.FirstDue + clock.Millis(occurrence)*r.Interval
}

// CriticalPath returns the length of the longest chain of steps by their estimates.
func (j *Job) CriticalPath() clock.Millis {
	var longest clock.Millis
	ends := make([]clock.Millis, len(j.Steps))
	for i := range j.Steps {
		for _, before := range j.Steps[i].DependsOn {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}
