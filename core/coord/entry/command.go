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

// opKind is the operation of a command.
type opKind int

const (
	opApplyDelta opKind = iota
	opReceiveAnnouncement
	opAnnouncementsSince
	opStatus
	opTable
	opInstance
	opLiveAnnouncements
	opLoans
	opLoad
	opDemand
)

// command is a call that the event loop executes. Only the fields that belong to
// its op are set.
type command struct {
	op           opKind
	delta        model.Delta
	announcement member.ReceivedAnnouncement
	// afterSeq is a sequence number of announcements: the one after which updates
	// start and, after the command has been executed, the one to continue from.
	afterSeq uint64
	updates  []member.ReceivedAnnouncement
	status   Status
	table    model.Table
	err      error
	// instance holds the ID to look up and, after the command has been executed,
	// the instance as the table has it; found is false when the table doesn't.
	instance          model.Instance
	found             bool
	liveAnnouncements []model.Announcement
	// loanFunc is the function that opLoans runs in the event loop.
	loanFunc func(now clock.Millis)
	load     model.LoadReport
	demand   []model.PoolDemand
	// reply is closed once the command has been executed.
	reply chan struct{}
}

// execute executes a command in the event loop.
func (d *Dispatcher[P, Q, L]) execute(now clock.Millis, c *command) {
	switch c.op {
	case opApplyDelta:
		c.err = d.applyDelta(now, c.delta)
	case opReceiveAnnouncement:
		c.err = d.receiveAnnouncement(now, c.announcement)
	case opAnnouncementsSince:
		c.updates, c.afterSeq = d.announcements.UpdatesSince(now, c.afterSeq)
	case opStatus:
		c.status = d.status()
	case opTable:
		c.table = model.Table{
			Version:   d.table.Version,
			Contracts: maps.Clone(d.table.Contracts),
			Instances: maps.Clone(d.table.Instances),
		}
	case opInstance:
		c.instance, c.found = d.table.Instances[c.instance.ID]
	case opDemand:
		c.demand = d.demand()
	case opLoad:
		c.load = d.load.take()
	case opLiveAnnouncements:
		c.liveAnnouncements = d.liveAnnouncements(now)
	case opLoans:
		c.loanFunc(now)
	}
	// Publish before the caller is notified, so that the caller sees what its
	// command changed. In particular it must not read a drained version that was
	// computed before the command and is too high after it.
	d.publish()
	close(c.reply)
}

// applyDelta applies a delta to the table and to everything derived from it. Its
// cost is proportional to the size of the delta.
func (d *Dispatcher[P, Q, L]) applyDelta(now clock.Millis, delta model.Delta) error {
	old := d.table
	if delta.Full {
		delta.RemovedContracts, delta.RemovedInstances = removedByFullDelta(old, delta)
	}
	if !fleet.Merge(&d.table, delta) {
		return fail("table", KindVersion, "the delta from version %d to %d does not apply to the table at version %d: a delta must not lower the version, and one that is not full must start at it", delta.From, delta.To, old.Version)
	}
	d.router.Version = d.table.Version
	for _, i := range delta.Instances {
		d.countInstance(i.ID, i)
		d.router.SetInstance(now, i, old.Version)
		d.loans.EndLoansOf(i)
	}
	for _, id := range delta.RemovedInstances {
		d.countInstance(id, model.Instance{})
		d.router.RemoveInstance(now, id, old.Version)
		d.loans.EndLoansOf(model.Instance{ID: id, Phase: model.PhaseRetired})
	}
	for _, c := range delta.Contracts {
		d.setContract(c)
	}
	for _, c := range delta.RemovedContracts {
		d.refuseAll(d.admission.RemoveCustomer(c), admit.ReasonNoContract)
	}
	if len(delta.Instances)+len(delta.RemovedInstances) > 0 {
		d.updateDerivedLimits()
	}
	d.ready = true
	if old.Version != d.table.Version {
		d.event(model.Event{Kind: model.EventTableInForce, Version: d.table.Version})
	}
	d.startAllWaiting(now)
	return nil
}

// removedByFullDelta returns the contracts and instances of the table that a full
// delta no longer contains.
func removedByFullDelta(t model.Table, delta model.Delta) (contracts []model.Customer, instances []model.InstanceID) {
	keptContracts := make(map[model.Customer]bool, len(delta.Contracts))
	for _, c := range delta.Contracts {
		keptContracts[c.Customer] = true
	}
	for c := range t.Contracts {
		if !keptContracts[c] {
			contracts = append(contracts, c)
		}
	}
	keptInstances := make(map[model.InstanceID]bool, len(delta.Instances))
	for _, i := range delta.Instances {
		keptInstances[i.ID] = true
	}
	for id := range t.Instances {
		if !keptInstances[id] {
			instances = append(instances, id)
		}
	}
	return contracts, instances
}

