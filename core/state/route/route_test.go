package route

import (
	"fmt"
	"testing"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func entryOf(id model.InstanceID, v model.Version) model.Instance {
	return model.Instance{ID: id, Zone: "z", Pool: "p", Target: "p", Slots: 8, Connections: 64, Version: v}
}

func announced(id model.InstanceID, incarnation uint64) model.Announcement {
	return model.Announcement{Instance: id, Zone: "z", Pool: "p", Address: string(id), Slots: 8, Connections: 64, Incarnation: incarnation}
}

// newWarmRouter returns a router with n upstreams that are past their slow start.
func newWarmRouter[P Policy](policy P, n int) *Router[P] {
	r := New(Settings{Zone: "z", Rank: 0, Count: 1}, policy)
	for i := range n {
		id := model.InstanceID(fmt.Sprint("i", i))
		r.SetInstance(0, entryOf(id, 1), 0)
		r.SetAnnouncement(0, announced(id, 1), true)
	}
	return r
}

// start is a time at which the upstreams of newWarmRouter are past their slow start.
const start = 10 * clock.Second

// TestSharesOfSlotsAddUp guards against entry processes that together use more
// slots or connections than an upstream has.
func TestSharesOfSlotsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 9).Draw(t, "count")
		slots, conns := rapid.IntRange(1, 64).Draw(t, "slots"), rapid.IntRange(1, 64).Draw(t, "conns")
		granted, connections := 0, 0
		for rank := range count {
			r := New(Settings{Zone: "z", Rank: rank, Count: count}, LeastLoaded{})
			i, a := entryOf("i", 1), announced("i", 1)
			i.Slots, i.Connections, a.Slots = slots, conns, rapid.IntRange(1, 64).Draw(t, "announced")
			r.SetInstance(0, i, 0)
			r.SetAnnouncement(0, a, true)
			for {
				res, ok := r.Reserve(start, "p", "")
				if !ok {
					break
				}
				granted++
				assert.Assert(t, res.Upstream.Running <= res.Upstream.Connections)
			}
			connections += r.upstreams["i"].Connections
		}
		assert.Assert(t, granted <= slots, "%d requests for %d slots", granted, slots)
		assert.Assert(t, connections <= conns)
	})
}

// TestOnlyAgreedUpstreamsAreRoutable guards against new requests on an instance
// that is leaving, expired, released, or whose zone or pool differs between the
// table and its announcement, and against one that never becomes routable again.
func TestOnlyAgreedUpstreamsAreRoutable(t *testing.T) {
	for name, change := range map[string]func(i *model.Instance, a *model.Announcement, live *bool){
		"leaving":                 func(_ *model.Instance, a *model.Announcement, _ *bool) { a.State = model.AnnounceLeaving },
		"lease expired":           func(_ *model.Instance, _ *model.Announcement, live *bool) { *live = false },
		"releasing":               func(i *model.Instance, _ *model.Announcement, _ *bool) { i.Phase = model.PhaseReleasing },
		"maintenance":             func(i *model.Instance, _ *model.Announcement, _ *bool) { i.Phase = model.PhaseMaintenance },
		"retired":                 func(i *model.Instance, _ *model.Announcement, _ *bool) { i.Phase = model.PhaseRetired },
		"announced pool":          func(_ *model.Instance, a *model.Announcement, _ *bool) { a.Pool = "q" },
		"other pool in the table": func(i *model.Instance, _ *model.Announcement, _ *bool) { i.Pool = "q" },
		"other zone in the table": func(i *model.Instance, _ *model.Announcement, _ *bool) { i.Zone = "y" },
		"announced zone":          func(_ *model.Instance, a *model.Announcement, _ *bool) { a.Zone = "y" },
	} {
		r := newWarmRouter(LeastLoaded{}, 1)
		i, a, live := entryOf("i0", 2), announced("i0", 1), true
		_, ok := r.Reserve(start, "p", "")
		assert.Assert(t, ok)
		change(&i, &a, &live)
		r.SetInstance(start, i, 1)
		r.SetAnnouncement(start, a, live)
		for _, p := range []model.Pool{"p", "q"} {
			_, ok = r.Reserve(start, p, "")
			assert.Assert(t, !ok, name)
		}
		r.SetInstance(start, entryOf("i0", 3), 2)
		r.SetAnnouncement(start, announced("i0", 1), true)
		_, ok = r.Reserve(start, "p", "")
		assert.Assert(t, ok, "%s: it did not come back", name)
	}
}

