package roles

import (
	"context"
	"io"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"

	"camphorridge/core/coord/boot"
	"camphorridge/core/coord/group"
	"camphorridge/core/coord/mover"
	"camphorridge/core/coord/record"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/maint"
	"camphorridge/core/state/model"
	"camphorridge/core/state/plan"
	"camphorridge/core/state/raft"
	"camphorridge/core/state/store"
	"camphorridge/io/proto/codec"
	"camphorridge/io/proto/conf"
	"camphorridge/io/trans/admin"
	"camphorridge/io/trans/intake"
	"camphorridge/io/trans/logs"
	"camphorridge/io/trans/peers"
)

// The generic types with the policies that are used in production. A maintenance
// wave stops when the instances that it has touched fail significantly more often
// than their peers, and slows down when callers are affected.
type (
	diskStore         = store.Store[codec.Codec, store.OSFileSystem]
	fleetMover        = mover.Mover[*memberAccess, *platform, maint.DeadlinePacer, maint.ZTest, plan.Balance, plan.Cheapest]
	fleetMoverConfig  = mover.Config[*memberAccess, *platform, maint.DeadlinePacer, maint.ZTest, plan.Balance, plan.Cheapest]
	membershipManager = boot.MembershipManager[*peers.Client, *memberAccess]
)

// Limits of maintenance waves.
const (
	// slowUnservedPermille and haltUnservedPermille are the shares of unserved
	// requests from which a wave allows only as much maintenance as its deadline
	// needs, and from which it starts no more.
	slowUnservedPermille = 60
	haltUnservedPermille = 200
	// waveStopZ is the difference from the failure rate of the peers, in standard
	// errors, above which a wave stops, and waveStopMinFailures the number of failed
	// requests below which the failure rates of requests are not compared.
	waveStopZ           = 4
	waveStopMinFailures = 3
)

// Control is a running control process.
type Control struct {
	cfg        conf.Control
	clock      clock.Clock
	log        *log.Logger
	recorder   *record.Recorder
	client     *peers.Client
	senders    *peers.Senders
	disk       *diskStore
	member     *memberAccess
	mover      *fleetMover
	membership *membershipManager
	memberLog  *memberLog
	// replicationLog is used only in the event loop of the member.
	replicationLog *replicationLog
	// jobs is nil in a process that schedules no jobs.
	jobs *JobsRunner
	gate *intake.Gate
	// commitMillis records the duration of each commit of the job runner, in ms.
	commitMillis metrics.Histogram
	// droppedLogLines returns the number of dropped log lines.
	droppedLogLines func() int64
}

// RunControl runs a control process until a signal stops it, and writes its log
// to out.
func RunControl(cfg conf.Control, out io.Writer) error {
	return RunJobsControl(cfg, JobsOptions{}, out)
}

// RunJobsControl is like RunControl, but the process also schedules jobs if
// o.Address is set.
func RunJobsControl(cfg conf.Control, o JobsOptions, out io.Writer) error {
	async := logs.NewAsyncWriter(out, clock.Real())
	defer async.Close()
	lg, err := logs.New(async, logs.Settings{Level: cfg.LogLevel, Process: cfg.Name, Zone: cfg.Zone}, clock.Real())
	if err != nil {
		return err
	}
	c, err := newControl(cfg, lg)
	if err != nil {
		return err
	}
	var g run.Group
	addSignals(&g, lg)
	c.droppedLogLines = async.Dropped
	addComponent(&g, newLeaver(c))
	if err := c.serveJobs(&g, o); err != nil {
		return err
	}
	if err := c.serve(&g); err != nil {
		return err
	}
	c.record(model.Event{Kind: model.EventStart, Detail: "control"})
	err = g.Run()
	c.client.Close()
	if cerr := c.disk.Close(); cerr != nil && err == nil {
		err = &Error{Op: "close the data folder", Kind: KindStore, Err: cerr}
	}
	lg.Info("stopped", "err", err)
	return err
}

