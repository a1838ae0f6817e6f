package codec

import (
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/io/proto/wirepb"
)

func jobConfigToWire(c jobs.Config) *wirepb.JobConfig {
	w := &wirepb.JobConfig{Version: c.Version, Document: c.Document, NeedsKeys: c.RequiresKeys, Customers: mapAll(c.Customers, customerToWire)}
	for _, q := range c.Queues {
		w.Queues = append(w.Queues, &wirepb.JobQueue{
			Name: validUTF8(q.Name), Host: validUTF8(q.Host), Prefix: validUTF8(q.Prefix), Pool: validUTF8(q.Pool), Priority: int64(q.Priority),
			Attempts: int64(q.MaxAttempts), TargetMs: int64(q.Target), StretchPermille: int64(q.StretchPermille), Advice: adviceToWire(q.Advice), Public: q.Public,
		})
	}
	for _, p := range c.Pools {
		w.Pools = append(w.Pools, &wirepb.JobPool{Name: validUTF8(p.Name), Standby: p.Standby, Guarded: p.AdmissionControl})
	}
	return w
}

func customerToWire(c jobs.Customer) *wirepb.JobCustomer {
	return &wirepb.JobCustomer{
		Name: validUTF8(c.Name), WeightPermille: int64(c.WeightPermille), Quota: resourcesToWire(c.Quota),
		Digests: mapAll(c.KeyDigests, func(d jobs.KeyDigest) []byte { return []byte(d) }),
	}
}

func customerFromWire(w *wirepb.JobCustomer) jobs.Customer {
	return jobs.Customer{
		Name: jobs.CustomerName(w.GetName()), WeightPermille: int(w.GetWeightPermille()), Quota: resourcesFromWire(w.GetQuota()),
		KeyDigests: mapAll(w.GetDigests(), func(d []byte) jobs.KeyDigest { return jobs.KeyDigest(d) }),
	}
}

// adviceToWire converts the advice policy of a queue to its message. It returns
// nil for a queue without advice.
func adviceToWire(a jobs.AdvicePolicy) *wirepb.JobAdvice {
	if a == (jobs.AdvicePolicy{}) {
		return nil
	}
	return &wirepb.JobAdvice{ValidMs: int64(a.TicketValidity), DecideMs: int64(a.BaseLatency), EachMs: int64(a.LatencyPerWorker)}
}

func adviceFromWire(w *wirepb.JobAdvice) jobs.AdvicePolicy {
	return jobs.AdvicePolicy{
		TicketValidity: clock.Millis(w.GetValidMs()), BaseLatency: clock.Millis(w.GetDecideMs()), LatencyPerWorker: clock.Millis(w.GetEachMs()),
	}
}

func jobConfigFromWire(w *wirepb.JobConfig) jobs.Config {
	c := jobs.Config{Version: w.GetVersion(), Document: w.GetDocument(), RequiresKeys: w.GetNeedsKeys(), Customers: mapAll(w.GetCustomers(), customerFromWire)}
	for _, q := range w.GetQueues() {
		c.Queues = append(c.Queues, jobs.Queue{
			Name: jobs.QueueName(q.GetName()), Host: q.GetHost(), Prefix: q.GetPrefix(), Pool: jobs.PoolName(q.GetPool()),
			Priority: int(q.GetPriority()), MaxAttempts: int(q.GetAttempts()), Target: clock.Millis(q.GetTargetMs()),
			StretchPermille: int(q.GetStretchPermille()), Advice: adviceFromWire(q.GetAdvice()), Public: q.GetPublic(),
		})
	}
	for _, p := range w.GetPools() {
		c.Pools = append(c.Pools, jobs.Pool{Name: jobs.PoolName(p.GetName()), Standby: p.GetStandby(), AdmissionControl: p.GetGuarded()})
	}
	return c
}

