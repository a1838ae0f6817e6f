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
	// DefaultRingSize is the default of Settings.RingSize. It has room for one
	// message from each connection of a busy process.
	DefaultRingSize = 4096
	// batchSize is the largest number of messages that are handled with one reading
	// of the clock.
	batchSize = 64
	// tickInterval is the time between two checks for expired requests, and so the
	// longest delay of their refusal.
	tickInterval clock.Millis = 50
)

// messageKind is the kind of a message in the ring.
type messageKind uint8

const (
	messageRequest messageKind = iota
	messageCancel
	messageDone
	messageCommand
)

// message is one element of the ring.
type message struct {
	kind    messageKind
	outcome Outcome
	ticket  Ticket
	elapsed clock.Millis
	request *pendingRequest
	command *command
}

// pendingRequest is a request that waits for a grant or a refusal. The dispatcher
// answers each exactly once.
type pendingRequest struct {
	request Request
	// reply has capacity for the one answer, so that the dispatcher never blocks.
	reply chan struct{}
	// grant and refusal are set before reply is sent.
	grant   Grant
	refusal *Refusal
	// waiter is owned by the dispatcher; nil unless the request is queued.
	waiter *admit.Waiter[*pendingRequest]
}

// reservation is a reserved slot: of a loan when loan is set, and otherwise of
// this process's own share.
type reservation struct {
	own  route.Reservation
	loan *lend.HeldLoan
}

// activeGrant is a granted request that has not ended.
type activeGrant struct {
	queue *admit.Queue[*pendingRequest]
	reservation
	id string
	// number is the upper half of the ticket. It grows with each use of the same
	// element of Dispatcher.grants, so that tickets of ended grants are recognised.
	number uint32
}

// Dispatcher admits and routes requests and manages loans and announcements. Its
// state belongs to the goroutine that runs Run; other goroutines send it messages
// through a ring.
type Dispatcher[P admit.Picker, Q route.Policy, L lend.Policy] struct {
	cfg         Settings
	clk         clock.Clock
	in          *ring.Ring[message]
	done        chan struct{}
	stop        sync.Once
	requestPool sync.Pool
	// drainedVersionCopy and readyCopy are copies of the router's DrainedVersion and
	// of ready for other goroutines.
	drainedVersionCopy atomic.Uint64
	readyCopy          atomic.Bool
	admission          *admit.Controller[P, *pendingRequest]
	router             *route.Router[Q]
	announcements      *member.Roster
	loans              *lend.Ledger[L]
	// borrowing records for each pool whether slots were borrowed when
	// reportBorrowing last ran.
	borrowing map[model.Pool]bool
	// peaksRotatedAt is the time at which the router last started a new peak window.
	peaksRotatedAt clock.Millis
	// loanDemands, loanMessages and ownSlots are reused buffers.
	loanDemands  []lend.LoanDemand
	loanMessages []lend.Message
	ownSlots     []lend.UpstreamSlots
	table        model.Table
	// ready is false before the first table, and after a pause of this process
	// until the table is confirmed.
	ready bool
	// processRank and processCount determine this process's share of the limits of
	// contracts.
	processRank, processCount int
	// slotCounts counts the instances of each pool by their number of slots.
	slotCounts map[model.Pool]map[int]int
	// countedInstances holds how each instance is counted in slotCounts and
	// servingByZone.
	countedInstances map[model.InstanceID]countedInstance
	// servingByZone counts the serving instances of each pool by zone.
	servingByZone map[model.Pool]map[model.Zone]int
	// grants holds the active grants by the index in their tickets, and freeGrants
	// the unused indexes.
	grants     []activeGrant
	freeGrants []uint32
	counts     Counts
	load       loadCounters
	// expired, pools, expiredAnnouncements and restored are reused buffers.
	expired              []*pendingRequest
	pools                []model.Pool
	expiredAnnouncements []member.Record
	restored             []*route.Upstream
	// refusals counts the refusals since refusalsReportedAt. Only customers and
	// pools of contracts are counted, so the size is bounded.
	refusals           map[refusalKey]int
	refusalsReportedAt clock.Millis
}

// New returns a dispatcher. It handles requests only while Run is running.
func New[P admit.Picker, Q route.Policy, L lend.Policy](cfg Settings, clk clock.Clock, picker P, policy Q, lending L) *Dispatcher[P, Q, L] {
	if cfg.RingSize <= 0 {
		cfg.RingSize = DefaultRingSize
	}
	var all, sameZone []model.Process
	for _, m := range cfg.Entries {
		all = append(all, m.Name)
		if m.Zone == cfg.Zone {
			sameZone = append(sameZone, m.Name)
		}
	}
	d := &Dispatcher[P, Q, L]{
		cfg:              cfg,
		clk:              clk,
		in:               ring.New[message](cfg.RingSize),
		done:             make(chan struct{}),
		admission:        admit.New[P, *pendingRequest](picker),
		load:             newLoadCounters(),
		announcements:    member.New(member.Settings{Zone: cfg.Zone, Lease: cfg.Lease}, clk.Now()),
		refusals:         map[refusalKey]int{},
		slotCounts:       map[model.Pool]map[int]int{},
		countedInstances: map[model.InstanceID]countedInstance{},
		servingByZone:    map[model.Pool]map[model.Zone]int{},
		loans:            lend.New(cfg.Lending, lending, clk.Now()),
		borrowing:        map[model.Pool]bool{},
		table: model.Table{
			Contracts: map[model.Customer]model.Contract{},
			Instances: map[model.InstanceID]model.Instance{},
		},
	}
	d.processRank, d.processCount = admit.Rank(all, cfg.Self)
	zoneRank, zoneCount := admit.Rank(sameZone, cfg.Self)
	d.router = route.New(route.Settings{
		Zone: cfg.Zone, Rank: zoneRank, Count: zoneCount,
		Lending: d.loans.Enabled(), ReservePercent: cfg.Lending.ReservePercent,
	}, policy)
	d.router.LoansUncertain = d.loans.LoansUncertain(clk.Now())
	d.requestPool.New = func() any { return &pendingRequest{reply: make(chan struct{}, 1)} }
	return d
}