// TestDrainedFollowsRequestsInFlight guards against confirming a release while a
// request still runs on the instance, and against never confirming it.
func TestDrainedFollowsRequestsInFlight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newWarmRouter(LeastLoaded{}, 3)
		type request struct {
			reservation Reservation
			// maxDrained is the highest version that may be confirmed while the
			// request runs.
			maxDrained model.Version
		}
		var requests []*request
		phase := map[model.InstanceID]model.Phase{}
		v, routableTooEarly := model.Version(1), false
		r.Version = v
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(*rapid.T) {
				if res, ok := r.Reserve(start, "p", ""); ok {
					assert.Equal(t, phase[res.Upstream.Instance], model.PhaseServing)
					requests = append(requests, &request{reservation: res, maxDrained: 1 << 40})
				}
			},
			"end": func(t *rapid.T) {
				if len(requests) == 0 {
					t.Skip()
				}
				k := rapid.IntRange(0, len(requests)-1).Draw(t, "which")
				r.End(start, requests[k].reservation, OutcomeOK)
				requests = append(requests[:k:k], requests[k+1:]...)
			},
			"step": func(t *rapid.T) {
				id := model.InstanceID(fmt.Sprint("i", rapid.IntRange(0, 2).Draw(t, "instance")))
				before := v
				v += model.Version(rapid.IntRange(1, 3).Draw(t, "versions"))
				i := entryOf(id, v)
				switch rapid.IntRange(0, 3).Draw(t, "phase") {
				case 0:
					i.Phase = model.PhaseReleasing
				case 1:
					i.Phase = model.PhaseMaintenance
				case 2:
					r.RemoveInstance(start, id, before)
					i.Phase = model.PhaseRetired
				}
				if i.Phase != model.PhaseServing && phase[id] == model.PhaseServing {
					limit := before
					if i.Phase == model.PhaseReleasing {
						limit = v - 1
					}
					for _, req := range requests {
						if req.reservation.Upstream.Instance == id {
							req.maxDrained = min(req.maxDrained, limit)
						}
					}
				}
				if i.Phase == model.PhaseServing && phase[id] != model.PhaseServing {
					// The control group waits for the confirmation before it makes an
					// instance routable again. Without it, DrainedVersion may be lower
					// than necessary.
					routableTooEarly = true
				}
				phase[id] = i.Phase
				if i.Phase != model.PhaseRetired {
					r.SetInstance(start, i, before)
				}
				r.Version = v
			},
			"": func(*rapid.T) {
				want, old := v, 0
				for _, req := range requests {
					want = min(want, req.maxDrained)
					if req.maxDrained <= v {
						old++
					}
				}
				assert.Assert(t, r.DrainedVersion() <= want, "%d was confirmed, %d is the most", r.DrainedVersion(), want)
				if old == 0 || !routableTooEarly {
					assert.Equal(t, r.DrainedVersion(), want)
				}
			},
		})
	})
}

// TestEjectionKeepsHalfOfThePool guards against ejections that leave less than half
// of a pool's upstreams in service, and against slots that are not released.
func TestEjectionKeepsHalfOfThePool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "upstreams")
		r := newWarmRouter(LeastLoaded{}, n)
		now := start
		live := map[int]bool{}
		for i := range n {
			live[i] = true
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				res, ok := r.Reserve(now, "p", "")
				assert.Assert(t, ok)
				r.End(now, res, Outcome(rapid.IntRange(0, 6).Draw(t, "outcome")))
			},
			"member": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "upstream")
				left := 0
				for _, l := range live {
					if l {
						left++
					}
				}
				if live[i] && left == 1 {
					t.Skip()
				}
				live[i] = !live[i]
				r.SetAnnouncement(now, announced(model.InstanceID(fmt.Sprint("i", i)), 1), live[i])
			},
			"time": func(t *rapid.T) { now += clock.Millis(rapid.IntRange(1, 3000).Draw(t, "ms")) },
			"": func(t *rapid.T) {
				inService := 0
				members := r.upstreamsByPool["p"].members
				for _, u := range members {
					assert.Equal(t, u.Running, 0)
					if !u.Ejected(now) {
						inService++
					}
				}
				assert.Assert(t, inService >= (len(members)+1)/2, "%d of %d are in service", inService, len(members))
				assert.Assert(t, r.Capacity(now, "p") > 0)
			},
		})
	})
}

