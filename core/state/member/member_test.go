package member

import (
	"errors"
	"fmt"
	"testing"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func announcement(id string, incarnation uint64) model.Announcement {
	return model.Announcement{
		Instance: model.InstanceID(id), Zone: "z", Pool: "p", Address: "10.0.0.1:" + id,
		Slots: 8, Connections: 64, Incarnation: incarnation,
	}
}

func direct(a model.Announcement) ReceivedAnnouncement {
	return ReceivedAnnouncement{Announcement: a, Direct: true}
}

// TestAcceptRules guards against accepting announcements that are invalid, too old,
// from another zone, or contradict the recorded state, and against refusing one after
// a restart with another pool and address.
func TestAcceptRules(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(ra *ReceivedAnnouncement)
		kind   Kind
		ok     bool
	}{
		{"again", func(*ReceivedAnnouncement) {}, 0, true},
		{"leaving", func(ra *ReceivedAnnouncement) { ra.Announcement.State = model.AnnounceLeaving }, 0, true},
		{"lower incarnation", func(ra *ReceivedAnnouncement) { ra.Announcement.Incarnation = 4 }, KindIncarnation, false},
		{"other pool", func(ra *ReceivedAnnouncement) { ra.Announcement.Pool = "q" }, KindPool, false},
		{"other address", func(ra *ReceivedAnnouncement) { ra.Announcement.Address = "10.0.0.9:9" }, KindAddress, false},
		{"restarted elsewhere", func(ra *ReceivedAnnouncement) {
			ra.Announcement.Incarnation, ra.Announcement.Pool, ra.Announcement.Address = 6, "q", "10.0.0.9:9"
		}, 0, true},
		{"address of another", func(ra *ReceivedAnnouncement) { ra.Announcement.Instance = "b" }, KindAddress, false},
		{"other zone", func(ra *ReceivedAnnouncement) { ra.Announcement.Zone = "y" }, KindZone, false},
		{"no slots", func(ra *ReceivedAnnouncement) { ra.Announcement.Slots = 0 }, KindInvalid, false},
		{"no incarnation", func(ra *ReceivedAnnouncement) { ra.Announcement.Incarnation = 0 }, KindInvalid, false},
		{"no pool", func(ra *ReceivedAnnouncement) { ra.Announcement.Pool = "" }, KindInvalid, false},
		{"unknown state", func(ra *ReceivedAnnouncement) { ra.Announcement.State = 7 }, KindInvalid, false},
		{"too old", func(ra *ReceivedAnnouncement) { ra.Age = DefaultLease }, KindStale, false},
	} {
		r := New(Settings{Zone: "z"}, 0)
		_, err := r.Accept(0, direct(announcement("a", 5)))
		assert.NilError(t, err)
		ra := direct(announcement("a", 5))
		c.change(&ra)
		before, _ := r.Get("a")
		_, err = r.Accept(10, ra)
		if c.ok {
			assert.NilError(t, err, c.name)
			continue
		}
		var e *Error
		assert.Assert(t, errors.As(err, &e), c.name)
		assert.Equal(t, e.Kind, c.kind, c.name)
		after, _ := r.Get("a")
		assert.Equal(t, before.Announcement, after.Announcement, c.name)
	}
}

// TestLeavingIsFinalWithinAnIncarnation guards against a stale forwarded
// announcement that revives a process that is leaving or was replaced.
func TestLeavingIsFinalWithinAnIncarnation(t *testing.T) {
	r := New(Settings{Zone: "z"}, 0)
	a := announcement("a", 1)
	a.State = model.AnnounceLeaving
	_, err := r.Accept(0, direct(a))
	assert.NilError(t, err)
	_, err = r.Accept(1, ReceivedAnnouncement{Announcement: announcement("a", 1), Age: 500})
	assert.ErrorContains(t, err, "leaving")
	_, err = r.Accept(2, direct(announcement("a", 2)))
	assert.NilError(t, err)
	_, err = r.Accept(3, direct(a))
	assert.ErrorContains(t, err, "incarnation")
	// Another instance can use the address of a process that is leaving.
	a.Incarnation = 2
	_, err = r.Accept(4, direct(a))
	assert.NilError(t, err)
	b := announcement("b", 1)
	b.Address = a.Address
	_, err = r.Accept(5, direct(b))
	assert.NilError(t, err)
}