// Run is the event loop; it returns after Stop.
func (d *Dispatcher[P, Q, L]) Run() error {
	buf := make([]message, 0, batchSize)
	tick := d.clk.After(tickInterval)
	for {
		select {
		case m := <-d.in.C():
			buf = d.in.Drain(append(buf[:0], m), batchSize)
			// The clock is read after the messages were received, so that none is
			// handled with a time before it was sent.
			now := d.readClock()
			for i := range buf {
				d.handle(now, buf[i])
				buf[i] = message{}
			}
		case <-tick:
			d.tick(d.readClock())
			tick = d.clk.After(tickInterval)
		case <-d.done:
			return nil
		}
		d.publish()
	}
}

// publish updates the values that other goroutines read without a message.
func (d *Dispatcher[P, Q, L]) publish() {
	d.drainedVersionCopy.Store(uint64(d.router.DrainedVersion()))
	d.readyCopy.Store(d.ready)
}

// Stop ends Run. Waiting requests are refused.
func (d *Dispatcher[P, Q, L]) Stop() { d.stop.Do(func() { close(d.done) }) }

// readClock returns the current time. After a pause of this process it makes the
// dispatcher not ready until the table is confirmed.
func (d *Dispatcher[P, Q, L]) readClock() clock.Millis {
	now := d.clk.Now()
	if d.announcements.Tick(now) {
		d.ready = false
	}
	return now
}

func (d *Dispatcher[P, Q, L]) handle(now clock.Millis, m message) {
	switch m.kind {
	case messageRequest:
		d.admit(now, m.request)
	case messageCancel:
		d.cancel(m.request)
	case messageDone:
		d.complete(now, m)
	case messageCommand:
		d.execute(now, m.command)
	}
}

// tick handles everything that becomes due without a message: expired leases and
// requests, upstreams whose ejection has ended, loans and the report of refusals.
func (d *Dispatcher[P, Q, L]) tick(now clock.Millis) {
	d.expiredAnnouncements = d.announcements.Expire(now, d.expiredAnnouncements[:0])
	for _, r := range d.expiredAnnouncements {
		d.router.SetAnnouncement(now, r.Announcement, false)
		d.event(model.Event{Kind: model.EventUpstreamGone, Instance: r.Announcement.Instance, Pool: r.Announcement.Pool, Limit: "lease"})
	}
	d.restored = d.router.TakeRestored(now, d.restored[:0])
	for _, u := range d.restored {
		d.event(model.Event{Kind: model.EventRestored, Instance: u.Instance, Pool: u.Pool})
	}
	d.expired = d.admission.Expire(now, d.expired[:0])
	d.refuseExpired()
	d.startAllWaiting(now)
	d.tickLoans(now)
	d.reportRefusals(now)
}

// startAllWaiting grants waiting requests of all pools with free slots, and refuses
// those of pools in which this process has no slots any more and may borrow none.
func (d *Dispatcher[P, Q, L]) startAllWaiting(now clock.Millis) {
	d.pools = d.admission.WaitingPools(d.pools[:0])
	for _, p := range d.pools {
		if _, slots := d.router.Routable(p); slots == 0 && !d.mayBorrow(now, p) {
			d.expired = d.admission.Clear(p, d.expired[:0])
			for _, req := range d.expired {
				d.refuse(req, noUpstream(p))
			}
			continue
		}
		d.startWaiting(now, p)
	}
}

// refusalKey groups refusals for the event log.
type refusalKey struct {
	customer model.Customer
	pool     model.Pool
	reason   string
}

// reportRefusals writes one event for each refusalKey, at most once a second.
// Otherwise many refusals would displace other events from the bounded event log.
func (d *Dispatcher[P, Q, L]) reportRefusals(now clock.Millis) {
	if now-d.refusalsReportedAt < clock.Second {
		return
	}
	d.refusalsReportedAt = now
	for k, n := range d.refusals {
		d.event(model.Event{
			Kind: model.EventRequestRefused, Customer: k.customer, Pool: k.pool, Limit: k.reason,
			Detail: fmt.Sprintf("%d requests were refused", n),
		})
		delete(d.refusals, k)
	}
}

// event writes an event to the event log. It is dropped when the log's ring is
// full.
func (d *Dispatcher[P, Q, L]) event(e model.Event) {
	if d.cfg.Events != nil {
		e.Process = d.cfg.Self
		d.cfg.Events.TryPut(e)
	}
}
