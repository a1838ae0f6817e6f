package mover

import (
	"context"

	"camphorridge/core/coord/follow"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
	"camphorridge/core/state/ring"
)

// Timing and sizes of the duty.
const (
	ringSize int = 1024
	// passInterval bounds how late a step is taken that nothing wakes up.
	passInterval clock.Millis = 200
	callTimeout  clock.Millis = 2000
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

// Waves decides which instances to release next.
type Waves interface {
	// Next returns the releases to make now and the waits of the others. It
	// must be a function of its arguments alone, so that a new leader goes on
	// where the last one stopped.
	Next(v View) ([]model.InstanceStep, []Wait)
}

// View is what a wave decision may look at.
type View struct {
	Table       model.Table
	Maintenance map[string]model.Maintenance
	Registry    *Registry
	Now         clock.Millis
}

// Mover is the duty. Its methods may be called from any goroutine.
type Mover[G Group, P Platform, W Waves] struct {
	// Name is the author of the mover's changes.
	Name     string
	Entries  []model.Member
	group    G
	platform P
	waves    W
	clock    clock.Clock
	events   func(model.Event)
	in       *ring.Ring[input]
	done     chan struct{}
	ended    chan struct{}

	// The fields below are touched by Run alone.

	registry    *Registry
	table       model.Table
	maintenance map[string]model.Maintenance
	// busy holds the instances that are not serving, so that a pass costs what
	// is under way and not the fleet.
	busy map[model.InstanceID]bool
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

// New returns a mover; Run must be called for it to do anything.
func New[G Group, P Platform, W Waves](name string, entries []model.Member, g G, p P, w W, c clock.Clock, events func(model.Event)) *Mover[G, P, W] {
	m := &Mover[G, P, W]{
		Name: name, Entries: entries, group: g, platform: p, waves: w, clock: c, events: events,
		in: ring.New[input](ringSize), done: make(chan struct{}), ended: make(chan struct{}),
	}
	m.reset(0)
	return m
}

// reset forgets what belongs to a term: a new leader hears all reports anew.
func (m *Mover[G, P, W]) reset(term uint64) {
	m.term = term
	m.registry = NewRegistry()
	m.rebooted = map[model.InstanceID]clock.Millis{}
	m.waits = nil
}

// Report takes a report of an entry process; false when the ring is full.
func (m *Mover[G, P, W]) Report(r follow.Report) bool {
	return m.in.Put(input{report: &r})
}

// Status returns what the mover knows of the entry processes.
func (m *Mover[G, P, W]) Status(ctx context.Context) Status {
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
func (m *Mover[G, P, W]) Refused() int64 { return m.in.Refused() }

// Stop ends Run.
func (m *Mover[G, P, W]) Stop() { close(m.done) }

// Run takes reports and makes passes until Stop.
func (m *Mover[G, P, W]) Run() error {
	defer close(m.ended)
	tick := m.clock.After(passInterval)
	for {
		select {
		case i := <-m.in.C():
			if m.take(i) {
				m.pass()
			}
		case <-tick:
			m.pass()
			tick = m.clock.After(passInterval)
		case <-m.done:
			return nil
		}
	}
}

// take handles an input and reports whether a pass may find something new.
func (m *Mover[G, P, W]) take(i input) bool {
	if i.status != nil {
		i.status <- Status{Processes: m.registry.List(), Waits: append([]Wait(nil), m.waits...)}
		return false
	}
	before := m.registry.Processes[i.report.Process].Drained
	m.registry.Take(*i.report, m.clock.Now())
	return len(i.report.Live) > 0 || len(i.report.Gone) > 0 || i.report.Drained != before
}

// pass brings the mover's copy of the table up to date and takes the steps
// that are due.
func (m *Mover[G, P, W]) pass() {
	term, ok := m.group.Leads()
	if !ok {
		m.waits = nil
		return
	}
	if term != m.term {
		m.reset(term)
	}
	if !m.refresh() {
		return
	}
	steps := Enrol(m.table, m.registry)
	m.registry.Settle(m.table)
	finished, waits := m.finish()
	steps = append(steps, finished...)
	released, more := m.waves.Next(View{
		Table: m.table, Maintenance: m.maintenance, Registry: m.registry, Now: m.clock.Now(),
	})
	m.waits = append(waits, more...)
	// A release must not share a change with another step of its instance.
	m.propose(first(append(steps, released...)))
}

// refresh follows the table of the group by its deltas.
func (m *Mover[G, P, W]) refresh() bool {
	ctx, cancel := m.deadline()
	defer cancel()
	var d model.Delta
	err := m.group.Query(ctx, func(s *fleet.State) {
		d = s.Delta(m.table.Version)
		m.maintenance = make(map[string]model.Maintenance, len(s.Maintenance))
		for k, v := range s.Maintenance {
			m.maintenance[k] = v
		}
	})
	if err != nil {
		return false
	}
	if m.table.Contracts == nil || !fleet.Merge(&m.table, d) {
		m.table = model.Table{Contracts: map[model.Customer]model.Contract{}, Instances: map[model.InstanceID]model.Instance{}}
		m.busy = map[model.InstanceID]bool{}
		if !fleet.Merge(&m.table, d) {
			return false
		}
	}
	for _, i := range d.Instances {
		if i.Phase == model.PhaseReleasing || i.Phase == model.PhaseMaintenance {
			m.busy[i.ID] = true
			continue
		}
		delete(m.busy, i.ID)
	}
	return true
}

// finish returns the steps of the instances under way.
func (m *Mover[G, P, W]) finish() ([]model.InstanceStep, []Wait) {
	var steps []model.InstanceStep
	var waits []Wait
	for id := range m.busy {
		i := m.table.Instances[id]
		var step model.InstanceStep
		var wait *Wait
		if i.Phase == model.PhaseReleasing {
			step, wait = FinishRelease(i, m.registry, m.Entries)
		} else {
			step, wait = FinishMaintenance(i, m.registry, m.clock.Now())
			m.reboot(i, wait)
		}
		if wait != nil {
			waits = append(waits, *wait)
			continue
		}
		steps = append(steps, step)
	}
	return first(steps), waits
}

// reboot asks the platform for a reboot that has not shown an effect yet.
func (m *Mover[G, P, W]) reboot(i model.Instance, wait *Wait) {
	if wait == nil {
		delete(m.rebooted, i.ID)
		return
	}
	now := m.clock.Now()
	if asked, ok := m.rebooted[i.ID]; ok && now-asked < rebootRetry {
		return
	}
	m.rebooted[i.ID] = now
	ctx, cancel := m.deadline()
	defer cancel()
	detail := "asked the platform for a reboot"
	if err := m.platform.Reboot(ctx, i); err != nil {
		detail = "the platform refused the reboot: " + err.Error()
	}
	m.events(model.Event{Kind: model.EventWave, Instance: i.ID, Pool: i.Pool, Detail: detail})
}

func (m *Mover[G, P, W]) propose(steps []model.InstanceStep) {
	if len(steps) == 0 {
		return
	}
	ctx, cancel := m.deadline()
	defer cancel()
	_, err := m.group.Propose(ctx, model.Change{Kind: model.ChangeInstances, Author: m.Name, Instances: steps})
	if err != nil {
		return
	}
	for _, s := range steps {
		m.events(model.Event{
			Kind: model.EventInstance, Instance: s.Instance.ID, Pool: s.Instance.Pool,
			Detail: s.Instance.Phase.String() + ": " + s.Instance.Reason,
		})
	}
}

func (m *Mover[G, P, W]) deadline() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout.Duration())
}
