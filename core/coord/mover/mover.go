package mover

import (
	"context"

	"camphorridge/core/coord/follow"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/maint"
	"camphorridge/core/state/model"
	"camphorridge/core/state/plan"
	"camphorridge/core/state/ring"
)

// Timing and sizes of the mover.
const (
	// ringSize is the number of reports and status queries that can wait.
	ringSize int = 1024
	// passInterval is the time between two passes when no report triggers one.
	passInterval clock.Millis = 500
	// warmUpTime is how long a new leader collects reports before it marks absent
	// instances as lost or moves instances; entry processes report every second.
	warmUpTime = 5 * clock.Second
	// LossGrace is how long an instance must be absent before it is marked as
	// lost. Absence starts when no entry process reports the instance any more,
	// which is after the lease of its announcement has expired.
	LossGrace = 2 * clock.Second
	// callTimeout is the limit for one call to the control group or the platform.
	callTimeout clock.Millis = 2000
	// rebootRetryInterval is the time after which a reboot is requested again
	// when the instance has not restarted.
	rebootRetryInterval = 10 * clock.Second
)

// Group is the control group as the mover uses it.
type Group interface {
	// Leads returns the current term and whether this member leads in it.
	Leads() (term uint64, ok bool)
	// Propose replicates a change and returns the result of applying it.
	Propose(ctx context.Context, c model.Change) (model.Result, error)
	// Query runs f on the replicated state, in the group's goroutine.
	Query(ctx context.Context, f func(*fleet.State)) error
}

// Platform is the platform that hosts the instances.
type Platform interface {
	// Reboot requests a reboot and does not wait until it is finished.
	Reboot(ctx context.Context, i model.Instance) error
}

// Mover runs passes over the fleet while its member leads. Its methods may be
// called from any goroutine.
type Mover[G Group, P Platform, C maint.Pacer, J maint.StopPolicy, A plan.Policy, S plan.Chooser] struct {
	Config[G, P, C, J, A, S]
	in *ring.Ring[input]
	// done is closed by Stop, and ended when Run returns.
	done  chan struct{}
	ended chan struct{}

	// The fields below are used by Run's goroutine alone.

	registry *Registry
	// table is a copy of the replicated table.
	table model.Table
	// moving holds the instances that are released for a move to another pool or
	// for retirement. It keeps the cost of a pass proportional to the moves in
	// progress and not to the size of the fleet.
	moving map[model.InstanceID]bool
	// inMaintenance holds the instances that are released for maintenance or in
	// maintenance.
	inMaintenance map[model.InstanceID]bool
	// silentZones records for each zone whether observeSilentZones last found it
	// without a recent report of an entry process.
	silentZones map[model.Zone]bool
	// observed holds the last observation of each instance that was passed to the
	// wave planner.
	observed map[model.InstanceID]maint.Observation
	// load holds the recent request counts of customers and instances.
	load loadTotals
	// lastOutage is the last finished outage that was read from the state.
	lastOutage    model.Outage
	termStartedAt clock.Millis
	// rebootRequestedAt holds, for each instance in maintenance, the time of its
	// last reboot request in this term.
	rebootRequestedAt map[model.InstanceID]clock.Millis
	// waits holds the waits of the last pass.
	waits []Wait
	// term is the last term in which this member led.
	term uint64
}

// input is an element of the ring: a report, or a status query, whose answer is
// sent to status.
type input struct {
	report *follow.Report
	status chan<- Status
}

// Status is the state of the mover that operators see.
type Status struct {
	Processes []ProcessReport
	Waits     []Wait
}

// Config holds the dependencies of a Mover.
type Config[G Group, P Platform, C maint.Pacer, J maint.StopPolicy, A plan.Policy, S plan.Chooser] struct {
	// Name is the author of the mover's changes.
	Name string
	// Entries lists the configured entry processes of all zones.
	Entries  []model.Member
	Group    G
	Platform P
	Waves    *WavePlanner[C, J]
	Capacity *CapacityPlanner[A, S]
	Clock    clock.Clock
	// Events receives events for the event log; it must not block.
	Events func(model.Event)
}

