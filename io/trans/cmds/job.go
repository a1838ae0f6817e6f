package cmds

import (
	"fmt"
	"io"
	"slices"

	"camphorridge/core/coord/runner"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/sched"
	"camphorridge/io/proto/conf"
	"camphorridge/io/proto/report"
)

// callLeader sends a call about jobs to the leader. If the leader executed it,
// callLeader returns the result of f for the answer, otherwise an error.
func callLeader(o *options, op string, c runner.Call, f func(runner.Answer) error) error {
	p, err := newControlClient(o)
	if err != nil {
		return err
	}
	defer p.close()
	a, err := p.leader.CallRunner(p.ctx, c)
	switch {
	case err != nil:
		return failedError(op, err)
	case a.Kind == runner.AnswerOutcomeUnknown:
		return failedError(op, fmt.Errorf("the outcome is unknown; run the command again: %s", a.Reason))
	case a.Kind != runner.AnswerDone:
		return failedError(op, fmt.Errorf("%s: %s", a.Kind, a.Reason))
	}
	return f(a)
}

// printStatus returns a function that prints the state of a job.
func printStatus(o *options, out io.Writer, id jobs.ID) func(runner.Answer) error {
	return func(a runner.Answer) error { return report.JobStatus(out, o.format(), id, a.Status) }
}

func submitJob(o *options, out io.Writer) error {
	j, err := loadFile(o.file, conf.LoadJob)
	if err != nil {
		return err
	}
	return callLeader(o, "job submit", runner.Call{Kind: runner.CallSubmit, Queue: j.Queue, JobID: j.ID, Job: j}, printStatus(o, out, j.ID))
}

func getJob(o *options, out io.Writer) error {
	id := jobs.ID(o.name)
	return callLeader(o, "job get", runner.Call{Kind: runner.CallStatus, JobID: id}, printStatus(o, out, id))
}

func cancelJob(o *options, out io.Writer) error {
	id := jobs.ID(o.name)
	return callLeader(o, "job cancel", runner.Call{Kind: runner.CallCancel, JobID: id}, printStatus(o, out, id))
}

func listJobs(o *options, out io.Writer) error {
	return callLeader(o, "job list", runner.Call{Kind: runner.CallList}, func(a runner.Answer) error {
		lines := a.Jobs
		if o.queue != "" {
			lines = slices.DeleteFunc(lines, func(l sched.JobSummary) bool { return l.Queue != jobs.QueueName(o.queue) })
		}
		return report.Jobs(out, o.format(), lines, a.Count)
	})
}

func listJobCustomers(o *options, out io.Writer) error {
	return callLeader(o, "job customers", runner.Call{Kind: runner.CallCustomers}, func(a runner.Answer) error {
		return report.JobCustomers(out, o.format(), a.Customers, a.Count, a.UnknownKeyCalls)
	})
}

func explainJob(o *options, out io.Writer) error {
	return callLeader(o, "explain", runner.Call{Kind: runner.CallExplain, JobID: jobs.ID(o.name)}, func(a runner.Answer) error {
		return report.Job(out, o.format(), *a.Report)
	})
}
