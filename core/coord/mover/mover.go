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

// Timing and sizes of the duty.
const (
	ringSize int = 1024
	// passInterval bounds how late a step is taken that nothing wakes up.
	passInterval clock.Millis = 500
	// warmUp is the time that a new leader listens before it takes an absent
	// instance for lost; the entry processes report within a second.
	warmUp = 5 * clock.Second
	// LossGrace is the time after which an absent instance counts as lost. The
	// lease of its announcement has lapsed before.
	LossGrace                = 2 * clock.Second
	callTimeout clock.Millis = 2000
	// rebootRetry is the time after which a reboot that showed no effect is
	// asked for again.
	rebootRetry = 10 * clock.Second
)

// Group is what the mover needs of the control group.
type Group interface {
	// Leads reports whether this member leads and in which term.
	Leads() (term uint64, ok bool)
	Propose(ctx context.Context, c model.Change) (model.Result, error)
	// Query runs f on the state in the group's own goroutine.
	Query(ctx context.Context, f func(*fleet.State)) error
}

// Platform is the interface of the platform that hosts the instances.
type Platform interface {
	// Reboot asks for a reboot and does not wait for its end.
	Reboot(ctx context.Context, i model.Instance) error
}

// Mover is the duty. Its methods may be called from any goroutine.
type Mover[G Group, P Platform, C maint.Pacer, J maint.StopPolicy, A plan.Policy, S plan.Chooser] struct {
	Config[G, P, C, J, A, S]
	in    *ring.Ring[input]
	done  chan struct{}
	ended chan struct{}

	// The fields below are touched by Run alone.

	registry *Registry
	table    model.Table
	// moving holds the instances on their way to another pool, so that a pass
	// costs what is under way and not the fleet.
	moving map[model.InstanceID]bool
	// away holds the instances in maintenance.
	away map[model.InstanceID]bool
	// silent holds the zones of which no entry process has reported lately.
	silent map[model.Zone]bool
	// seen is what the board was last told of an instance.
	seen map[model.InstanceID]maint.Observation
	// felt sums what callers felt lately.
	felt feeling
	// outage is the last finished outage that was read.
	outage model.Outage
	began  clock.Millis
	// rebooted holds when a reboot was last asked for, in this term.
	rebooted map[model.InstanceID]clock.Millis
	waits    []Wait
	term     uint64
}

type input struct {
	report *follow.Report
	status chan<- Status
}

// Status is what the mover tells operators.
type Status struct {
	Processes []ProcessReport
	Waits     []Wait
}

// Config are what a mover works with.
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
	// Events takes the events of the time line; it must not wait.
	Events func(model.Event)
}

// New returns a mover; Run must be called for it to do anything.
func New[G Group, P Platform, C maint.Pacer, J maint.StopPolicy, A plan.Policy, S plan.Chooser](p Config[G, P, C, J, A, S]) *Mover[G, P, C, J, A, S] {
	m := &Mover[G, P, C, J, A, S]{
		Config: p,
		in:     ring.New[input](ringSize), done: make(chan struct{}), ended: make(chan struct{}),
	}
	m.reset(0)
	return m
}

// reset forgets what belongs to a term: a new leader hears all reports anew.
func (m *Mover[G, P, C, J, A, S]) reset(term uint64) {
	m.term = term
	m.registry = NewRegistry()
	m.table = emptyTable()
	m.moving = map[model.InstanceID]bool{}
	m.away = map[model.InstanceID]bool{}
	m.silent = map[model.Zone]bool{}
	m.seen = map[model.InstanceID]maint.Observation{}
	m.felt = newFeeling()
	m.outage = model.Outage{}
	m.began = m.Clock.Now()
	m.Waves.Reset(nil)
	m.Capacity.Reset()
	m.rebooted = map[model.InstanceID]clock.Millis{}
	m.waits = nil
}

// followTerm starts anew when this member leads in another term than before,
// and reports whether it leads.
func (m *Mover[G, P, C, J, A, S]) followTerm() bool {
	term, ok := m.Group.Leads()
	if ok && term != m.term {
		m.reset(term)
	}
	return ok
}

// Report takes a report of an entry process; false when the ring is full.
func (m *Mover[G, P, C, J, A, S]) Report(r follow.Report) bool {
	return m.in.TryPut(input{report: &r})
}

// Status returns what the mover knows of the entry processes.
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

// Refused is the number of reports that found a full ring.
func (m *Mover[G, P, C, J, A, S]) Refused() int64 { return m.in.Refused() }

// Stop ends Run.
func (m *Mover[G, P, C, J, A, S]) Stop() { close(m.done) }

// Run takes reports and makes passes until Stop.
func (m *Mover[G, P, C, J, A, S]) Run() error {
	defer close(m.ended)
	tick := m.Clock.After(passInterval)
	for {
		select {
		case i := <-m.in.C():
			if m.take(i) {
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

// take handles an input and reports whether a pass may find something new.
func (m *Mover[G, P, C, J, A, S]) take(i input) bool {
	if i.status != nil {
		i.status <- Status{Processes: m.registry.List(), Waits: append([]Wait(nil), m.waits...)}
		return false
	}
	// Entry processes report an instance once in a term, so a report that comes
	// before the first pass of a term must outlast the reset of that pass.
	m.followTerm()
	before := m.registry.Processes[i.report.Process].Drained
	m.registry.AddReport(*i.report, m.Clock.Now())
	m.felt.add(i.report.Load)
	m.Capacity.Report(i.report.Process, i.report.Demand, m.Clock.Now())
	return len(i.report.Live) > 0 || len(i.report.Gone) > 0 || i.report.Drained != before
}
