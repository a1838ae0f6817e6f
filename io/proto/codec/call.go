package codec

import (
	"camphorridge/core/coord/runner"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/sched"
	"camphorridge/io/proto/wirepb"
)

// CallToWire converts a call about jobs to its message. Calls about the
// configuration and about waves are not sent between processes, so the message has
// no fields for Config, Wave and WaveNumber.
func CallToWire(c runner.Call) *wirepb.WorkCall {
	w := &wirepb.WorkCall{Kind: int32(c.Kind), Host: validUTF8(c.Host), Path: validUTF8(c.Path), Queue: validUTF8(c.Queue), Id: validUTF8(c.JobID), IssuedMs: int64(c.IssuedAt), Key: []byte(c.Key)}
	if c.Kind == runner.CallSubmit {
		w.Job = JobToWire(c.Job)
	}
	return w
}

// CallFromWire converts a message to a call about jobs. It returns an error if the
// kind is not one of CallSubmit to CallCustomers, or if a submitted job is not valid. The
// kinds for the configuration and for waves are rejected too, because such calls are
// not sent between processes. The runner later gives a submitted job the ID in the
// Path or the JobID of the call. The ID in the job itself is not used, but JobFromWire
// rejects a job in which it is empty.
func CallFromWire(w *wirepb.WorkCall) (runner.Call, error) {
	kind, err := enumFromWire("call", "kind", w.GetKind(), runner.CallCustomers)
	if err != nil {
		return runner.Call{}, err
	}
	c := runner.Call{
		Kind: kind, Host: w.GetHost(), Path: w.GetPath(), Queue: jobs.QueueName(w.GetQueue()), JobID: jobs.ID(w.GetId()),
		IssuedAt: clock.Millis(w.GetIssuedMs()), Key: jobs.KeyDigest(w.GetKey()),
	}
	if kind == runner.CallSubmit {
		c.Job, err = JobFromWire(w.GetJob())
	}
	return c, err
}

// AnswerToWire converts the answer to a call about jobs to its message. The fields
// for the configuration and for waves are not sent.
func AnswerToWire(a runner.Answer) *wirepb.WorkAnswer {
	w := &wirepb.WorkAnswer{
		Kind: int32(a.Kind), Status: int32(a.Status), Pending: int64(a.Count),
		RetryAfterMs: int64(a.RetryAfter), Reason: validUTF8(a.Reason), Jobs: mapAll(a.Jobs, jobSummaryToWire),
		LeaderMs: int64(a.LeaderTime), Customers: mapAll(a.Customers, customerStatusToWire), UnknownKeyCalls: a.UnknownKeyCalls,
	}
	if a.Report != nil {
		w.Report = jobReportToWire(*a.Report)
	}
	return w
}

// AnswerFromWire converts a message to the answer to a call about jobs. It
// returns an error if the kind or the status of the answer, or the status of a job
// in it, is not defined.
func AnswerFromWire(w *wirepb.WorkAnswer) (runner.Answer, error) {
	kind, err := enumFromWire("answer", "kind", w.GetKind(), runner.LastAnswerKind)
	if err != nil {
		return runner.Answer{}, err
	}
	status, err := enumFromWire("answer", "status", w.GetStatus(), jobs.StatusCancelled)
	if err != nil {
		return runner.Answer{}, err
	}
	a := runner.Answer{
		Kind: kind, Status: status, Count: int(w.GetPending()),
		RetryAfter: clock.Millis(w.GetRetryAfterMs()), Reason: w.GetReason(),
		LeaderTime: clock.Millis(w.GetLeaderMs()), Customers: mapAll(w.GetCustomers(), customerStatusFromWire), UnknownKeyCalls: w.GetUnknownKeyCalls(),
	}
	for _, wireJob := range w.GetJobs() {
		summary, err := jobSummaryFromWire(wireJob)
		if err != nil {
			return runner.Answer{}, err
		}
		a.Jobs = append(a.Jobs, summary)
	}
	if w.GetReport() != nil {
		r, err := jobReportFromWire(w.GetReport())
		if err != nil {
			return runner.Answer{}, err
		}
		a.Report = &r
	}
	return a, nil
}

func jobSummaryToWire(s sched.JobSummary) *wirepb.JobLine {
	return &wirepb.JobLine{
		Id: validUTF8(s.ID), Queue: validUTF8(s.Queue), Status: int32(s.Status), AcceptedMs: int64(s.AcceptedAt), OnTimeMs: int64(s.Deadline),
	}
}

