package entry

import (
	"fmt"
	"sync"
	"sync/atomic"

	"camphorridge/core/state/admit"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/lend"
	"camphorridge/core/state/member"
	"camphorridge/core/state/model"
	"camphorridge/core/state/ring"
	"camphorridge/core/state/route"
)

const (
	// DefaultRingSize holds one message of each connection of a busy process.
	DefaultRingSize = 4096
	// batch is the number of messages handled under one reading of the clock.
	batch = 64
	// tickEvery bounds how late an expired waiter is answered.
	tickEvery clock.Millis = 50
)

// messageKind tells the messages in the ring apart.
type messageKind uint8

const (
	messageAsk messageKind = iota
	messageCancel
	messageDone
	messageCommand
)

// message is one entry of the ring.
type message struct {
	kind    messageKind
	outcome Outcome
	ticket  Ticket
	elapsed clock.Millis
	ask     *ask
	command *command
}

// ask is a request on its way through the dispatcher. The dispatcher answers
// each ask exactly once.
type ask struct {
	request Request
	// reply has room for the one answer, so that the dispatcher never waits.
	reply chan struct{}
	// grant and refusal are set before reply is sent.
	grant   Grant
	refusal *Refusal
	// waiter is owned by the dispatcher; nil unless the ask is queued.
	waiter *admit.Waiter[*ask]
}

// place is a reserved slot: of the own share, or of a loan when that is set.
type place struct {
	held route.Reservation
	loan *lend.HeldLoan
}

// flight is a granted request.
type flight struct {
	line *admit.Queue[*ask]
	place
	id string
	// number makes the tickets of one place different over time.
	number uint32
}

// Dispatcher is the duty that owns admission, routing and announcements.
type Dispatcher[P admit.Picker, Q route.Policy, L lend.Policy] struct {
	cfg  Settings
	clk  clock.Clock
	in   *ring.Ring[message]
	done chan struct{}
	stop sync.Once
	asks sync.Pool
	// drained and serving are copies of the state for other goroutines.
	drained atomic.Uint64
	serving atomic.Bool
	gate    *admit.Controller[P, *ask]
	router  *route.Router[Q]
	roster  *member.Roster
	loans   *lend.Ledger[L]
	// borrowing holds the pools with loans, for the time line.
	borrowing map[model.Pool]bool
	// rolled is the time of the last Roll of the router.
	rolled clock.Millis
	needs  []lend.PoolDemand
	orders []lend.Message
	stocks []lend.UpstreamSlots
	table  model.Table
	// ready is false before the first table, and after a pause of this process
	// until the table was read again.
	ready bool
	// rank and count divide contracts over the entry processes.
	rank, count int
	// slots counts the instances of each pool by their number of slots.
	slots   map[model.Pool]map[int]int
	counted map[model.InstanceID]counted
	// spread counts the serving instances of each pool by zone.
	spread  map[model.Pool]map[model.Zone]int
	flights []flight
	free    []uint32
	counts  Counts
	felt    tally
	late    []*ask
	pools   []model.Pool
	lapsed  []member.Record
	back    []*route.Upstream
	// refusals counts what was refused since reported; only for customers and
	// pools of contracts, so their number is bounded.
	refusals map[refused]int
	reported clock.Millis
}

// New returns a dispatcher that is not running yet.
func New[P admit.Picker, Q route.Policy, L lend.Policy](cfg Settings, clk clock.Clock, picker P, policy Q, lending L) *Dispatcher[P, Q, L] {
	if cfg.RingSize <= 0 {
		cfg.RingSize = DefaultRingSize
	}
	var all, near []model.Process
	for _, m := range cfg.Entries {
		all = append(all, m.Name)
		if m.Zone == cfg.Zone {
			near = append(near, m.Name)
		}
	}
	d := &Dispatcher[P, Q, L]{
		cfg:       cfg,
		clk:       clk,
		in:        ring.New[message](cfg.RingSize),
		done:      make(chan struct{}),
		gate:      admit.New[P, *ask](picker),
		felt:      newTally(),
		roster:    member.New(member.Settings{Zone: cfg.Zone, Lease: cfg.Lease}, clk.Now()),
		refusals:  map[refused]int{},
		slots:     map[model.Pool]map[int]int{},
		counted:   map[model.InstanceID]counted{},
		spread:    map[model.Pool]map[model.Zone]int{},
		loans:     lend.New(cfg.Lending, lending, clk.Now()),
		borrowing: map[model.Pool]bool{},
		table: model.Table{
			Contracts: map[model.Customer]model.Contract{},
			Instances: map[model.InstanceID]model.Instance{},
		},
	}
	d.rank, d.count = admit.Rank(all, cfg.Self)
	zoneRank, zoneCount := admit.Rank(near, cfg.Self)
	d.router = route.New(route.Settings{
		Zone: cfg.Zone, Rank: zoneRank, Count: zoneCount,
		Lending: d.loans.Enabled(), ReservePercent: cfg.Lending.ReservePercent,
	}, policy)
	d.router.LoansUncertain = d.loans.Quarantined(clk.Now())
	d.asks.New = func() any { return &ask{reply: make(chan struct{}, 1)} }
	return d
}

