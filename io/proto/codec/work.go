package codec

import (
	"camphorridge/core/coord/runner"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/sched"
	"camphorridge/io/proto/wirepb"
)

// CallToWire maps a call of a submitter.
func CallToWire(c runner.Call) *wirepb.WorkCall {
	w := &wirepb.WorkCall{Kind: int32(c.Kind), Host: text(c.Host), Path: text(c.Path), Queue: text(c.Queue), Id: text(c.JobID)}
	if c.Kind == runner.CallSubmit {
		w.Job = JobToWire(c.Job)
	}
	return w
}

// CallFromWire maps a call of a submitter. A submitted job gets its identity
// from the path.
func CallFromWire(w *wirepb.WorkCall) (runner.Call, error) {
	kind, err := enum("call", "kind", w.GetKind(), runner.CallList)
	if err != nil {
		return runner.Call{}, err
	}
	c := runner.Call{
		Kind: kind, Host: w.GetHost(), Path: w.GetPath(), Queue: jobs.QueueName(w.GetQueue()), JobID: jobs.ID(w.GetId()),
	}
	if kind == runner.CallSubmit {
		c.Job, err = JobFromWire(w.GetJob())
	}
	return c, err
}

// WorkAnswerToWire maps the answer to a call.
func WorkAnswerToWire(a runner.Answer) *wirepb.WorkAnswer {
	w := &wirepb.WorkAnswer{
		Kind: int32(a.Kind), Status: int32(a.Status), Pending: int64(a.Count),
		RetryAfterMs: int64(a.RetryAfter), Reason: text(a.Reason), Jobs: list(a.Jobs, jobLineToWire),
	}
	if a.Report != nil {
		w.Report = jobReportToWire(*a.Report)
	}
	return w
}

// WorkAnswerFromWire maps the answer to a call.
func WorkAnswerFromWire(w *wirepb.WorkAnswer) (runner.Answer, error) {
	kind, err := enum("answer", "kind", w.GetKind(), runner.AnswerOutcomeUnknown)
	if err != nil {
		return runner.Answer{}, err
	}
	status, err := enum("answer", "status", w.GetStatus(), jobs.StatusCancelled)
	if err != nil {
		return runner.Answer{}, err
	}
	a := runner.Answer{
		Kind: kind, Status: status, Count: int(w.GetPending()),
		RetryAfter: clock.Millis(w.GetRetryAfterMs()), Reason: w.GetReason(),
	}
	for _, wl := range w.GetJobs() {
		l, err := jobLineFromWire(wl)
		if err != nil {
			return runner.Answer{}, err
		}
		a.Jobs = append(a.Jobs, l)
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

func jobLineToWire(l sched.JobSummary) *wirepb.JobLine {
	return &wirepb.JobLine{
		Id: text(l.ID), Queue: text(l.Queue), Status: int32(l.Status), AcceptedMs: int64(l.AcceptedAt), OnTimeMs: int64(l.Deadline),
	}
}

func jobLineFromWire(w *wirepb.JobLine) (sched.JobSummary, error) {
	status, err := enum("job", "status", w.GetStatus(), jobs.StatusCancelled)
	return sched.JobSummary{
		ID: jobs.ID(w.GetId()), Queue: jobs.QueueName(w.GetQueue()), Status: status,
		AcceptedAt: clock.Millis(w.GetAcceptedMs()), Deadline: clock.Millis(w.GetOnTimeMs()),
	}, err
}

func jobReportToWire(r sched.JobReport) *wirepb.JobReport {
	return &wirepb.JobReport{
		Job: jobLineToWire(r.JobSummary), Pool: text(r.Pool), NowMs: int64(r.Now), EndedMs: int64(r.EndedAt),
		Steps: list(r.Steps, func(s sched.StepReport) *wirepb.JobStepReport {
			return &wirepb.JobStepReport{
				Occurrence: int64(s.Occurrence), Step: int64(s.Step), Tasks: int64(s.Tasks), Done: int64(s.Done),
				Running: int64(s.Running), Waiting: int64(s.Waiting), Runs: int64(s.Runs), Fails: int64(s.Failures), Limit: text(s.WaitReason),
			}
		}),
		Runs: list(r.Runs, func(x sched.RunReport) *wirepb.JobRunReport {
			return &wirepb.JobRunReport{
				Task: taskToWire(x.Task), Run: int64(x.Run), Worker: text(x.Worker), Percent: int64(x.Percent),
				StartedMs: int64(x.StartedAt), Stopping: text(x.StopReason),
			}
		}),
	}
}

func jobReportFromWire(w *wirepb.JobReport) (sched.JobReport, error) {
	line, err := jobLineFromWire(w.GetJob())
	if err != nil {
		return sched.JobReport{}, err
	}
	r := sched.JobReport{
		JobSummary: line, Pool: jobs.PoolName(w.GetPool()), Now: clock.Millis(w.GetNowMs()), EndedAt: clock.Millis(w.GetEndedMs()),
	}
	for _, s := range w.GetSteps() {
		r.Steps = append(r.Steps, sched.StepReport{
			Occurrence: int(s.GetOccurrence()), Step: int(s.GetStep()), Tasks: int(s.GetTasks()), Done: int(s.GetDone()),
			Running: int(s.GetRunning()), Waiting: int(s.GetWaiting()), Runs: int(s.GetRuns()), Failures: int(s.GetFails()),
			WaitReason: sched.WaitReason(s.GetLimit()),
		})
	}
	for _, x := range w.GetRuns() {
		r.Runs = append(r.Runs, sched.RunReport{
			Task: taskFromWire(x.GetTask()), Run: int(x.GetRun()), Worker: jobs.WorkerID(x.GetWorker()), Percent: int(x.GetPercent()),
			StartedAt: clock.Millis(x.GetStartedMs()), StopReason: x.GetStopping(),
		})
	}
	return r, nil
}