func waveToWire(w *jobs.Wave) *wirepb.JobWave {
	return &wirepb.JobWave{
		Number: int64(w.Number), Machines: mapAll(w.Machines, validUTF8), Cap: int64(w.MaxDown),
		DeclaredMs: int64(w.DeclaredAt), DeadlineMs: int64(w.Deadline),
		Ordered: mapAll(slices.Sorted(maps.Keys(w.Ordered)), validUTF8), Begun: mapAll(slices.Sorted(maps.Keys(w.Started)), validUTF8),
	}
}

func waveFromWire(w *wirepb.JobWave) *jobs.Wave {
	v := &jobs.Wave{
		Number: int(w.GetNumber()), MaxDown: int(w.GetCap()), DeclaredAt: clock.Millis(w.GetDeclaredMs()),
		Deadline: clock.Millis(w.GetDeadlineMs()), Ordered: map[jobs.MachineID]bool{}, Started: map[jobs.MachineID]bool{},
	}
	for _, m := range w.GetMachines() {
		v.Machines = append(v.Machines, jobs.MachineID(m))
	}
	for _, m := range w.GetOrdered() {
		v.Ordered[jobs.MachineID(m)] = true
	}
	for _, m := range w.GetBegun() {
		v.Started[jobs.MachineID(m)] = true
	}
	return v
}

func machineOrderToWire(o jobs.MachineOrder) *wirepb.JobMachineOrder {
	return &wirepb.JobMachineOrder{Machine: validUTF8(o.Machine), Pool: validUTF8(o.Pool), Life: int64(o.Incarnation), AtMs: int64(o.At)}
}

func machineOrderFromWire(w *wirepb.JobMachineOrder) jobs.MachineOrder {
	return jobs.MachineOrder{
		Machine: jobs.MachineID(w.GetMachine()), Pool: jobs.PoolName(w.GetPool()),
		Incarnation: jobs.Incarnation(w.GetLife()), At: clock.Millis(w.GetAtMs()),
	}
}

// JobStateToWire converts the replicated job state to its message. Jobs are sorted
// by id and waves by number, so that equal states give equal messages.
func JobStateToWire(s *jobs.State) *wirepb.JobsSnapshot {
	w := &wirepb.JobsSnapshot{
		TimeMs: int64(s.Time), Seq: s.Seq, Config: jobConfigToWire(s.Config), Ended: mapAll(s.EndedJobs, validUTF8),
		MachineOrders: mapAll(s.MachineOrders, machineOrderToWire),
	}
	for _, id := range slices.Sorted(maps.Keys(s.Jobs)) {
		w.Records = append(w.Records, jobRecordToWire(s.Jobs[id]))
	}
	for _, t := range s.Tombstones {
		w.Tombstones = append(w.Tombstones, &wirepb.JobTombstone{Id: validUTF8(t.Job), AtMs: int64(t.At), Customer: validUTF8(t.Customer)})
	}
	for _, n := range slices.Sorted(maps.Keys(s.Waves)) {
		w.Waves = append(w.Waves, waveToWire(s.Waves[n]))
	}
	return w
}

// jobRecordToWire converts the record of a job to its message. The message holds
// only the tasks whose state differs from the initial one; At is the position of such
// a task, counted from 0 over all steps of its occurrence.
func jobRecordToWire(r *jobs.Record) *wirepb.JobRecord {
	w := &wirepb.JobRecord{
		Job: JobToWire(r.Job), Seq: r.Seq, Status: int32(r.Status), Started: r.EverAssigned, EndedMs: int64(r.EndedAt),
	}
	for _, o := range r.Occurrences {
		occurrence := &wirepb.JobOccurrence{}
		position := int64(0)
		for _, step := range o.Steps {
			for _, t := range step.Tasks {
				if t != (jobs.TaskState{}) {
					occurrence.Tasks = append(occurrence.Tasks, &wirepb.JobTaskState{
						At: position, Phase: int32(t.Phase), Run: int64(t.Run), Fails: int64(t.Failures),
						Worker: validUTF8(t.Worker), Life: int64(t.Incarnation), Saved: []byte(t.Checkpoint),
					})
				}
				position++
			}
		}
		w.Occurrences = append(w.Occurrences, occurrence)
	}
	return w
}