// Run is the duty's loop; it returns after Stop.
func (d *Dispatcher[P, Q, L]) Run() error {
	buf := make([]message, 0, batch)
	tick := d.clk.After(tickEvery)
	for {
		select {
		case m := <-d.in.C():
			buf = d.in.Drain(append(buf[:0], m), batch)
			// The clock is read after the messages were taken, so that none is
			// handled under a time before it was sent.
			now := d.observe()
			for i := range buf {
				d.handle(now, buf[i])
				buf[i] = message{}
			}
		case <-tick:
			d.tick(d.observe())
			tick = d.clk.After(tickEvery)
		case <-d.done:
			return nil
		}
		d.publish()
	}
}

// publish copies what other goroutines read without a message.
func (d *Dispatcher[P, Q, L]) publish() {
	d.drained.Store(uint64(d.router.DrainedVersion()))
	d.serving.Store(d.ready)
}

// Stop ends the duty. Asks that wait are refused.
func (d *Dispatcher[P, Q, L]) Stop() { d.stop.Do(func() { close(d.done) }) }

// observe reads the clock and notices a pause of this process.
func (d *Dispatcher[P, Q, L]) observe() clock.Millis {
	now := d.clk.Now()
	if d.roster.Tick(now) {
		d.ready = false
	}
	return now
}

func (d *Dispatcher[P, Q, L]) handle(now clock.Millis, m message) {
	switch m.kind {
	case messageAsk:
		d.admit(now, m.ask)
	case messageCancel:
		d.cancel(m.ask)
	case messageDone:
		d.end(now, m)
	case messageCommand:
		d.command(now, m.command)
	}
}

// tick handles what only the passing of time changes.
func (d *Dispatcher[P, Q, L]) tick(now clock.Millis) {
	d.lapsed = d.roster.Expire(now, d.lapsed[:0])
	for _, r := range d.lapsed {
		d.router.SetAnnouncement(now, r.Announcement, false)
		d.event(model.Event{Kind: model.EventUpstreamGone, Instance: r.Announcement.Instance, Pool: r.Announcement.Pool, Limit: "lease"})
	}
	d.back = d.router.Restored(now, d.back[:0])
	for _, u := range d.back {
		d.event(model.Event{Kind: model.EventRestored, Instance: u.Instance, Pool: u.Pool})
	}
	d.late = d.gate.Expire(now, d.late[:0])
	d.refuseLate()
	d.pumpAll(now)
	d.tickLoans(now)
	d.report(now)
}

// pumpAll starts waiters wherever there is room, and refuses those of pools
// that lost their last upstream.
func (d *Dispatcher[P, Q, L]) pumpAll(now clock.Millis) {
	d.pools = d.gate.WaitingPools(d.pools[:0])
	for _, p := range d.pools {
		if _, slots := d.router.Routable(p); slots == 0 && !d.mayBorrow(now, p) {
			d.late = d.gate.Clear(p, d.late[:0])
			for _, a := range d.late {
				d.refuse(a, noUpstream(p))
			}
			continue
		}
		d.pump(now, p)
	}
}

// refused is what refusals are counted by.
type refused struct {
	customer model.Customer
	pool     model.Pool
	reason   string
}

// report writes one event for each kind of refusal, at most once a second, so
// that a flood of refusals does not push other events out of the time line.
func (d *Dispatcher[P, Q, L]) report(now clock.Millis) {
	if now-d.reported < clock.Second {
		return
	}
	d.reported = now
	for k, n := range d.refusals {
		d.event(model.Event{
			Kind: model.EventRefused, Customer: k.customer, Pool: k.pool, Limit: k.reason,
			Detail: fmt.Sprintf("%d requests were refused", n),
		})
		delete(d.refusals, k)
	}
}

func (d *Dispatcher[P, Q, L]) event(e model.Event) {
	if d.cfg.Events != nil {
		e.Process = d.cfg.Self
		d.cfg.Events.TryPut(e)
	}
}
