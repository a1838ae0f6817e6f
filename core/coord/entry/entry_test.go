package entry

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"camphorridge/core/state/admit"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/lend"
	"camphorridge/core/state/model"
	"camphorridge/core/state/route"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

type testDispatcher = Dispatcher[admit.WeightedFair, route.LeastLoaded, lend.Idle]

// start runs a dispatcher with the two upstreams ia and ib in pool svc, each with the
// given number of slots.
func start(t testing.TB, slots int, contracts ...model.Contract) *testDispatcher {
	t.Helper()
	return startWithClock(t, clock.Real(), slots, contracts...)
}

func startWithClock(t testing.TB, clk clock.Clock, slots int, contracts ...model.Contract) *testDispatcher {
	t.Helper()
	return startWithSettings(t, Settings{
		Self: "e1", Zone: "z1", Entries: []model.Member{{Name: "e1", Zone: "z1"}}, Lease: clock.Minute,
	}, clk, slots, contracts...)
}

func startWithSettings(t testing.TB, cfg Settings, clk clock.Clock, slots int, contracts ...model.Contract) *testDispatcher {
	t.Helper()
	d := New(cfg, clk, admit.WeightedFair{}, route.LeastLoaded{}, lend.Idle{})
	ended := make(chan struct{})
	go func() { _ = d.Run(); close(ended) }()
	t.Cleanup(func() { d.Stop(); <-ended })
	assert.NilError(t, d.ApplyDelta(model.Delta{To: 5, Full: true, Contracts: contracts, Instances: []model.Instance{
		instance("ia", slots), instance("ib", slots),
	}}))
	assert.NilError(t, d.Announce(announcement("ia", slots)))
	assert.NilError(t, d.Announce(announcement("ib", slots)))
	return d
}

func instance(id model.InstanceID, slots int) model.Instance {
	return model.Instance{ID: id, Zone: "z1", Pool: "svc", Target: "svc", Slots: slots, Connections: slots, Version: 1}
}

func announcement(id model.InstanceID, slots int) model.Announcement {
	return model.Announcement{
		Instance: id, Zone: "z1", Pool: "svc", Address: "10.0.0.1:" + string(id),
		Slots: slots, Connections: slots, Incarnation: 1,
	}
}

// ask requests a slot for acme in pool svc, with a deadline in the far future.
func ask(ctx context.Context, d *testDispatcher) (Grant, *Refusal) {
	return d.Acquire(ctx, Request{Customer: "acme", Pool: "svc", Deadline: 1 << 60})
}

func mustAsk(t testing.TB, d *testDispatcher) Grant {
	t.Helper()
	g, refusal := ask(t.Context(), d)
	assert.Assert(t, refusal == nil, "%+v", refusal)
	return g
}

func waitUntil(t testing.TB, what string, ok func(Status) bool, d *testDispatcher) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok(d.Status()) {
			return poll.Success()
		}
		return poll.Continue("waiting: %s", what)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(time.Millisecond))
}

// TestWaiterGetsTheFreedSlot guards against waiting requests that are not granted
// when a slot becomes free.
func TestWaiterGetsTheFreedSlot(t *testing.T) {
	d := start(t, 1, contract("acme", 10, 10))
	first, second := mustAsk(t, d), mustAsk(t, d)
	assert.Assert(t, first.Upstream.Instance != second.Upstream.Instance)
	got := make(chan Grant)
	go func() { got <- mustAsk(t, d) }()
	waitUntil(t, "queued", func(s Status) bool { return s.Customers[0].Waiting == 1 }, d)
	d.Done(first.Ticket, OutcomeOK, 1)
	third := <-got
	assert.Equal(t, third.Upstream, first.Upstream)
	// A second Done for a ticket changes nothing.
	d.Done(first.Ticket, OutcomeOK, 1)
	waitUntil(t, "the second Done is counted", func(s Status) bool { return s.Counts.UnknownTickets == 1 && s.Customers[0].Running == 2 }, d)
}