// setContract sets this process's share of a contract's limits.
func (d *Dispatcher[P, Q, L]) setContract(c model.Contract) {
	share := admit.LimitOf(c, d.minSlots).Divide(d.processRank, d.processCount)
	d.refuseAll(d.admission.SetCustomer(c.Customer, share, c.Pools), admit.ReasonPoolNotCovered)
}

// updateDerivedLimits recomputes the limits of the contracts whose concurrency is
// derived from the instances' slots.
func (d *Dispatcher[P, Q, L]) updateDerivedLimits() {
	for _, c := range d.table.Contracts {
		if c.Concurrency == 0 {
			d.setContract(c)
		}
	}
}

func (d *Dispatcher[P, Q, L]) refuseAll(requests []*pendingRequest, reason admit.Reason) {
	for _, req := range requests {
		d.refuse(req, d.refusal(reason, req.request.Pool))
	}
}

// countedInstance holds the values under which countInstance counted an instance.
type countedInstance struct {
	pool  model.Pool
	slots int
	// zone is empty unless the instance serves.
	zone model.Zone
}

// countInstance updates slotCounts and servingByZone for the changed instance i with
// the given ID; i is the zero value when the instance was removed.
func (d *Dispatcher[P, Q, L]) countInstance(id model.InstanceID, i model.Instance) {
	if old, ok := d.countedInstances[id]; ok {
		d.slotCounts[old.pool][old.slots]--
		if d.slotCounts[old.pool][old.slots] == 0 {
			delete(d.slotCounts[old.pool], old.slots)
		}
		delete(d.countedInstances, id)
		d.countZone(old, -1)
	}
	if i.ID == "" || i.Phase == model.PhaseRetired {
		return
	}
	if d.slotCounts[i.Pool] == nil {
		d.slotCounts[i.Pool] = map[int]int{}
	}
	d.slotCounts[i.Pool][i.Slots]++
	c := countedInstance{pool: i.Pool, slots: i.Slots}
	if i.Phase == model.PhaseServing {
		c.zone = i.Zone
	}
	d.countedInstances[id] = c
	d.countZone(c, 1)
}

// countZone adds n to the number of serving instances in the zone of c.
func (d *Dispatcher[P, Q, L]) countZone(c countedInstance, n int) {
	if c.zone == "" {
		return
	}
	if d.servingByZone[c.pool] == nil {
		d.servingByZone[c.pool] = map[model.Zone]int{}
	}
	d.servingByZone[c.pool][c.zone] += n
	if d.servingByZone[c.pool][c.zone] == 0 {
		delete(d.servingByZone[c.pool], c.zone)
	}
}

// minSlots returns the slots of the smallest instance of a pool, as limits.MinSlots
// does: the derived concurrency must fit whichever instances are in service. The
// result depends on the table alone, so that all entry processes at the same
// version derive the same limits.
func (d *Dispatcher[P, Q, L]) minSlots(p model.Pool) int {
	if len(d.slotCounts[p]) == 0 {
		return admit.DefaultSlots
	}
	return slices.Min(slices.Collect(maps.Keys(d.slotCounts[p])))
}

// receiveAnnouncement handles an announcement of an upstream.
func (d *Dispatcher[P, Q, L]) receiveAnnouncement(now clock.Millis, received member.ReceivedAnnouncement) error {
	previous, known := d.announcements.Get(received.Announcement.Instance)
	changed, err := d.announcements.Accept(now, received)
	if err != nil {
		return &Error{Op: "announce", Kind: KindAnnounce, Err: err}
	}
	if !changed {
		return nil
	}
	a := received.Announcement
	d.router.SetAnnouncement(now, a, true)
	e := model.Event{Kind: model.EventUpstreamAnnounced, Instance: a.Instance, Pool: a.Pool, Detail: a.Address}
	if a.State == model.AnnounceLeaving {
		e.Kind = model.EventUpstreamLeaving
	}
	if !known || previous.Announcement != a || previous.Expired {
		d.event(e)
	}
	d.startAllWaiting(now)
	return nil
}

// status returns a copy of the state.
func (d *Dispatcher[P, Q, L]) status() Status {
	s := Status{
		Version:        d.table.Version,
		DrainedVersion: d.router.DrainedVersion(),
		Ready:          d.ready,
		Pauses:         d.announcements.Pauses,
		Counts:         d.counts,
		Loans:          d.loans.Counts,
	}
	d.admission.EachCustomer(func(a *admit.CustomerState[*pendingRequest]) {
		s.Customers = append(s.Customers, CustomerStatus{
			Customer: a.Name, InFlightLimit: a.Limit.MaxInFlight, QueueLimit: a.Limit.MaxQueued,
			Running: a.Running, Waiting: a.Waiting, RetryTokens: a.RetryTokens,
			RetryPercent: a.Limit.RetryPercent, Weight: a.Limit.Weight,
		})
	})
	d.router.Each(func(u *route.Upstream) { s.Upstreams = append(s.Upstreams, *u) })
	return s
}
