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
	// WatchWait is how long a control member may delay its answer until the table
	// changes.
	WatchWait = 2 * clock.Second
	// watchMargin is how much the timeout of a Watch call exceeds the delay that the
	// call allows.
	watchMargin = clock.Second
	// retryDelay is the time between two rounds when no control member answers.
	retryDelay clock.Millis = 250
	// neighbourTimeout is the timeout of a call to a neighbour.
	neighbourTimeout clock.Millis = 500
	// fallbackDelay is a time without an answer from a control member. A process
	// without a table asks its neighbours for one only after this time. A process with
	// a table asks them at once; after this time it confirms its own table if no
	// neighbour answers either. It is a time and not a number of rounds, because a
	// round over unresponsive members takes seconds.
	fallbackDelay = 5 * clock.Second
)

// ApplyFunc applies a delta to the table of the process. It fails when the delta would
// lower the version or doesn't start at the version of the table.
type ApplyFunc func(d model.Delta) error

// Source reads tables from other processes.
type Source interface {
	// Watch asks a control member for the changes after the version from. The member
	// may delay its answer by wait until there are any.
	Watch(ctx context.Context, m model.Member, from model.Version, wait clock.Millis) (model.Delta, error)
	// Table asks an entry process for the changes after the version from; ready is
	// false while it has no table.
	Table(ctx context.Context, m model.Member, from model.Version) (d model.Delta, ready bool, err error)
}

// Poller keeps the table of an entry process up to date.
type Poller[S Source] struct {
	Self model.Member
	// ControlMembers lists the control members, those of the same zone first.
	ControlMembers []model.Member
	// Neighbours lists the other entry processes of the same zone.
	Neighbours []model.Member
	source     S
	apply      ApplyFunc
	clock      clock.Clock
	done       chan struct{}
	// version is the version of the table in force.
	version atomic.Uint64
	// inForceSince is the time in milliseconds at which the table in force was
	// applied; 0 for none.
	inForceSince atomic.Int64
	// lastContact is the time in milliseconds of the last accepted answer from a
	// control member; 0 for none.
	lastContact atomic.Int64
	// lastAnswered is set when the last call to a control member returned a delta
	// that was applied. Only then may the next member delay its answer.
	lastAnswered bool
	// unansweredSince is the start of the first round in which no control member
	// answered; 0 after an answer.
	unansweredSince clock.Millis
}

// NewPoller returns a poller for the process self.
func NewPoller[S Source](self model.Member, control, entries []model.Member, s S, apply ApplyFunc, c clock.Clock) *Poller[S] {
	p := &Poller[S]{Self: self, source: s, apply: apply, clock: c, done: make(chan struct{})}
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

// Version returns the version of the table in force, or 0 if there is no table.
func (p *Poller[S]) Version() model.Version { return model.Version(p.version.Load()) }

// InForceSince returns the time at which the table in force was applied; 0 for none.
func (p *Poller[S]) InForceSince() clock.Millis { return clock.Millis(p.inForceSince.Load()) }

// LastContact returns the time of the last accepted answer from a control member; 0
// for none.
func (p *Poller[S]) LastContact() clock.Millis { return clock.Millis(p.lastContact.Load()) }

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
		case <-p.clock.After(retryDelay):
		case <-p.done:
		}
	}
	return nil
}

// round polls the control members and, when none answers, the neighbours. It reports
// whether a control member answered.
func (p *Poller[S]) round(ctx context.Context) bool {
	start := p.clock.Now()
	if p.pollControl(ctx) {
		p.unansweredSince = 0
		return true
	}
	if p.unansweredSince == 0 {
		p.unansweredSince = start
	}
	p.pollNeighbours(ctx)
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

// pollControl polls the control members in turn until one answers with a delta that
// can be applied, and reports whether one did. After a failure it lets no member delay
// its answer. It returns true when Stop was called during a call, so that no neighbour
// is polled.
func (p *Poller[S]) pollControl(ctx context.Context) bool {
	for _, m := range p.ControlMembers {
		wait := WatchWait
		if !p.lastAnswered {
			wait = 0
		}
		callCtx, cancel := context.WithTimeout(ctx, (wait + watchMargin).Duration())
		d, err := p.source.Watch(callCtx, m, p.Version(), wait)
		cancel()
		if p.stopped() {
			return true
		}
		if err != nil || !p.applyDelta(d) {
			p.lastAnswered = false
			continue
		}
		p.lastAnswered = true
		p.lastContact.Store(int64(p.clock.Now()))
		return true
	}
	return false
}

// applyDelta applies a delta and reports whether it was accepted. An empty delta is
// applied too: it confirms the table after a pause of this process. A delta from a
// process whose table is older than the one in force is not accepted.
func (p *Poller[S]) applyDelta(d model.Delta) bool {
	before := p.Version()
	if d.To < before || p.apply(d) != nil {
		return false
	}
	if d.To > before || p.inForceSince.Load() == 0 {
		p.version.Store(uint64(d.To))
		p.inForceSince.Store(int64(p.clock.Now()))
	}
	return true
}

// pollNeighbours applies the neighbours' tables while no control member answers. A
// process without a table tries control members for fallbackDelay first. When a
// process with a table gets no answer from a control member for fallbackDelay, nor
// from a neighbour, it applies an empty delta, which confirms its own table: a
// partitioned zone must continue to serve.
func (p *Poller[S]) pollNeighbours(ctx context.Context) {
	mayFallBack := p.clock.Now()-p.unansweredSince >= fallbackDelay
	if p.Version() == 0 && !mayFallBack {
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
		answered = p.applyDelta(d) || answered
	}
	if v := p.Version(); !answered && mayFallBack && v > 0 {
		p.applyDelta(model.Delta{From: v, To: v})
	}
}