// New returns a mover. It handles reports only while Run is running.
func New[G Group, P Platform, C maint.Pacer, J maint.StopPolicy, A plan.Policy, S plan.Chooser](cfg Config[G, P, C, J, A, S]) *Mover[G, P, C, J, A, S] {
	m := &Mover[G, P, C, J, A, S]{
		Config: cfg,
		in:     ring.New[input](ringSize), done: make(chan struct{}), ended: make(chan struct{}),
	}
	m.reset(0)
	return m
}

// reset clears the state that belongs to a term. A new leader needs none of an earlier
// term, because entry processes send complete reports to it.
func (m *Mover[G, P, C, J, A, S]) reset(term uint64) {
	m.term = term
	m.registry = NewRegistry()
	m.table = emptyTable()
	m.moving = map[model.InstanceID]bool{}
	m.inMaintenance = map[model.InstanceID]bool{}
	m.silentZones = map[model.Zone]bool{}
	m.observed = map[model.InstanceID]maint.Observation{}
	m.load = newLoadTotals()
	m.lastOutage = model.Outage{}
	m.termStartedAt = m.Clock.Now()
	m.Waves.Reset(nil)
	m.Capacity.Reset()
	m.rebootRequestedAt = map[model.InstanceID]clock.Millis{}
	m.waits = nil
}

// followTerm resets the mover when this member leads in a new term. It reports
// whether this member leads.
func (m *Mover[G, P, C, J, A, S]) followTerm() bool {
	term, ok := m.Group.Leads()
	if ok && term != m.term {
		m.reset(term)
	}
	return ok
}

// Report passes a report of an entry process to the mover. It returns false when
// the ring is full.
func (m *Mover[G, P, C, J, A, S]) Report(r follow.Report) bool {
	return m.in.TryPut(input{report: &r})
}

// Status returns the latest reports of the entry processes and the waits of the
// last pass. It is empty when ctx or Run has ended.
func (m *Mover[G, P, C, J, A, S]) Status(ctx context.Context) Status {
	answer := make(chan Status, 1)
	if !m.in.PutWait(input{status: answer}, m.ended) {
		return Status{}
	}
	select {
	case s := <-answer:
		return s
	case <-ctx.Done():
	case <-m.ended:
	}
	return Status{}
}

// Refused returns the number of reports that were refused because the ring was
// full.
func (m *Mover[G, P, C, J, A, S]) Refused() int64 { return m.in.Refused() }

// Stop ends Run.
func (m *Mover[G, P, C, J, A, S]) Stop() { close(m.done) }

// Run handles reports and runs passes until Stop.
func (m *Mover[G, P, C, J, A, S]) Run() error {
	defer close(m.ended)
	tick := m.Clock.After(passInterval)
	for {
		select {
		case i := <-m.in.C():
			if m.handleInput(i) {
				m.pass()
			}
		case <-tick:
			m.pass()
			tick = m.Clock.After(passInterval)
		case <-m.done:
			return nil
		}
	}
}

// handleInput handles an input and reports whether a pass should follow because
// something changed.
func (m *Mover[G, P, C, J, A, S]) handleInput(i input) bool {
	if i.status != nil {
		i.status <- Status{Processes: m.registry.List(), Waits: append([]Wait(nil), m.waits...)}
		return false
	}
	// Reset for a new term before the report is added. Otherwise the first pass of
	// the term would discard the report, and entry processes report an unchanged
	// instance only once in a term.
	m.followTerm()
	drainedVersionBefore := m.registry.Processes[i.report.Process].DrainedVersion
	m.registry.AddReport(*i.report, m.Clock.Now())
	m.load.add(i.report.Load)
	m.Capacity.RecordDemand(i.report.Process, i.report.Demand, m.Clock.Now())
	return len(i.report.Changed) > 0 || len(i.report.Gone) > 0 || i.report.DrainedVersion != drainedVersionBefore
}