func newControl(cfg conf.Control, lg *log.Logger) (*Control, error) {
	clk := clock.Real()
	self := memberOf(cfg.Controls, cfg.Name)
	// The list of control processes may lack this process or its zone.
	self.Zone = cfg.Zone
	if self.Address == "" {
		self.Address = cfg.Listen.Peers
	}
	d, err := store.Open(cfg.DataFolder, store.Options[codec.Codec, store.OSFileSystem]{
		Self:         raft.Member{Name: self.Name, Zone: self.Zone, Address: self.Address},
		SegmentBytes: cfg.Consensus.SegmentBytes,
	})
	if err != nil {
		return nil, &Error{Op: "open the data folder", Kind: KindStore, Err: err}
	}
	c := &Control{cfg: cfg, clock: clk, log: lg, disk: d, commitMillis: admin.NewHistogram(), droppedLogLines: func() int64 { return 0 }}
	c.gate = newGate(cfg.Intake, false, clk, lg)
	c.recorder = record.New(cfg.Name, cfg.EventCapacity, clk)
	c.client = peers.NewClient(cfg.Name, c.recorder)
	c.senders = peers.NewSenders(c.client, cfg.Controls)
	hello := boot.Hello{Name: cfg.Name, Zone: cfg.Zone, ID: d.Stored().Self.ID, Initialised: initialised(d.Stored())}
	c.member = newMemberAccess(hello, c.senders)
	c.memberLog = newMemberLog(lg, clk, hello)
	c.replicationLog = newReplicationLog(lg, clk, hello.ID)
	c.membership = boot.NewMembershipManager(boot.Config[*peers.Client, *memberAccess]{
		Self: hello, Member: raft.Member{ID: hello.ID, Name: self.Name, Zone: self.Zone, Address: self.Address},
		Configured: cfg.Controls, Peers: c.client, Group: c.member, Clock: clk,
		Joined: func(m raft.Member) {
			c.record(model.Event{Kind: model.EventRole, Detail: "added " + string(m.Name) + " with a new member ID"})
		},
		Asked: c.memberLog.asked,
	})
	waves := mover.NewWavePlanner(maint.DeadlinePacer{SlowPermille: slowUnservedPermille, HaltPermille: haltUnservedPermille},
		maint.ZTest{Z: waveStopZ, MinFailures: waveStopMinFailures}, waveSettings(cfg.Maintenance))
	capacity := mover.NewCapacityPlanner(plan.Balance{}, plan.Settings{MaxExchangeMoves: cfg.MaxExchangeMoves}, cfg.RepairAfterMillis, newSurgePlanner(cfg))
	c.mover = mover.New(fleetMoverConfig{
		Name: string(cfg.Name), Entries: cfg.Entries, Group: c.member, Platform: newPlatform(cfg.Platforms),
		Waves: waves, Capacity: capacity, Clock: clk, Events: c.record,
	})
	return c, nil
}

// initialised reports whether the data folder shows that this process has been in a
// group.
func initialised(s raft.StoredState) bool { return s.Snapshot.Index > 0 || len(s.Entries) > 0 }

// newSurgePlanner returns a surge planner with the weights of the operator's
// preference. With the preference off, the planner is disabled.
func newSurgePlanner(cfg conf.Control) *mover.SurgePlanner[plan.Cheapest] {
	w := plan.RolloutFirst()
	if cfg.SurgePreference == "buffer-cost" {
		w = plan.BufferFirst()
	}
	w.MinSpare = cfg.SurgeMinSpare
	return mover.NewSurgePlanner(plan.Cheapest{}, w, cfg.SurgePreference != "off")
}

// waveSettings returns the settings of maintenance waves.
func waveSettings(m conf.Maintenance) maint.Settings {
	s := maint.Defaults()
	s.MaintenanceMillis, s.CanaryMillis, s.StuckMillis = m.MaintenanceMillis, m.CanaryMillis, m.StuckMillis
	s.PeriodMillis = clock.Millis(m.PeriodDays) * clock.Day
	s.MarginMillis = clock.Millis(m.MarginDays) * clock.Day
	return s
}

// record adds an event to the event log. It also writes state changes to the process
// log.
func (c *Control) record(e model.Event) {
	c.recorder.Record(e)
	logs.Event(c.log, e)
}

