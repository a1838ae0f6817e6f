package codec

import (
	"fmt"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/io/proto/wirepb"
)

// maxDecodedTasks is the largest number of tasks of a decoded job, summed over its
// occurrences. It prevents a malformed record from making the process allocate
// memory without limit. It is above jobs.MaxTasks, the limit for a job file.
const maxDecodedTasks = 100_000

// JobToWire converts a job to its message. The specification is sent as bytes,
// because it need not be UTF-8.
func JobToWire(j jobs.Job) *wirepb.Job {
	return &wirepb.Job{
		Id: validUTF8(j.ID), Queue: validUTF8(j.Queue), Pool: validUTF8(j.Pool), Spec: []byte(j.Spec),
		Steps: mapAll(j.Steps, jobStepToWire),
		Times: int64(j.OccurrenceCount), FirstMs: int64(j.FirstDue), IntervalMs: int64(j.Interval),
		Priority: int64(j.Priority), Attempts: int64(j.MaxAttempts),
		TargetMs: int64(j.Target), StretchPermille: int64(j.StretchPermille), AcceptedMs: int64(j.AcceptedAt),
		Customer: validUTF8(j.Customer),
	}
}

// JobFromWire converts a message to a job. It returns an error if the id is
// empty, there are no steps, a step has no tasks, a step depends on itself or on a
// later step, the number of occurrences is negative, or the steps of one occurrence or
// of all occurrences have more than maxDecodedTasks tasks together.
func JobFromWire(w *wirepb.Job) (jobs.Job, error) {
	if err := required("job", "id", w.GetId()); err != nil {
		return jobs.Job{}, err
	}
	j := jobs.Job{
		ID: jobs.ID(w.GetId()), Queue: jobs.QueueName(w.GetQueue()), Pool: jobs.PoolName(w.GetPool()), Spec: string(w.GetSpec()),
		OccurrenceCount: int(w.GetTimes()), FirstDue: clock.Millis(w.GetFirstMs()), Interval: clock.Millis(w.GetIntervalMs()),
		Priority: int(w.GetPriority()), MaxAttempts: int(w.GetAttempts()),
		Target: clock.Millis(w.GetTargetMs()), StretchPermille: int(w.GetStretchPermille()), AcceptedAt: clock.Millis(w.GetAcceptedMs()),
		Customer: jobs.CustomerName(w.GetCustomer()),
	}
	totalTasks := int64(0)
	for i, s := range w.GetSteps() {
		if s.GetCount() < 1 || s.GetCount() > maxDecodedTasks-totalTasks {
			return j, jobError(KindRange, "step %d has %d tasks; allowed: at least 1, and at most %d in all steps together", i, s.GetCount(), maxDecodedTasks)
		}
		totalTasks += s.GetCount()
		for _, dependency := range s.GetAfter() {
			if dependency < 0 || dependency >= int64(i) {
				return j, jobError(KindRange, "step %d depends on step %d; allowed: earlier steps only", i, dependency)
			}
		}
		j.Steps = append(j.Steps, jobStepFromWire(s))
	}
	if len(j.Steps) == 0 {
		return j, jobError(KindMissing, "job %s has no steps", j.ID)
	}
	if j.OccurrenceCount < 0 || int64(j.OccurrenceCount) > maxDecodedTasks/totalTasks {
		return j, jobError(KindRange, "job %s has %d occurrences of %d tasks; allowed: at least 0 occurrences, and at most %d tasks in all of them together", j.ID, j.OccurrenceCount, totalTasks, maxDecodedTasks)
	}
	return j, nil
}

// jobError returns an Error for a job, the record of a job or an operation on the
// job state.
func jobError(kind Kind, format string, args ...any) error {
	return &Error{Op: "job", Kind: kind, Err: fmt.Errorf(format, args...)}
}

func jobStepToWire(s jobs.Step) *wirepb.JobStep {
	w := &wirepb.JobStep{
		Count: int64(s.TaskCount), EstimateMs: int64(s.Estimate), Saves: s.Checkpoints, Gang: s.Gang, SameRack: s.SameRack,
		Label: validUTF8(s.RequiredLabel), DataRack: validUTF8(s.DataRack), PerWorker: int64(s.MaxPerWorker), Copies: s.Speculative,
		Lasting: s.LongRunning, Image: validUTF8(s.Image), LatencyMs: int64(s.LatencyTarget), Filler: s.BestEffort, MayMiss: int64(s.MaxUnavailable),
		Need: resourcesToWire(s.Resources),
	}
	for _, dependency := range s.DependsOn {
		w.After = append(w.After, int64(dependency))
	}
	return w
}

