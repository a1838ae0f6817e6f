package entry

import (
	"maps"
	"slices"

	"camphorridge/core/state/admit"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/member"
	"camphorridge/core/state/model"
	"camphorridge/core/state/route"
)

type opKind int

const (
	opTable opKind = iota
	opHear
	opNews
	opStatus
	opConfig
	opInstance
	opLive
	opLoans
	opFelt
	opDemand
)

// command is a call that the duty answers; the fields of its op are set.
type command struct {
	op     opKind
	delta  model.Delta
	heard  member.ReceivedAnnouncement
	since  uint64
	news   []member.ReceivedAnnouncement
	status Status
	table  model.Table
	err    error
	// instance is asked for by its ID and answered; known says that the table
	// has it.
	instance model.Instance
	known    bool
	live     []model.Announcement
	// loans is run by the duty, for the calls on loans.
	loans  func(now clock.Millis)
	felt   model.LoadReport
	demand []model.PoolDemand
	// reply is closed once the command was carried out.
	reply chan struct{}
}

func (d *Dispatcher[P, Q, L]) command(now clock.Millis, c *command) {
	switch c.op {
	case opTable:
		c.err = d.merge(now, c.delta)
	case opHear:
		c.err = d.hear(now, c.heard)
	case opNews:
		c.news, c.since = d.roster.UpdatesSince(now, c.since)
	case opStatus:
		c.status = d.status()
	case opConfig:
		c.table = model.Table{
			Version:   d.table.Version,
			Contracts: maps.Clone(d.table.Contracts),
			Instances: maps.Clone(d.table.Instances),
		}
	case opInstance:
		c.instance, c.known = d.table.Instances[c.instance.ID]
	case opDemand:
		c.demand = d.demand()
	case opFelt:
		c.felt = d.felt.take()
	case opLive:
		c.live = d.live(now)
	case opLoans:
		c.loans(now)
	}
	// What others read without a message is stored before the caller learns
	// that the command was carried out: a confirmation never claims too much,
	// and a caller sees what its command changed.
	d.publish()
	close(c.reply)
}

// merge puts a delta in force; its cost follows the size of the delta.
func (d *Dispatcher[P, Q, L]) merge(now clock.Millis, delta model.Delta) error {
	before := d.table
	if delta.Full {
		delta.RemovedContracts, delta.RemovedInstances = missing(before, delta)
	}
	if !fleet.Merge(&d.table, delta) {
		return fail("table", KindVersion, "version %d to %d does not follow on %d", delta.From, delta.To, before.Version)
	}
	d.router.Version = d.table.Version
	for _, i := range delta.Instances {
		d.countSlots(i.ID, i)
		d.router.SetInstance(now, i, before.Version)
		d.loans.EndLoansOf(i)
	}
	for _, id := range delta.RemovedInstances {
		d.countSlots(id, model.Instance{})
		d.router.RemoveInstance(now, id, before.Version)
		d.loans.EndLoansOf(model.Instance{ID: id, Phase: model.PhaseRetired})
	}
	for _, c := range delta.Contracts {
		d.setContract(c)
	}
	for _, c := range delta.RemovedContracts {
		d.refuseAll(d.gate.RemoveCustomer(c), admit.ReasonContract)
	}
	if len(delta.Instances)+len(delta.RemovedInstances) > 0 {
		d.deriveAgain()
	}
	d.ready = true
	if before.Version != d.table.Version {
		d.event(model.Event{Kind: model.EventTable, Version: d.table.Version})
	}
	d.pumpAll(now)
	return nil
}

// missing lists what a full delta no longer names.
func missing(t model.Table, delta model.Delta) (contracts []model.Customer, instances []model.InstanceID) {
	named := make(map[model.Customer]bool, len(delta.Contracts))
	for _, c := range delta.Contracts {
		named[c.Customer] = true
	}
	for c := range t.Contracts {
		if !named[c] {
			contracts = append(contracts, c)
		}
	}
	held := make(map[model.InstanceID]bool, len(delta.Instances))
	for _, i := range delta.Instances {
		held[i.ID] = true
	}
	for id := range t.Instances {
		if !held[id] {
			instances = append(instances, id)
		}
	}
	return contracts, instances
}