// serve opens the listeners and adds the components, except the leaver and those that
// serveJobs adds, in the order in which they stop.
func (c *Control) serve(g *run.Group) error {
	l, err := listen("peers", c.cfg.Listen.Peers)
	if err != nil {
		return err
	}
	adm, err := admin.New(c.adminConfig())
	if err != nil {
		return &Error{Op: "listen for admin", Kind: KindListen, Err: err}
	}
	server := &peers.ControlServer[*memberAccess, *fleetMover]{
		Self: memberOf(c.cfg.Controls, c.cfg.Name), Controls: c.cfg.Controls, Entries: c.cfg.Entries,
		Group: c.member, Mover: c.mover, Check: newContractChecker(c.cfg, c.clock).check,
		Stamps: c.recorder, Clock: c.clock, Record: c.record,
	}
	events := peers.EventsServer{Events: func(since uint64) ([]model.Event, int64) {
		return c.recorder.Events(since), c.recorder.Counts().Dropped
	}}
	consensusServer := &peers.ConsensusServer[*memberAccess]{Group: c.member, Stamps: c.recorder}
	// If no entry processes are configured, there are no instances to move.
	if len(c.cfg.Entries) > 0 {
		addComponent(g, c.mover)
	}
	addComponent(g, c.membership)
	addServer(g, c.gate, c.client.Traffic.Listener(l), peers.Mux(server, consensusServer, nil, c.workServer(server), events), memberLimits, peerStopTimeout)
	addComponent(g, newGroupRunner(c))
	addComponent(g, adm)
	addComponent(g, c.recorder)
	return nil
}

func (c *Control) adminConfig() admin.Config {
	return admin.Config{
		Address:        c.cfg.Listen.Admin,
		Labels:         []admin.Label{{Name: "process", Value: string(c.cfg.Name)}, {Name: "zone", Value: string(c.cfg.Zone)}},
		NotReadyReason: c.notReadyReason, Events: c.recorder.Page, StopMillis: peerStopTimeout, Registry: c.newMetrics(), Gate: c.gate,
	}
}

// notReadyReason returns why the process is not ready, or "" if it is ready.
func (c *Control) notReadyReason() string {
	if c.member.Status().Leader.ID == 0 {
		return "no leader is known"
	}
	return ""
}

func (c *Control) newMetrics() metrics.Registry {
	r := metrics.NewRegistry()
	registerCounters(r, []counter{
		{"messages-dropped", c.senders.Dropped},
		{"reports-refused", c.mover.Refused},
		{"events-dropped", func() int64 { return c.recorder.Counts().Dropped }},
	})
	registerCounters(r, processCounters(c.client.Traffic))
	registerCounters(r, []counter{{"log-lines-dropped", c.droppedLogLines}})
	registerGate(r, c.gate)
	c.addJobMetrics(r)
	_ = admin.RegisterGauge(r, "term", func() int64 { return int64(c.member.Status().Term) })
	_ = admin.RegisterGauge(r, "commit-index", func() int64 { return int64(c.member.queryStatus(context.Background()).Commit) })
	memberCount := func(f func(group.Counts) int64) func() int64 {
		return func() int64 { return f(c.member.queryStatus(context.Background()).Counts) }
	}
	registerCounters(r, []counter{
		{"proposals", memberCount(func(n group.Counts) int64 { return n.Proposals })},
		{"log-writes", memberCount(func(n group.Counts) int64 { return n.LogWrites })},
		{"log-write-failures", memberCount(func(n group.Counts) int64 { return n.WriteFailures })},
		{"snapshots", memberCount(func(n group.Counts) int64 { return n.Snapshots })},
		{"snapshot-failures", memberCount(func(n group.Counts) int64 { return n.SnapshotFailures })},
		{"proposals-unknown", memberCount(func(n group.Counts) int64 { return n.OutcomesUnknown })},
		{"consensus-inputs-refused", memberCount(func(n group.Counts) int64 { return n.RefusedInputs })},
	})
	_ = admin.RegisterGauge(r, "leader", func() int64 {
		if _, ok := c.member.Leads(); ok {
			return 1
		}
		return 0
	})
	return r
}