// TestCancelLosesNoSlot guards against slots that are never freed because the caller
// cancelled the request while it was queued, granted or refused.
func TestCancelLosesNoSlot(t *testing.T) {
	d := start(t, 2, contract("acme", 3, 50))
	var wg sync.WaitGroup
	for caller := range 16 {
		wg.Go(func() {
			for call := range 300 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration((caller*call)%200)*time.Microsecond)
				if g, refusal := ask(ctx, d); refusal == nil {
					d.Done(g.Ticket, OutcomeOK, 0)
				}
				cancel()
			}
		})
	}
	wg.Wait()
	waitUntil(t, "all ended", func(s Status) bool { return s.Counts.Completed == s.Counts.Grants }, d)
	s := d.Status()
	assert.Equal(t, s.Customers[0].Running+s.Customers[0].Waiting, 0)
	for _, u := range s.Upstreams {
		assert.Equal(t, u.Running, 0)
	}
	assert.Equal(t, s.Counts.Requests, s.Counts.Grants+s.Counts.Refused)
}

// TestRefusals guards against requests that are queued although they must be
// refused, and against refusals of the wrong kind.
func TestRefusals(t *testing.T) {
	d := start(t, 1, contract("acme", 1, 0), contract("idle", 0, 0))
	g := mustAsk(t, d)
	for _, c := range []struct {
		r    Request
		kind RefusalKind
	}{
		{Request{Customer: "acme", Pool: "svc", Deadline: 1 << 60}, RefusalLimit},
		{Request{Customer: "acme", Pool: "svc", Deadline: 1}, RefusalDeadline},
		{Request{Customer: "acme", Pool: "other", Deadline: 1 << 60}, RefusalNoContract},
		{Request{Customer: "nobody", Pool: "svc", Deadline: 1 << 60}, RefusalNoContract},
	} {
		_, refusal := d.Acquire(t.Context(), c.r)
		assert.Equal(t, refusal.Kind, c.kind, refusal.Reason)
	}
	d.Done(g.Ticket, OutcomeOK, 1)
	retry := Request{Customer: "acme", Pool: "svc", Deadline: 1 << 60, Retry: true, Avoid: g.Upstream.Instance}
	g2, refusal := d.Acquire(t.Context(), retry)
	assert.Assert(t, refusal == nil && g2.Upstream.Instance != g.Upstream.Instance)
	_, refusal = d.Acquire(t.Context(), retry)
	assert.Equal(t, refusal.Reason, "retry budget spent")
	a := announcement("ia", 1)
	a.State = model.AnnounceLeaving
	assert.NilError(t, d.Announce(a))
	a.Instance, a.Address = "ib", "10.0.0.1:ib"
	assert.NilError(t, d.Announce(a))
	d.Done(g2.Ticket, OutcomeOK, 1)
	_, refusal = ask(t.Context(), d)
	assert.Equal(t, refusal.Kind, RefusalCapacity, refusal.Reason)
	d.Stop()
	_, refusal = ask(t.Context(), d)
	assert.Equal(t, refusal.Kind, RefusalNotReady)
}

// TestWaitersOfAnEmptyPoolAreRefused guards against waiting requests that are never
// answered when their pool loses its last upstream.
func TestWaitersOfAnEmptyPoolAreRefused(t *testing.T) {
	d := start(t, 1, contract("acme", 10, 10))
	mustAsk(t, d)
	mustAsk(t, d)
	got := make(chan *Refusal)
	go func() {
		_, refusal := ask(context.Background(), d)
		got <- refusal
	}()
	waitUntil(t, "queued", func(s Status) bool { return s.Customers[0].Waiting == 1 }, d)
	for _, id := range []model.InstanceID{"ia", "ib"} {
		a := announcement(id, 1)
		a.State = model.AnnounceLeaving
		assert.NilError(t, d.Announce(a))
	}
	assert.Equal(t, (<-got).Kind, RefusalCapacity)
}

// TestFullRingRefuses guards against a full ring that blocks callers, and against
// refusals by a full ring that are not counted.
func TestFullRingRefuses(t *testing.T) {
	d := New(Settings{Self: "e1", Zone: "z1", RingSize: 2}, clock.Real(), admit.WeightedFair{}, route.LeastLoaded{}, lend.Idle{})
	for range 2 {
		assert.Assert(t, d.in.TryPut(message{kind: messageDone}))
	}
	_, refusal := ask(t.Context(), d)
	assert.Equal(t, refusal.Kind, RefusalBusy)
	assert.Equal(t, d.in.Refused(), int64(1))
}