func (d *Dispatcher[P, Q, L]) setContract(c model.Contract) {
	share := admit.LimitOf(c, d.slotsOf).Divide(d.rank, d.count)
	d.refuseAll(d.gate.SetCustomer(c.Customer, share, c.Pools), admit.ReasonPool)
}

// deriveAgain derives the limits again that follow the instances' slots.
func (d *Dispatcher[P, Q, L]) deriveAgain() {
	for _, c := range d.table.Contracts {
		if c.Concurrency == 0 {
			d.setContract(c)
		}
	}
}

func (d *Dispatcher[P, Q, L]) refuseAll(asks []*ask, why admit.Reason) {
	for _, a := range asks {
		d.refuse(a, d.refusal(why, a.request.Pool))
	}
}

// counted is what countSlots remembers of an instance.
type counted struct {
	pool  model.Pool
	slots int
	// zone is empty unless the instance serves.
	zone model.Zone
}

// countSlots keeps the number of instances by pool and slots.
func (d *Dispatcher[P, Q, L]) countSlots(id model.InstanceID, i model.Instance) {
	if old, ok := d.counted[id]; ok {
		d.slots[old.pool][old.slots]--
		if d.slots[old.pool][old.slots] == 0 {
			delete(d.slots[old.pool], old.slots)
		}
		delete(d.counted, id)
		d.countZone(old, -1)
	}
	if i.ID == "" || i.Phase == model.PhaseRetired {
		return
	}
	if d.slots[i.Pool] == nil {
		d.slots[i.Pool] = map[int]int{}
	}
	d.slots[i.Pool][i.Slots]++
	c := counted{pool: i.Pool, slots: i.Slots}
	if i.Phase == model.PhaseServing {
		c.zone = i.Zone
	}
	d.counted[id] = c
	d.countZone(c, 1)
}

func (d *Dispatcher[P, Q, L]) countZone(c counted, n int) {
	if c.zone == "" {
		return
	}
	if d.spread[c.pool] == nil {
		d.spread[c.pool] = map[model.Zone]int{}
	}
	d.spread[c.pool][c.zone] += n
	if d.spread[c.pool][c.zone] == 0 {
		delete(d.spread[c.pool], c.zone)
	}
}

// slotsOf returns the slots of the smallest instance of a pool, by the rule of
// limits.LowestSlots: the concurrency must fit whichever instances are in
// service. It depends on the table alone, so all entry processes at one version
// derive the same.
func (d *Dispatcher[P, Q, L]) slotsOf(p model.Pool) int {
	if len(d.slots[p]) == 0 {
		return admit.DefaultSlots
	}
	return slices.Min(slices.Collect(maps.Keys(d.slots[p])))
}

func (d *Dispatcher[P, Q, L]) hear(now clock.Millis, h member.ReceivedAnnouncement) error {
	before, known := d.roster.Get(h.Announcement.Instance)
	changed, err := d.roster.Accept(now, h)
	if err != nil {
		return &Error{Op: "announce", Kind: KindAnnounce, Err: err}
	}
	if !changed {
		return nil
	}
	a := h.Announcement
	d.router.SetAnnouncement(now, a, true)
	e := model.Event{Kind: model.EventUpstreamUp, Instance: a.Instance, Pool: a.Pool, Detail: a.Address}
	if a.State == model.AnnounceLeaving {
		e.Kind = model.EventUpstreamLeft
	}
	if !known || before.Announcement != a || before.Expired {
		d.event(e)
	}
	d.pumpAll(now)
	return nil
}

func (d *Dispatcher[P, Q, L]) status() Status {
	s := Status{
		Version: d.table.Version,
		Drained: d.router.DrainedVersion(),
		Ready:   d.ready,
		Pauses:  d.roster.Pauses,
		Counts:  d.counts,
		Loans:   d.loans.Counts,
	}
	d.gate.EachCustomer(func(a *admit.CustomerState[*ask]) {
		s.Customers = append(s.Customers, CustomerStatus{
			Customer: a.Name, InFlightLimit: a.Limit.MaxInFlight, QueueLimit: a.Limit.MaxQueued,
			Running: a.Running, Waiting: a.Waiting, RetryTokens: a.RetryTokens,
			RetryPercent: a.Limit.RetryPercent, Weight: a.Limit.Weight,
		})
	})
	d.router.Each(func(u *route.Upstream) { s.Upstreams = append(s.Upstreams, *u) })
	return s
}