// TestFailingUpstreamIsEjected guards against an upstream that fails all requests
// and attracts most of them because it fails fast, and against ejections for a fault
// that all upstreams share.
func TestFailingUpstreamIsEjected(t *testing.T) {
	for _, o := range []Outcome{OutcomeError, OutcomeUnknown, OutcomeTimeout, OutcomeConnect} {
		r := newWarmRouter(LeastLoaded{}, 4)
		failed := 0
		for range 400 {
			res, ok := r.Reserve(start, "p", "")
			assert.Assert(t, ok)
			if res.Upstream.Instance == "i2" {
				failed++
				r.End(start, res, o)
				continue
			}
			r.End(start, res, OutcomeOK)
		}
		assert.Assert(t, failed <= 4, "%d requests went to the failing upstream", failed)
		assert.Equal(t, r.Capacity(start, "p"), 24)
		// After the ejection the upstream starts slowly.
		back := start + ejectBase
		assert.Equal(t, len(r.TakeRestored(start, nil)), 0)
		assert.Equal(t, len(r.TakeRestored(back, nil)), 1)
		assert.Equal(t, len(r.TakeRestored(back, nil)), 0)
		assert.Equal(t, r.Capacity(back, "p"), 25)
		assert.Equal(t, r.Capacity(back+SlowStart, "p"), 32)

		r = newWarmRouter(LeastLoaded{}, 4)
		ejected := 0
		for range 400 {
			res, _ := r.Reserve(start, "p", "")
			if r.End(start, res, o) {
				ejected++
			}
		}
		want := 0
		if o == OutcomeConnect {
			want = 1 // One failed connection ejects an upstream whose peers have not failed yet.
		}
		assert.Equal(t, ejected, want, "ejections for a fault that all share")
	}
}

// TestOutcomeOfEarlierProcessIsIgnored guards against counting the outcome of a
// request to an earlier process of an upstream against the present process.
func TestOutcomeOfEarlierProcessIsIgnored(t *testing.T) {
	r := newWarmRouter(LeastLoaded{}, 2)
	res, _ := r.Reserve(start, "p", "i0")
	r.SetAnnouncement(start, announced(res.Upstream.Instance, 2), true)
	assert.Assert(t, !r.End(start, res, OutcomeConnect))
	assert.Equal(t, res.Upstream.Score, 0.0)
	assert.Equal(t, res.Upstream.Running, 0)
}

// TestSlowStart guards against a new upstream that gets its full share at once, and
// against a slow start of all upstreams when the router itself has just started.
func TestSlowStart(t *testing.T) {
	r := newWarmRouter(LeastLoaded{}, 2)
	assert.Equal(t, r.Capacity(0, "p"), 16)
	r.SetInstance(start, entryOf("new", 2), 1)
	r.SetAnnouncement(start, announced("new", 1), true)
	assert.Equal(t, r.Capacity(start, "p"), 17)
	assert.Equal(t, r.Capacity(start+SlowStart/2, "p"), 20)
	assert.Equal(t, r.Capacity(start+SlowStart, "p"), 24)
}

// TestLeastLoadedEvensOut guards against a choice that ignores the load, as the
// round-robin baseline does, and against choosing the upstream to avoid while another
// has free capacity.
func TestLeastLoadedEvensOut(t *testing.T) {
	// requestsOnStuckUpstream returns how many of 100 requests i0 gets if its
	// requests never end and all others end at once.
	requestsOnStuckUpstream := func(pick func() (Reservation, bool), end func(Reservation)) int {
		n := 0
		for range 100 {
			res, ok := pick()
			if ok && res.Upstream.Instance == "i0" {
				n++
			} else if ok {
				end(res)
			}
		}
		return n
	}
	a, b := newWarmRouter(LeastLoaded{}, 3), newWarmRouter(&RoundRobin{}, 3)
	leastLoaded := requestsOnStuckUpstream(func() (Reservation, bool) { return a.Reserve(start, "p", "") }, func(res Reservation) { a.End(start, res, OutcomeOK) })
	roundRobin := requestsOnStuckUpstream(func() (Reservation, bool) { return b.Reserve(start, "p", "") }, func(res Reservation) { b.End(start, res, OutcomeOK) })
	assert.Equal(t, leastLoaded, 1)
	assert.Equal(t, roundRobin, 8)
	res, ok := a.Reserve(start, "p", "i1")
	assert.Assert(t, ok && res.Upstream.Instance == "i2")
}