// TestTableAndDrained guards against a table that returns to an older version, and
// against confirming a release while a request still uses the instance.
func TestTableAndDrained(t *testing.T) {
	d := start(t, 1, contract("acme", 10, 10))
	assert.Equal(t, d.DrainedVersion(), model.Version(5))
	g := mustAsk(t, d)
	i := instance(g.Upstream.Instance, 1)
	i.Phase, i.Version = model.PhaseReleasing, 8
	assert.NilError(t, d.ApplyDelta(model.Delta{From: 5, To: 8, Instances: []model.Instance{i}}))
	assert.Equal(t, d.DrainedVersion(), model.Version(7))
	var e *Error
	assert.Assert(t, errors.As(d.ApplyDelta(model.Delta{To: 7, Full: true}), &e) && e.Kind == KindVersion)
	assert.Assert(t, errors.As(d.ApplyDelta(model.Delta{From: 5, To: 9}), &e) && e.Kind == KindVersion)
	assert.Equal(t, d.Table().Version, model.Version(8))
	other := mustAsk(t, d)
	assert.Assert(t, other.Upstream.Instance != g.Upstream.Instance)
	d.Done(g.Ticket, OutcomeOK, 1)
	waitUntil(t, "drained", func(Status) bool { return d.DrainedVersion() == 8 }, d)
	// A full delta without the instance in use releases it.
	assert.NilError(t, d.ApplyDelta(model.Delta{To: 12, Full: true, Contracts: []model.Contract{contract("acme", 10, 10)}}))
	assert.Equal(t, d.DrainedVersion(), model.Version(8))
	d.Done(other.Ticket, OutcomeOK, 1)
	waitUntil(t, "drained", func(Status) bool { return d.DrainedVersion() == 12 }, d)
}

// TestPauseRequiresConfirmedTable guards against a suspended process that resumes
// with an outdated table, and against one that treats all upstreams as gone when it
// resumes.
func TestPauseRequiresConfirmedTable(t *testing.T) {
	fake := clock.NewFake(1000)
	d := startWithClock(t, fake.Clock(), 4, contract("acme", 10, 10))
	mustAsk(t, d)
	fake.Advance(10 * clock.Minute)
	_, refusal := ask(t.Context(), d)
	assert.Equal(t, refusal.Kind, RefusalNotReady)
	waitUntil(t, "not ready", func(Status) bool { return !d.Ready() }, d)
	assert.NilError(t, d.ApplyDelta(model.Delta{From: 5, To: 5}))
	assert.Assert(t, d.Ready())
	mustAsk(t, d)
	// Without new announcements the upstreams expire one lease after the pause.
	for range 62 {
		fake.Advance(clock.Second)
		waitUntil(t, "tick", func(s Status) bool { return s.Pauses == 1 }, d)
	}
	waitUntil(t, "the upstreams have expired", func(Status) bool {
		_, refusal := ask(t.Context(), d)
		return refusal != nil && refusal.Kind == RefusalCapacity
	}, d)
}

// TestDerivedConcurrencyFollowsSlots guards against a derived concurrency limit that
// is not updated when the instances' slots change.
func TestDerivedConcurrencyFollowsSlots(t *testing.T) {
	c := contract("acme", 0, 1)
	c.Pools[0].Instances = 3
	d := start(t, 4, c)
	assert.Equal(t, d.Status().Customers[0].InFlightLimit, 12)
	assert.NilError(t, d.ApplyDelta(model.Delta{From: 5, To: 6, Instances: []model.Instance{instance("ib", 6)}}))
	assert.Equal(t, d.Status().Customers[0].InFlightLimit, 12, "the smallest instance counts")
	assert.NilError(t, d.ApplyDelta(model.Delta{From: 6, To: 7, Instances: []model.Instance{instance("ia", 6)}}))
	assert.Equal(t, d.Status().Customers[0].InFlightLimit, 18)
}
