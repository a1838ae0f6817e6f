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
	"camphorridge/io/trans/peers"
)

// minQuarantineScore is the evidence from which a worker is set aside: the log of
// how much likelier a broken worker explains its failures.
const minQuarantineScore = 3

// JobsRunner is the runner with the policies of the product.
type JobsRunner = runner.Runner[*groupMember, runner.Machines, sched.EarliestDeadline, place.PeerComparison]

// JobsOptions says how a control process runs jobs.
type JobsOptions struct {
	// Address is the address for workers and operators; empty for a process
	// that runs no jobs.
	Address string
	// Handler makes the handler for that address.
	Handler  func(JobsService) http.Handler
	Settings sched.Settings
	Machines runner.Machines
	// Reload reads the control processes from the settings anew.
	Reload func() ([]model.Member, error)
}

// JobsService is what an adapter for workers and operators works with.
type JobsService struct {
	Runner *JobsRunner
	// Leader names the known leader, empty for none, and tells whether it is
	// this process.
	Leader func() (name model.Process, here bool)
	Log    *log.Logger
}

// noMachines stands for a platform without an interface to machines.
type noMachines struct{}

func (noMachines) Do(context.Context, runner.MachineAction) sched.Outcome {
	return sched.Outcome{Answer: sched.AnswerRefusedForNow}
}

// serveJobs adds the runner and the server for workers and operators.
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
	c.jobs = runner.New(runner.Config[*groupMember, runner.Machines, sched.EarliestDeadline, place.PeerComparison]{
		Name: string(c.cfg.Name), Group: c.member, Machines: o.Machines, Rank: sched.EarliestDeadline{},
		Health: place.PeerComparison{MinScore: minQuarantineScore}, Settings: o.Settings, Clock: c.clock, Notes: c.logDecisions,
		ObserveCommit: func(d clock.Millis) { c.commitMillis.Update(int64(d)) },
	})
	c.member.onStatus = c.jobs.Wake
	service := JobsService{Runner: c.jobs, Leader: c.knownLeader, Log: c.log}
	addServer(g, l, o.Handler(service), peerStopTimeout)
	addComponent(g, c.jobs)
	addComponent(g, newReloader(o.Reload, c.cfg.Controls, c.membership.Configure, c.clock, c.log))
	return nil
}

func (c *Control) knownLeader() (name model.Process, here bool) {
	s := c.member.Status()
	_, here = c.member.Leads()
	return s.Leader.Name, here
}

// jobMetrics registers what the runner counts.
func (c *Control) jobMetrics(r metrics.Registry) {
	if c.jobs == nil {
		return
	}
	_ = r.Register("job-commit-ms", c.commitMillis)
	count := func(f func(runner.Counts) int64) func() int64 { return func() int64 { return f(c.jobs.Counts()) } }
	registerCounters(r, []counter{
		{"heartbeats", count(func(n runner.Counts) int64 { return n.Heartbeats })},
		{"heartbeats-late", count(func(n runner.Counts) int64 { return n.StaleHeartbeats })},
		{"job-calls", count(func(n runner.Counts) int64 { return n.Calls })},
		{"job-batches", count(func(n runner.Counts) int64 { return n.Batches })},
		{"job-operations", count(func(n runner.Counts) int64 { return n.Operations })},
		{"job-resets", count(func(n runner.Counts) int64 { return n.Resets })},
		{"runs-started", count(func(n runner.Counts) int64 { return n.RunsStarted })},
		{"runs-lost", count(func(n runner.Counts) int64 { return n.RunsLost })},
		{"runs-failed", count(func(n runner.Counts) int64 { return n.RunsFailed })},
		{"job-inputs-refused", c.jobs.Refused},
	})
}

// workServer serves submitters' calls; nil in a process that runs no jobs.
func (c *Control) workServer(s *peers.ControlServer[*groupMember, *fleetMover]) wirepb.Work {
	if c.jobs == nil {
		return nil
	}
	return peers.WorkServer[*JobsRunner]{Worker: c.jobs, Stamps: c.recorder, Leader: s.Leader}
}

// logDecisions writes a line for each decision that changes what the process
// believes of a run or a worker; starts are counted only.
func (c *Control) logDecisions(all []sched.Note) {
	for _, n := range all {
		level := log.InfoLevel
		if n.Important {
			level = log.WarnLevel
		}
		switch {
		case n.Decision == sched.DecisionStarted:
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