func jobStepFromWire(w *wirepb.JobStep) jobs.Step {
	s := jobs.Step{
		TaskCount: int(w.GetCount()), Estimate: clock.Millis(w.GetEstimateMs()), Checkpoints: w.GetSaves(), Gang: w.GetGang(),
		SameRack: w.GetSameRack(), RequiredLabel: w.GetLabel(), DataRack: w.GetDataRack(), MaxPerWorker: int(w.GetPerWorker()),
		Speculative: w.GetCopies(), LongRunning: w.GetLasting(), Image: w.GetImage(), LatencyTarget: clock.Millis(w.GetLatencyMs()),
		BestEffort: w.GetFiller(), MaxUnavailable: int(w.GetMayMiss()),
		Resources: resourcesFromWire(w.GetNeed()),
	}
	for _, dependency := range w.GetAfter() {
		s.DependsOn = append(s.DependsOn, int(dependency))
	}
	return s
}

func resourcesToWire(r jobs.Resources) *wirepb.JobSize {
	return &wirepb.JobSize{MilliCores: int64(r.MilliCores), MemoryMib: int64(r.MemoryMiB), Accelerators: int64(r.Accelerators)}
}

func resourcesFromWire(w *wirepb.JobSize) jobs.Resources {
	return jobs.Resources{MilliCores: int(w.GetMilliCores()), MemoryMiB: int(w.GetMemoryMib()), Accelerators: int(w.GetAccelerators())}
}

func taskIDToWire(t jobs.TaskID) *wirepb.JobTask {
	return &wirepb.JobTask{Job: validUTF8(t.Job), Occurrence: int64(t.Occurrence), Step: int64(t.Step), Index: int64(t.Index)}
}

func taskIDFromWire(w *wirepb.JobTask) jobs.TaskID {
	return jobs.TaskID{
		Job: jobs.ID(w.GetJob()), Occurrence: int(w.GetOccurrence()), Step: int(w.GetStep()), Index: int(w.GetIndex()),
	}
}

// JobOpToWire converts an operation on the replicated job state to its message.
func JobOpToWire(o jobs.Op) *wirepb.JobOp {
	w := &wirepb.JobOp{
		Kind: int32(o.Kind), Run: int64(o.Run), Worker: validUTF8(o.Worker), Life: int64(o.Incarnation), How: int32(o.Result),
		Saved: []byte(o.Checkpoint), Number: int64(o.WaveNumber), Machine: validUTF8(o.Machine),
		Late: o.Late, Pool: validUTF8(o.Pool), Customer: validUTF8(o.Customer),
	}
	if o.Task != (jobs.TaskID{}) {
		w.Task = taskIDToWire(o.Task)
	}
	if o.Job != nil {
		w.Job = JobToWire(*o.Job)
	}
	if o.Config != nil {
		w.Config = jobConfigToWire(*o.Config)
	}
	if o.Wave != nil {
		w.Wave = waveToWire(o.Wave)
	}
	return w
}

// JobOpFromWire converts a message to an operation on the replicated job state. It
// returns an error if the kind or the result is not defined, or if a submitted
// job is not valid. If the kind requires a configuration or a wave and the message
// has none, the operation has an empty one.
func JobOpFromWire(w *wirepb.JobOp) (jobs.Op, error) {
	if w.GetKind() < 0 || w.GetKind() > int32(jobs.LastOpKind) {
		return jobs.Op{}, jobError(KindRange, "operation has the undefined kind %d", w.GetKind())
	}
	if w.GetHow() < 0 || w.GetHow() > int32(jobs.ResultLost) {
		return jobs.Op{}, jobError(KindRange, "operation has the undefined result %d", w.GetHow())
	}
	o := jobs.Op{
		Kind: jobs.OpKind(w.GetKind()), Task: taskIDFromWire(w.GetTask()), Run: int(w.GetRun()),
		Worker: jobs.WorkerID(w.GetWorker()), Incarnation: jobs.Incarnation(w.GetLife()), Result: jobs.Result(w.GetHow()),
		Checkpoint: string(w.GetSaved()), WaveNumber: int(w.GetNumber()), Machine: jobs.MachineID(w.GetMachine()),
		Late: w.GetLate(), Pool: jobs.PoolName(w.GetPool()), Customer: jobs.CustomerName(w.GetCustomer()),
	}
	switch o.Kind {
	case jobs.OpSubmit:
		j, err := JobFromWire(w.GetJob())
		if err != nil {
			return o, err
		}
		o.Job = &j
	case jobs.OpConfig:
		c := jobConfigFromWire(w.GetConfig())
		o.Config = &c
	case jobs.OpDeclareWave:
		o.Wave = waveFromWire(w.GetWave())
	}
	return o, nil
}
