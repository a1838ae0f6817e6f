package member

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Defaults of the settings.
const (
	// DefaultLease is three announcement intervals.
	DefaultLease = 3 * clock.Second
	// DefaultMaxTickGap is the gap between two ticks above which this process is
	// assumed to have been paused.
	DefaultMaxTickGap = clock.Second
	// ForgetAfter is the time after the end of its lease at which a record is
	// dropped with its incarnation. It is far longer than any announcement can be
	// in transit.
	ForgetAfter = clock.Hour
)

// Settings configure a roster; zero durations get their default.
type Settings struct {
	Zone model.Zone
	// Lease is how long an announcement is valid.
	Lease clock.Millis
	// MaxTickGap is the longest gap between two ticks for which leases are not
	// extended.
	MaxTickGap clock.Millis
}

// Record is the latest announcement of an instance.
type Record struct {
	Announcement model.Announcement
	// SentAt is the latest time at which an announcement was sent: the time of its
	// receipt minus its age.
	SentAt clock.Millis
	// ExpiresAt is the end of the lease; it never moves back within an
	// incarnation.
	ExpiresAt clock.Millis
	// Expired is set once Expire has reported the end of the lease.
	Expired bool
	// Seq is the sequence number of the last announcement received directly from
	// the upstream; 0 if all were forwarded by neighbours.
	Seq uint64
	// prev and next link the records that have a Seq, in ascending order of Seq.
	prev, next *Record
}

// Live reports whether the lease is valid at the given time.
func (r *Record) Live(now clock.Millis) bool { return r.ExpiresAt > now }

// ReceivedAnnouncement is an announcement with its age and origin.
type ReceivedAnnouncement struct {
	Announcement model.Announcement
	// Age is the time since the upstream sent the announcement, as far as known.
	Age clock.Millis
	// Direct is set if it came from the upstream itself rather than from a
	// neighbour.
	Direct bool
}

// Roster holds the latest announcement of each instance of one zone. It is not safe
// for concurrent use.
type Roster struct {
	cfg     Settings
	records map[model.InstanceID]*Record
	// byAddress maps an address to the instance that announced it last.
	byAddress map[string]model.InstanceID
	// first and last are the ends of the linked list of records ordered by Seq.
	first, last *Record
	seq         uint64
	// lastTick is the latest time passed to Tick.
	lastTick clock.Millis
	// Pauses is the number of detected pauses of this process.
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

// Lease returns the duration of the lease of an accepted announcement.
func (t *Roster) Lease() clock.Millis { return t.cfg.Lease }

// Tick sets the current time and reports whether this process was paused. After a
// gap longer than MaxTickGap, the process itself was paused and could not receive
// announcements, so every lease that was valid at the last tick is extended to at
// least one full lease from now.
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

// Accept records an announcement, or returns an *Error if it is refused. changed
// reports whether anything but the lease has changed.
func (t *Roster) Accept(now clock.Millis, ra ReceivedAnnouncement) (changed bool, err error) {
	t.Tick(now)
	if e := t.check(now, ra); e != nil {
		return false, e
	}
	a := ra.Announcement
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
	r.SentAt = max(r.SentAt, now-ra.Age)
	r.ExpiresAt = max(r.ExpiresAt, now-ra.Age+t.cfg.Lease)
	r.Expired = false
	t.byAddress[a.Address] = a.Instance
	if ra.Direct {
		t.seq++
		t.unlink(r)
		r.Seq = t.seq
		t.link(r)
	}
	return changed, nil
}

// check returns the reason why an announcement is refused; nil if it is accepted.
func (t *Roster) check(now clock.Millis, ra ReceivedAnnouncement) *Error {
	a := ra.Announcement
	if e := validate(a, t.cfg.Zone); e != nil {
		return e
	}
	if ra.Age < 0 || ra.Age >= t.cfg.Lease {
		return refusal(KindStale, "the announcement was %d ms under way", ra.Age)
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
	current := r.Announcement
	switch {
	case a.Incarnation < current.Incarnation:
		return refusal(KindIncarnation, "incarnation %d of %s is below %d", a.Incarnation, a.Instance, current.Incarnation)
	case a.Incarnation > current.Incarnation:
		return nil
	case a.Pool != current.Pool:
		return refusal(KindPool, "%s announced pool %s and %s under incarnation %d", a.Instance, current.Pool, a.Pool, a.Incarnation)
	case a.Address != current.Address:
		return refusal(KindAddress, "%s announced address %s and %s under incarnation %d", a.Instance, current.Address, a.Address, a.Incarnation)
	case current.State == model.AnnounceLeaving && a.State != model.AnnounceLeaving:
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

// Expire marks the records whose lease has ended, appends them to buf, and drops
// those whose lease ended more than ForgetAfter ago.
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

// Get returns the record of an instance; false if there is none.
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

// UpdatesSince returns the valid announcements received directly from upstreams
// after a sequence number, for forwarding to neighbours, and the latest sequence
// number, which the next call starts from. Its cost is proportional to the number
// of updates.
func (t *Roster) UpdatesSince(now clock.Millis, since uint64) (updates []ReceivedAnnouncement, latest uint64) {
	for r := t.last; r != nil && r.Seq > since; r = r.prev {
		if r.Live(now) {
			updates = append(updates, ReceivedAnnouncement{Announcement: r.Announcement, Age: now - r.SentAt})
		}
	}
	return updates, t.seq
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
