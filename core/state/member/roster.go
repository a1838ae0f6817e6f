package member

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Defaults of the settings.
const (
	// DefaultLease is three announcement intervals.
	DefaultLease = 3 * clock.Second
	// DefaultMaxTickGap is the gap between two ticks that counts as a pause of this
	// process.
	DefaultMaxTickGap = clock.Second
	// ForgetAfter is the time after which a lapsed record and its incarnation are
	// dropped. It is far longer than any announcement can be under way.
	ForgetAfter = clock.Hour
)

// Settings of a roster.
type Settings struct {
	Zone model.Zone
	// Lease is how long an announcement holds.
	Lease clock.Millis
	// MaxTickGap is the longest gap between two ticks without a grace.
	MaxTickGap clock.Millis
}

// Record is the latest announcement of an instance.
type Record struct {
	Announcement model.Announcement
	// SentAt is the time of the announcement, less the time it was under way.
	SentAt clock.Millis
	// ExpiresAt is the end of the lease; it never moves back under one
	// incarnation.
	ExpiresAt clock.Millis
	// Expired says that the end of the lease was reported.
	Expired bool
	// Seq is the number of the last announcement heard from the upstream
	// itself; 0 when all came through neighbours.
	Seq uint64
	// prev and next link the records with a Seq in its order.
	prev, next *Record
}

// Live reports whether the lease holds at a time.
func (r *Record) Live(now clock.Millis) bool { return r.ExpiresAt > now }

// ReceivedAnnouncement is an announcement with the way it took.
type ReceivedAnnouncement struct {
	Announcement model.Announcement
	// Age is the time since the upstream sent it, as far as known.
	Age clock.Millis
	// Direct says that it came from the upstream and not from a neighbour.
	Direct bool
}

// Roster is the announcement table of one zone. It is not safe for use by
// several goroutines.
type Roster struct {
	cfg     Settings
	records map[model.InstanceID]*Record
	// byAddress names the instance that last announced an address.
	byAddress map[string]model.InstanceID
	// first and last are the ends of the list of records by Seq.
	first, last *Record
	seq         uint64
	// lastTick is the latest time that the roster was told.
	lastTick clock.Millis
	// Pauses is the number of pauses of this process that were noticed.
	Pauses int
}

// New returns an empty roster that starts at now.
func New(cfg Settings, now clock.Millis) *Roster {
	if cfg.Lease <= 0 {
		cfg.Lease = DefaultLease
	}
	if cfg.MaxTickGap <= 0 {
		cfg.MaxTickGap = DefaultMaxTickGap
	}
	return &Roster{
		cfg:       cfg,
		records:   map[model.InstanceID]*Record{},
		byAddress: map[string]model.InstanceID{},
		lastTick:  now,
	}
}

// Lease returns the lease that an accepted announcement gets.
func (t *Roster) Lease() clock.Millis { return t.cfg.Lease }

// Tick tells the roster the time. After a gap longer than the pause, this
// process itself was stopped and could not hear anybody: every lease that held
// before the gap is prolonged by one lease. It reports whether that was so.
func (t *Roster) Tick(now clock.Millis) (paused bool) {
	before := t.lastTick
	t.lastTick = max(t.lastTick, now)
	if now-before <= t.cfg.MaxTickGap {
		return false
	}
	t.Pauses++
	for _, r := range t.records {
		if r.ExpiresAt > before {
			r.ExpiresAt = max(r.ExpiresAt, now+t.cfg.Lease)
		}
	}
	return true
}

// Accept takes an announcement in, or returns why not. changed reports whether
// anything but the lease differs from before.
func (t *Roster) Accept(now clock.Millis, h ReceivedAnnouncement) (changed bool, err error) {
	t.Tick(now)
	if e := t.check(now, h); e != nil {
		return false, e
	}
	a := h.Announcement
	r := t.records[a.Instance]
	if r == nil {
		r = &Record{}
		t.records[a.Instance] = r
	}
	changed = r.Announcement != a || r.Expired || r.SentAt == 0
	if r.Announcement.Incarnation != a.Incarnation {
		r.ExpiresAt = 0
	}
	if old := r.Announcement.Address; old != a.Address && t.byAddress[old] == a.Instance {
		delete(t.byAddress, old)
	}
	r.Announcement = a
	r.SentAt = max(r.SentAt, now-h.Age)
	r.ExpiresAt = max(r.ExpiresAt, now-h.Age+t.cfg.Lease)
	r.Expired = false
	t.byAddress[a.Address] = a.Instance
	if h.Direct {
		t.seq++
		t.unlink(r)
		r.Seq = t.seq
		t.link(r)
	}
	return changed, nil
}

