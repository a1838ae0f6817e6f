package report

import (
	"fmt"
	"io"
	"strings"

	"camphorridge/core/state/jobs"
	"camphorridge/core/state/sched"
)

// waitReasonTexts explains each reason for which tasks wait and what the operator
// can do about it.
var waitReasonTexts = map[sched.WaitReason]string{
	sched.WaitNotDue:       "the occurrence is not due yet",
	sched.WaitDependencies: "an earlier step is not done",
	sched.WaitQuota:        "the quota of the job's customer does not let another task start: wait until some of its tasks end, or raise the quota",
	sched.WaitNoWorkers:    "no worker of the pool has sent a heartbeat recently: add machines to the pool or start their workers",
	sched.WaitLabel:        "no worker of the pool has the required label: add a machine with it",
	sched.WaitSize:         "no worker of the pool is large enough even when it is idle: lower the resources that each task requires, or add a larger machine",
	sched.WaitLeaving:      "the workers are draining, or their machines are about to be maintained or moved: wait, or add machines",
	sched.WaitQuarantine:   "the workers are quarantined because tasks fail on them: repair them, or wait until they are tried again",
	sched.WaitAdvice:       "the advice service has not approved a worker: check the lines about advice in the leader's log",
	sched.WaitPerWorker:    "each worker already runs the maximum number of tasks of the step: add machines",
	sched.WaitCapacity:     "other tasks use the workers' capacity: wait, or add machines",
	sched.WaitShare:        "tasks of other customers go first, because the job is beyond its customer's rate or its customer has had more of its share: wait, raise the customer's weight, or add machines",
	sched.WaitGang:         "there is capacity for some tasks of the gang but not for all: wait, or add machines",
	sched.WaitHeartbeat:    "a worker can get a task at its next heartbeat",
}

// JobStatus writes the status of a job.
func JobStatus(w io.Writer, f Format, id jobs.ID, s jobs.Status) error {
	return render(w, "report job", f,
		func() string { return fmt.Sprintf("%s %s\n", printable(string(id)), s) },
		func() any { return object{{"id", id}, {"status", s.String()}} })
}

// Jobs writes the given jobs, which have not ended. total is the number of jobs in all
// queues that have not ended; summaries may hold only some of them.
func Jobs(w io.Writer, f Format, summaries []sched.JobSummary, total int) error {
	return render(w, "report jobs", f, func() string {
		t := newTable("ID", "QUEUE", "STATUS", "ACCEPTED", "ON-TIME-UNTIL")
		for _, s := range summaries {
			t.add(s.ID, s.Queue, s.Status, timeText(s.AcceptedAt), timeText(s.Deadline))
		}
		return t.String() + fmt.Sprintf("%d jobs shown, %d jobs in all queues have not ended\n", len(summaries), total)
	}, func() any {
		return object{{"total", total}, {"jobs", mapObjects(summaries, jobSummaryObject)}}
	})
}

func jobSummaryObject(s sched.JobSummary) object {
	return object{
		{"id", s.ID}, {"queue", s.Queue}, {"status", s.Status.String()}, {"accepted-ms", s.AcceptedAt}, {"on-time-until-ms", s.Deadline},
	}
}

// Job writes the progress of a job and the reasons why its tasks wait.
func Job(w io.Writer, f Format, r sched.JobReport) error {
	return render(w, "report job", f, func() string { return jobText(r) }, func() any { return jobObject(r) })
}

func jobText(r sched.JobReport) string {
	var b strings.Builder
	fmt.Fprintf(&b, "job %s of queue %s is %s at %s\n", printable(string(r.ID)), printable(string(r.Queue)), r.Status, timeText(r.Now))
	fmt.Fprintf(&b, "accepted %s, on time until %s, ended %s, runs in pool %s\n",
		timeText(r.AcceptedAt), timeText(r.Deadline), timeText(r.EndedAt), printable(string(r.Pool)))
	steps := newTable("OCCURRENCE", "STEP", "TASKS", "DONE", "RUNNING", "WAITING", "RUNS", "FAILED", "WAITS-FOR")
	var reasons []string
	for _, s := range r.Steps {
		steps.add(s.Occurrence, s.Step, s.Tasks, s.Done, s.Running, s.Waiting, s.Runs, s.Failures, s.WaitReason)
		if s.WaitReason != sched.WaitNone {
			reason := fmt.Sprintf("occurrence %d step %d: %s", s.Occurrence, s.Step, waitReasonText(s.WaitReason))
			if s.WaitDetail != "" {
				reason += " (" + printable(s.WaitDetail) + ")"
			}
			reasons = append(reasons, reason)
		}
	}
	writeSection(&b, "Steps", steps)
	runs := newTable("OCCURRENCE", "STEP", "INDEX", "RUN", "WORKER", "PERCENT", "SINCE", "STOPPING")
	for _, run := range r.Runs {
		runs.add(run.Task.Occurrence, run.Task.Step, run.Task.Index, run.Run, run.Worker, run.Percent, ageText(r.Now, run.StartedAt), run.StopReason)
	}
	writeSection(&b, "Running", runs)
	if len(reasons) > 0 {
		b.WriteString("\nReasons for waiting\n" + strings.Join(reasons, "\n") + "\n")
	}
	return b.String()
}

// waitReasonText returns the text of a reason, or its name if it has no text.
func waitReasonText(reason sched.WaitReason) string {
	if text, ok := waitReasonTexts[reason]; ok {
		return text
	}
	return printable(string(reason))
}

func jobObject(r sched.JobReport) object {
	return append(jobSummaryObject(r.JobSummary), object{
		{"pool", r.Pool},
		{"now-ms", r.Now},
		{"ended-ms", r.EndedAt},
		{"steps", mapObjects(r.Steps, func(s sched.StepReport) object {
			return object{
				{"occurrence", s.Occurrence},
				{"step", s.Step},
				{"tasks", s.Tasks},
				{"done", s.Done},
				{"running", s.Running},
				{"waiting", s.Waiting},
				{"runs", s.Runs},
				{"failed", s.Failures},
				{"waits-for", s.WaitReason},
				{"waits-for-detail", s.WaitDetail},
			}
		})},
		{"running", mapObjects(r.Runs, func(run sched.RunReport) object {
			return object{
				{"occurrence", run.Task.Occurrence},
				{"step", run.Task.Step},
				{"index", run.Task.Index},
				{"run", run.Run},
				{"worker", run.Worker},
				{"percent", run.Percent},
				{"started-ms", run.StartedAt},
				{"stopping", run.StopReason},
			}
		})},
	}...)
}