// JobStateFromWire converts a message to the replicated job state. A nil message
// gives an empty state. It returns an error if a job, its status or one of its
// tasks is not valid, or if its record has another number of occurrences than the job.
func JobStateFromWire(w *wirepb.JobsSnapshot) (*jobs.State, error) {
	s := jobs.New()
	s.Time, s.Seq = clock.Millis(w.GetTimeMs()), w.GetSeq()
	s.Config = jobConfigFromWire(w.GetConfig())
	s.MachineOrders = mapAll(w.GetMachineOrders(), machineOrderFromWire)
	for _, id := range w.GetEnded() {
		s.EndedJobs = append(s.EndedJobs, jobs.ID(id))
	}
	for _, wireRecord := range w.GetRecords() {
		r, err := jobRecordFromWire(wireRecord)
		if err != nil {
			return nil, err
		}
		s.Jobs[r.ID] = r
	}
	for _, t := range w.GetTombstones() {
		s.AddTombstone(jobs.Tombstone{CancelKey: jobs.CancelKey{Job: jobs.ID(t.GetId()), Customer: jobs.CustomerName(t.GetCustomer())}, At: clock.Millis(t.GetAtMs())})
	}
	for _, wireWave := range w.GetWaves() {
		s.Waves[int(wireWave.GetNumber())] = waveFromWire(wireWave)
	}
	return s, nil
}

// jobRecordFromWire converts a message to the record of a job. Tasks that are not in
// the message get the initial state.
func jobRecordFromWire(w *wirepb.JobRecord) (*jobs.Record, error) {
	j, err := JobFromWire(w.GetJob())
	if err != nil {
		return nil, err
	}
	if w.GetStatus() < 0 || w.GetStatus() > int32(jobs.StatusCancelled) {
		return nil, jobError(KindRange, "job %s has the undefined status %d", j.ID, w.GetStatus())
	}
	r := jobs.NewRecord(j, w.GetSeq())
	r.Status, r.EverAssigned, r.EndedAt = jobs.Status(w.GetStatus()), w.GetStarted(), clock.Millis(w.GetEndedMs())
	if len(w.GetOccurrences()) != len(r.Occurrences) {
		return nil, jobError(KindRange, "the record of job %s has %d occurrences; the job defines %d", j.ID, len(w.GetOccurrences()), len(r.Occurrences))
	}
	for i, occurrence := range w.GetOccurrences() {
		for _, task := range occurrence.GetTasks() {
			if err := restoreTask(r, i, task); err != nil {
				return nil, err
			}
		}
	}
	r.Recount()
	return r, nil
}

// restoreTask sets the state of one task in the given occurrence of r. It returns
// an error if the phase is not defined or the occurrence has no task at the
// position in the message.
func restoreTask(r *jobs.Record, occurrence int, w *wirepb.JobTaskState) error {
	if w.GetPhase() < 0 || w.GetPhase() > int32(jobs.PhaseDone) {
		return jobError(KindRange, "a task of job %s has the undefined phase %d", r.ID, w.GetPhase())
	}
	position := int(w.GetAt())
	for i := range r.Occurrences[occurrence].Steps {
		tasks := r.Occurrences[occurrence].Steps[i].Tasks
		if position >= 0 && position < len(tasks) {
			tasks[position] = jobs.TaskState{
				Phase: jobs.Phase(w.GetPhase()), Run: int(w.GetRun()), Failures: int(w.GetFails()),
				Worker: jobs.WorkerID(w.GetWorker()), Incarnation: jobs.Incarnation(w.GetLife()), Checkpoint: string(w.GetSaved()),
			}
			return nil
		}
		position -= len(tasks)
	}
	return jobError(KindRange, "job %s has no task at position %d", r.ID, w.GetAt())
}