func (t *Roster) check(now clock.Millis, h ReceivedAnnouncement) *Error {
	a := h.Announcement
	if e := validate(a, t.cfg.Zone); e != nil {
		return e
	}
	if h.Age < 0 || h.Age >= t.cfg.Lease {
		return refusal(KindStale, "the announcement was %d ms under way", h.Age)
	}
	if other, ok := t.byAddress[a.Address]; ok && other != a.Instance {
		if o := t.records[other]; o != nil && o.Live(now) && o.Announcement.State == model.AnnounceServing {
			return refusal(KindAddress, "address %s is in use by instance %s", a.Address, other)
		}
	}
	r := t.records[a.Instance]
	if r == nil {
		return nil
	}
	held := r.Announcement
	switch {
	case a.Incarnation < held.Incarnation:
		return refusal(KindIncarnation, "incarnation %d of %s is below %d", a.Incarnation, a.Instance, held.Incarnation)
	case a.Incarnation > held.Incarnation:
		return nil
	case a.Pool != held.Pool:
		return refusal(KindPool, "%s announced pool %s and %s under incarnation %d", a.Instance, held.Pool, a.Pool, a.Incarnation)
	case a.Address != held.Address:
		return refusal(KindAddress, "%s announced address %s and %s under incarnation %d", a.Instance, held.Address, a.Address, a.Incarnation)
	case held.State == model.AnnounceLeaving && a.State != model.AnnounceLeaving:
		return refusal(KindStale, "%s is leaving under incarnation %d", a.Instance, a.Incarnation)
	}
	return nil
}

func validate(a model.Announcement, zone model.Zone) *Error {
	switch {
	case a.Instance == "" || a.Pool == "" || a.Address == "" || a.Zone == "":
		return refusal(KindInvalid, "instance, zone, pool and address are needed")
	case a.Slots < 1 || a.Connections < 1:
		return refusal(KindInvalid, "slots and connections must be at least 1")
	case a.Incarnation == 0:
		return refusal(KindInvalid, "the incarnation must be at least 1")
	case a.State != model.AnnounceServing && a.State != model.AnnounceLeaving:
		return refusal(KindInvalid, "unknown state %d", a.State)
	case a.Zone != zone:
		return refusal(KindZone, "instance %s is in zone %s, not %s", a.Instance, a.Zone, zone)
	}
	return nil
}

// Expire marks the records whose lease ended, appends them to buf, and forgets
// those that lapsed long ago.
func (t *Roster) Expire(now clock.Millis, buf []Record) []Record {
	t.Tick(now)
	for id, r := range t.records {
		switch {
		case r.Live(now):
		case !r.Expired:
			r.Expired = true
			buf = append(buf, *r)
		case now-r.ExpiresAt > ForgetAfter:
			t.unlink(r)
			if t.byAddress[r.Announcement.Address] == id {
				delete(t.byAddress, r.Announcement.Address)
			}
			delete(t.records, id)
		}
	}
	return buf
}

// Get returns the record of an instance.
func (t *Roster) Get(id model.InstanceID) (Record, bool) {
	r := t.records[id]
	if r == nil {
		return Record{}, false
	}
	return *r, true
}

// Each calls f for every record.
func (t *Roster) Each(f func(*Record)) {
	for _, r := range t.records {
		f(r)
	}
}

// UpdatesSince returns what was heard from upstreams themselves after a sequence
// number, for the neighbours, and the number to ask from next. Its cost
// follows the number of news.
func (t *Roster) UpdatesSince(now clock.Millis, since uint64) (news []ReceivedAnnouncement, latest uint64) {
	for r := t.last; r != nil && r.Seq > since; r = r.prev {
		if r.Live(now) {
			news = append(news, ReceivedAnnouncement{Announcement: r.Announcement, Age: now - r.SentAt})
		}
	}
	return news, t.seq
}

func (t *Roster) link(r *Record) {
	r.prev = t.last
	if t.last == nil {
		t.first = r
	} else {
		t.last.next = r
	}
	t.last = r
}

func (t *Roster) unlink(r *Record) {
	if r.Seq == 0 {
		return
	}
	if r.prev == nil {
		t.first = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		t.last = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
}