func jobSummaryFromWire(w *wirepb.JobLine) (sched.JobSummary, error) {
	status, err := enumFromWire("job", "status", w.GetStatus(), jobs.StatusCancelled)
	return sched.JobSummary{
		ID: jobs.ID(w.GetId()), Queue: jobs.QueueName(w.GetQueue()), Status: status,
		AcceptedAt: clock.Millis(w.GetAcceptedMs()), Deadline: clock.Millis(w.GetOnTimeMs()),
	}, err
}

func customerStatusToWire(c runner.CustomerStatus) *wirepb.CustomerLine {
	return &wirepb.CustomerLine{
		Name: validUTF8(c.Name), Configured: c.Configured, WeightPermille: int64(c.WeightPermille), Quota: resourcesToWire(c.Quota),
		Held: resourcesToWire(c.Held), Waiting: int64(c.WaitingTasks), ForeignJobCalls: c.ForeignJobCalls,
	}
}

func customerStatusFromWire(w *wirepb.CustomerLine) runner.CustomerStatus {
	return runner.CustomerStatus{
		CustomerReport: sched.CustomerReport{
			Name: jobs.CustomerName(w.GetName()), Configured: w.GetConfigured(), WeightPermille: int(w.GetWeightPermille()),
			Quota: resourcesFromWire(w.GetQuota()), Held: resourcesFromWire(w.GetHeld()), WaitingTasks: int(w.GetWaiting()),
		},
		ForeignJobCalls: w.GetForeignJobCalls(),
	}
}

func jobReportToWire(r sched.JobReport) *wirepb.JobReport {
	return &wirepb.JobReport{
		Job: jobSummaryToWire(r.JobSummary), Pool: validUTF8(r.Pool), NowMs: int64(r.Now), EndedMs: int64(r.EndedAt),
		Steps: mapAll(r.Steps, func(s sched.StepReport) *wirepb.JobStepReport {
			return &wirepb.JobStepReport{
				Occurrence: int64(s.Occurrence), Step: int64(s.Step), Tasks: int64(s.Tasks), Done: int64(s.Done),
				Running: int64(s.Running), Waiting: int64(s.Waiting), Runs: int64(s.Runs), Fails: int64(s.Failures), Limit: validUTF8(s.WaitReason),
				LimitDetail: validUTF8(s.WaitDetail),
			}
		}),
		Runs: mapAll(r.Runs, func(run sched.RunReport) *wirepb.JobRunReport {
			return &wirepb.JobRunReport{
				Task: taskIDToWire(run.Task), Run: int64(run.Run), Worker: validUTF8(run.Worker), Percent: int64(run.Percent),
				StartedMs: int64(run.StartedAt), Stopping: validUTF8(run.StopReason),
			}
		}),
	}
}

func jobReportFromWire(w *wirepb.JobReport) (sched.JobReport, error) {
	summary, err := jobSummaryFromWire(w.GetJob())
	if err != nil {
		return sched.JobReport{}, err
	}
	r := sched.JobReport{
		JobSummary: summary, Pool: jobs.PoolName(w.GetPool()), Now: clock.Millis(w.GetNowMs()), EndedAt: clock.Millis(w.GetEndedMs()),
	}
	for _, s := range w.GetSteps() {
		r.Steps = append(r.Steps, sched.StepReport{
			Occurrence: int(s.GetOccurrence()), Step: int(s.GetStep()), Tasks: int(s.GetTasks()), Done: int(s.GetDone()),
			Running: int(s.GetRunning()), Waiting: int(s.GetWaiting()), Runs: int(s.GetRuns()), Failures: int(s.GetFails()),
			WaitReason: sched.WaitReason(s.GetLimit()), WaitDetail: s.GetLimitDetail(),
		})
	}
	for _, run := range w.GetRuns() {
		r.Runs = append(r.Runs, sched.RunReport{
			Task: taskIDFromWire(run.GetTask()), Run: int(run.GetRun()), Worker: jobs.WorkerID(run.GetWorker()), Percent: int(run.GetPercent()),
			StartedAt: clock.Millis(run.GetStartedMs()), StopReason: run.GetStopping(),
		})
	}
	return r, nil
}
