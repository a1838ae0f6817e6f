package follow

import (
	"context"
	"sort"
	"sync/atomic"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Timing of the poller.
const (
	// WatchWait is how long a control member may hold back its answer.
	WatchWait = 2 * clock.Second
	// watchSlack is added to WatchWait before a member counts as silent.
	watchSlack = clock.Second
	// retryWait separates two rounds in which nobody answered.
	retryWait clock.Millis = 250
	// neighbourTimeout bounds one question to a neighbour.
	neighbourTimeout clock.Millis = 500
	// aloneWait is the time without a control member after which a process goes
	// by its neighbours, or by the table it has. It is a time and not a number
	// of rounds, because a round over silent members takes seconds.
	aloneWait = 5 * clock.Second
)

// ApplyFunc hands a delta to the duty that owns the table. An error means that it
// was not taken: it would lower the version or does not follow on the table.
type ApplyFunc func(d model.Delta) error

// Source reads tables from other processes.
type Source interface {
	// Watch asks a control member for the delta after a version.
	Watch(ctx context.Context, m model.Member, from model.Version, wait clock.Millis) (model.Delta, error)
	// Table asks an entry process; ready is false while it has no table.
	Table(ctx context.Context, m model.Member, from model.Version) (d model.Delta, ready bool, err error)
}

// Poller is the duty that fetches the table.
type Poller[S Source] struct {
	Self model.Member
	// ControlMembers lists the control members, those of the own zone first.
	ControlMembers []model.Member
	// Neighbours lists the other entry processes of the own zone.
	Neighbours []model.Member
	source     S
	offer      ApplyFunc
	clock      clock.Clock
	done       chan struct{}
	version    atomic.Uint64
	inForce    atomic.Int64
	// contact is the time of the last answer of a control member.
	contact atomic.Int64
	// answered says that the last question to a control member was answered;
	// the next one may then be held back.
	answered bool
	// alone is the start of the first round without an answer of a control
	// member; 0 after an answer.
	alone clock.Millis
}

// NewPoller returns a poller for the process self.
func NewPoller[S Source](self model.Member, control, entries []model.Member, s S, offer ApplyFunc, c clock.Clock) *Poller[S] {
	p := &Poller[S]{Self: self, source: s, offer: offer, clock: c, done: make(chan struct{})}
	p.ControlMembers = append(p.ControlMembers, control...)
	sort.SliceStable(p.ControlMembers, func(i, j int) bool {
		a, b := p.ControlMembers[i].Zone == self.Zone, p.ControlMembers[j].Zone == self.Zone
		return a && !b
	})
	for _, m := range entries {
		if m.Zone == self.Zone && m.Name != self.Name {
			p.Neighbours = append(p.Neighbours, m)
		}
	}
	return p
}

// Version is the version of the table in force.
func (p *Poller[S]) Version() model.Version { return model.Version(p.version.Load()) }

// InForceSince is the time from which the table has been in force.
func (p *Poller[S]) InForceSince() clock.Millis { return clock.Millis(p.inForce.Load()) }

// LastContact is the time of the last answer of a control member; 0 for none.
func (p *Poller[S]) LastContact() clock.Millis { return clock.Millis(p.contact.Load()) }

// Run polls until Stop.
func (p *Poller[S]) Run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-p.done
		cancel()
	}()
	for !p.stopped() {
		if p.round(ctx) {
			continue
		}
		select {
		case <-p.clock.After(retryWait):
		case <-p.done:
		}
	}
	return nil
}

// round asks the control members and, when none answers, the neighbours. It
// reports whether a control member answered.
func (p *Poller[S]) round(ctx context.Context) bool {
	began := p.clock.Now()
	if p.pollControl(ctx) {
		p.alone = 0
		return true
	}
	if p.alone == 0 {
		p.alone = began
	}
	p.goAlone(ctx)
	return false
}

// Stop ends Run.
func (p *Poller[S]) Stop() { close(p.done) }

func (p *Poller[S]) stopped() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// pollControl asks the control members in turn and reports whether one
// answered. Until one has, it asks them not to hold the answer back.
func (p *Poller[S]) pollControl(ctx context.Context) bool {
	for _, m := range p.ControlMembers {
		wait := WatchWait
		if !p.answered {
			wait = 0
		}
		callCtx, cancel := context.WithTimeout(ctx, (wait + watchSlack).Duration())
		d, err := p.source.Watch(callCtx, m, p.Version(), wait)
		cancel()
		if p.stopped() {
			return true
		}
		if err != nil || !p.take(d) {
			p.answered = false
			continue
		}
		p.answered = true
		p.contact.Store(int64(p.clock.Now()))
		return true
	}
	return false
}

// take offers the delta to the table's owner. An empty delta is offered too:
// it confirms the table after a pause of this process. A member that is behind
// this process offers nothing that can be taken.
func (p *Poller[S]) take(d model.Delta) bool {
	before := p.Version()
	if d.To < before || p.offer(d) != nil {
		return false
	}
	if d.To > before || p.inForce.Load() == 0 {
		p.version.Store(uint64(d.To))
		p.inForce.Store(int64(p.clock.Now()))
	}
	return true
}

// goAlone goes by the neighbours' tables while no control member answers. A
// process without a table first looks for a control member for some time, and
// one that hears nobody goes on with the table it has: a partitioned zone must
// serve what it can.
func (p *Poller[S]) goAlone(ctx context.Context) {
	enough := p.clock.Now()-p.alone >= aloneWait
	if p.Version() == 0 && !enough {
		return
	}
	answered := false
	for _, m := range p.Neighbours {
		callCtx, cancel := context.WithTimeout(ctx, neighbourTimeout.Duration())
		d, ready, err := p.source.Table(callCtx, m, p.Version())
		cancel()
		if err != nil || !ready {
			continue
		}
		answered = p.take(d) || answered
	}
	if v := p.Version(); !answered && enough && v > 0 {
		p.take(model.Delta{From: v, To: v})
	}
}