// TestLeases guards against leases that end too late or too early, move back, or
// are reported twice as expired, while announcements arrive late and out of order.
func TestLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lease = 900
		r := New(Settings{Zone: "z", Lease: lease}, 0)
		now := clock.Millis(0)
		expires := map[model.InstanceID]clock.Millis{}
		incarnation := map[model.InstanceID]uint64{}
		expired := map[model.InstanceID]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				a := announcement(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "instance")), uint64(rapid.IntRange(1, 4).Draw(t, "incarnation")))
				ra := ReceivedAnnouncement{Announcement: a, Age: clock.Millis(rapid.IntRange(0, 1000).Draw(t, "age")), Direct: rapid.Bool().Draw(t, "direct")}
				_, err := r.Accept(now, ra)
				allowed := ra.Age < lease && a.Incarnation >= incarnation[a.Instance]
				assert.Equal(t, err == nil, allowed, "%v", err)
				if !allowed {
					return
				}
				end := now - ra.Age + lease
				if a.Incarnation == incarnation[a.Instance] {
					end = max(end, expires[a.Instance])
				}
				expires[a.Instance], incarnation[a.Instance], expired[a.Instance] = end, a.Incarnation, false
			},
			"time": func(t *rapid.T) {
				now += clock.Millis(rapid.IntRange(1, 800).Draw(t, "ms"))
				for _, gone := range r.Expire(now, nil) {
					id := gone.Announcement.Instance
					assert.Assert(t, !expired[id], "the end of the lease was reported twice")
					assert.Assert(t, expires[id] <= now)
					expired[id] = true
				}
			},
			"": func(t *rapid.T) {
				r.Each(func(rec *Record) {
					id := rec.Announcement.Instance
					assert.Equal(t, rec.ExpiresAt, expires[id])
					assert.Equal(t, rec.Expired, expired[id])
				})
			},
		})
	})
}

// TestPauseExtendsLeases guards against a process that expires all leases after it
// was itself paused, and against one whose pauses keep the leases of dead instances
// valid.
func TestPauseExtendsLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(Settings{Zone: "z"}, 0)
		_, err := r.Accept(0, direct(announcement("dead", 1)))
		assert.NilError(t, err)
		now := clock.Millis(0)
		for range 4 {
			now += 1000
			r.Expire(now, nil)
		}
		_, err = r.Accept(now, direct(announcement("a", 1)))
		assert.NilError(t, err)
		resumed := now + clock.Millis(rapid.Int64Range(1001, 1<<30).Draw(t, "pause"))
		for _, rec := range r.Expire(resumed, nil) {
			assert.Assert(t, rec.Announcement.Instance != "a", "the lease of a expired at the end of the pause")
		}
		a, _ := r.Get("a")
		assert.Equal(t, a.ExpiresAt, resumed+DefaultLease)
		dead, known := r.Get("dead")
		assert.Assert(t, !known || dead.Expired, "the pause extended a lease that had expired")
		gone := 0
		for step := range clock.Millis(4) {
			gone += len(r.Expire(resumed+step*1000, nil))
		}
		assert.Equal(t, gone, 1)
		assert.Equal(t, r.Pauses, 1)
	})
}

// TestUpdatesForNeighbours guards against neighbours that miss updates, get old
// ones again, or get back the ones that they sent.
func TestUpdatesForNeighbours(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(Settings{Zone: "z"}, 0), New(Settings{Zone: "z"}, 0)
		seq, now := uint64(0), clock.Millis(0)
		for range rapid.IntRange(1, 20).Draw(t, "rounds") {
			now += 10
			announced := map[model.InstanceID]bool{}
			for range rapid.IntRange(0, 5).Draw(t, "announcements") {
				an := announcement(fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "instance")), 1)
				_, err := a.Accept(now, direct(an))
				assert.NilError(t, err)
				announced[an.Instance] = true
			}
			updates, latest := a.UpdatesSince(now+5, seq)
			assert.Equal(t, len(updates), len(announced))
			for _, ra := range updates {
				assert.Assert(t, announced[ra.Announcement.Instance] && !ra.Direct && ra.Age == 5)
				_, err := b.Accept(now+5, ra)
				assert.NilError(t, err)
			}
			seq = latest
			echoes, _ := b.UpdatesSince(now+5, 0)
			assert.Equal(t, len(echoes), 0)
		}
	})
}

// TestOldRecordsAreForgotten guards against records that accumulate as instances
// are replaced.
func TestOldRecordsAreForgotten(t *testing.T) {
	r := New(Settings{Zone: "z", MaxTickGap: clock.Day}, 0)
	for i := range 50 {
		_, err := r.Accept(0, direct(announcement(fmt.Sprint(i), 1)))
		assert.NilError(t, err)
	}
	assert.Equal(t, len(r.Expire(DefaultLease, nil)), 50)
	r.Expire(DefaultLease+ForgetAfter+1, nil)
	assert.Equal(t, len(r.records)+len(r.byAddress), 0)
	assert.Assert(t, r.first == nil && r.last == nil)
}
