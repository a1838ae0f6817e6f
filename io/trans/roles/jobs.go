package roles

import (
	"context"
	"net/http"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"

	"camphorridge/core/coord/runner"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/place"
	"camphorridge/core/state/sched"
	"camphorridge/io/proto/wirepb"
	"camphorridge/io/trans/intake"
	"camphorridge/io/trans/peers"
)

// minQuarantineScore is the score at which a worker is quarantined. The score is the
// logarithm of a likelihood ratio: how probable the worker's results are if it is
// broken, divided by how probable they are if it is good.
const minQuarantineScore = 3

// JobsRunner is the job runner with the policies that are used in production.
type JobsRunner = runner.Runner[*memberAccess, runner.Machines, sched.EarliestDeadline, place.PeerComparison]

// JobsOptions configures how a control process schedules jobs.
type JobsOptions struct {
	// Address is the address to listen on for workers and operators. If it is empty,
	// the process schedules no jobs.
	Address string
	// Handler returns the HTTP handler for Address.
	Handler func(JobsService) http.Handler
	// MaxBodyBytes is the largest body of any request for Handler.
	MaxBodyBytes int64
	Settings     sched.Settings
	// Machines acts on the machines of the platform. If it is nil, every action is
	// refused.
	Machines runner.Machines
	// Reload reads the control processes from the settings again. If it is nil,
	// changes of the settings are ignored.
	Reload func() ([]model.Member, error)
}

// JobsService is what the HTTP handler for workers and operators uses.
type JobsService struct {
	Runner *JobsRunner
	// Leader returns the name of the leader, empty if none is known, and whether
	// this process is the leader.
	Leader func() (name model.Process, isSelf bool)
	Log    *log.Logger
	Gate   *intake.Gate
}

// noMachines is used on a platform that has no interface for machines. It refuses
// every action.
type noMachines struct{}

func (noMachines) Do(context.Context, runner.MachineAction) sched.Outcome {
	return sched.Outcome{Answer: sched.AnswerRefusedForNow}
}

// serveJobs adds the job runner, the server for workers and operators, and the
// reloader. It does nothing if the process schedules no jobs.
func (c *Control) serveJobs(g *run.Group, o JobsOptions) error {
	if o.Address == "" {
		return nil
	}
	if o.Machines == nil {
		o.Machines = noMachines{}
	}
	l, err := listen("workers and operators", o.Address)
	if err != nil {
		return err
	}
	c.jobs = runner.New(runner.Config[*memberAccess, runner.Machines, sched.EarliestDeadline, place.PeerComparison]{
		Name: string(c.cfg.Name), Group: c.member, Machines: o.Machines, Rank: sched.EarliestDeadline{},
		Health: place.PeerComparison{MinScore: minQuarantineScore}, Settings: o.Settings, Clock: c.clock, Notes: c.logDecisions,
		ObserveCommit: func(d clock.Millis) { c.commitMillis.Update(int64(d)) },
	})
	c.member.onStatus = c.jobs.Wake
	service := JobsService{Runner: c.jobs, Leader: c.knownLeader, Log: c.log, Gate: c.gate}
	addServer(g, c.gate, l, o.Handler(service), intake.Options{Class: intake.Clients, MaxBodyBytes: o.MaxBodyBytes}, peerStopTimeout)
	addComponent(g, c.jobs)
	addComponent(g, newReloader(o.Reload, c.cfg.Controls, c.membership.Configure, c.clock, c.log))
	return nil
}

func (c *Control) knownLeader() (name model.Process, isSelf bool) {
	s := c.member.Status()
	_, isSelf = c.member.Leads()
	return s.Leader.Name, isSelf
}

// addJobMetrics registers the metrics of the job runner.
func (c *Control) addJobMetrics(r metrics.Registry) {
	if c.jobs == nil {
		return
	}
	_ = r.Register("job-commit-ms", c.commitMillis)
	registerCustomerGauges(r, c.jobs.Customers)
	count := func(f func(runner.Counts) int64) func() int64 { return func() int64 { return f(c.jobs.Counts()) } }
	registerCounters(r, []counter{
		{"heartbeats", count(func(n runner.Counts) int64 { return n.Heartbeats })},
		{"heartbeats-late", count(func(n runner.Counts) int64 { return n.StaleHeartbeats })},
		{"heartbeats-unknown-pool", count(func(n runner.Counts) int64 { return n.UnknownPoolHeartbeats })},
		{"heartbeats-renewed-alone", count(func(n runner.Counts) int64 { return n.BareRenewals })},
		{"job-calls", count(func(n runner.Counts) int64 { return n.Calls })},
		{"job-calls-refused", count(func(n runner.Counts) int64 { return n.OverloadRefusals })},
		{"job-calls-unauthorized", count(func(n runner.Counts) int64 { return n.UnauthorizedCalls })},
		{"job-calls-unknown-key", count(func(n runner.Counts) int64 { return n.UnknownKeyCalls })},
		{"job-calls-foreign-job", count(func(n runner.Counts) int64 { return n.ForeignJobCalls })},
		{"job-submissions-stale", count(func(n runner.Counts) int64 { return n.StaleSubmissions })},
		{"job-submissions-cancelled", count(func(n runner.Counts) int64 { return n.CancelledSubmissions })},
		{"job-batches", count(func(n runner.Counts) int64 { return n.Batches })},
		{"job-operations", count(func(n runner.Counts) int64 { return n.Operations })},
		{"job-resets", count(func(n runner.Counts) int64 { return n.Resets })},
		{"runs-started", count(func(n runner.Counts) int64 { return n.RunsStarted })},
		{"runs-lost", count(func(n runner.Counts) int64 { return n.RunsLost })},
		{"runs-failed", count(func(n runner.Counts) int64 { return n.RunsFailed })},
		{"job-inputs-refused", c.jobs.Refused},
	})
}

// workServer returns the server for submitters' calls, or nil if the process
// schedules no jobs.
func (c *Control) workServer(s *peers.ControlServer[*memberAccess, *fleetMover]) wirepb.Work {
	if c.jobs == nil {
		return nil
	}
	return peers.WorkServer[*JobsRunner]{Runner: c.jobs, Stamps: c.recorder, RequireLeader: s.RequireLeader}
}

// logDecisions logs each decision of the scheduler about a job, a run or a worker.
// Started runs are only counted, not logged.
func (c *Control) logDecisions(all []sched.Note) {
	for _, n := range all {
		level := log.InfoLevel
		if n.Important {
			level = log.WarnLevel
		}
		switch {
		case n.Decision == sched.DecisionStarted:
		case n.Decision == sched.DecisionLeaderLoad:
			c.log.Log(level, string(n.Decision), "process-cpu-ms", cpuMillis(), "reason", n.Reason)
		case n.Task.Job == "":
			c.log.Log(level, string(n.Decision), "reason", n.Reason)
		case n.Run == 0:
			c.log.Log(level, string(n.Decision), "job", n.Task.Job, "reason", n.Reason)
		default:
			c.log.Log(level, string(n.Decision), "job", n.Task.Job, "occurrence", n.Task.Occurrence, "step", n.Task.Step,
				"index", n.Task.Index, "run", n.Run, "worker", n.Worker, "reason", n.Reason)
		}
	}
}
