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
	// SentAt is the latest time at which an announcement of the instance was sent:
	// the time of its receipt minus its age.
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
	// neighbour, another entry process of the zone.
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
func (r *Roster) Lease() clock.Millis { return r.cfg.Lease }

// Tick sets the current time and reports whether this process was paused. After a
// gap longer than MaxTickGap, the process is assumed to have been paused and unable
// to receive announcements, so every lease that was valid at the last tick is
// extended to at least one full lease from now.
func (r *Roster) Tick(now clock.Millis) (paused bool) {
	before := r.lastTick
	r.lastTick = max(r.lastTick, now)
	if now-before <= r.cfg.MaxTickGap {
		return false
	}
	r.Pauses++
	for _, rec := range r.records {
		if rec.ExpiresAt > before {
			rec.ExpiresAt = max(rec.ExpiresAt, now+r.cfg.Lease)
		}
	}
	return true
}

// Accept records an announcement, or returns an *Error if it is refused. changed
// is true if the announcement differs from the recorded one, if none was recorded, or
// if Expire had reported the end of its lease.
func (r *Roster) Accept(now clock.Millis, ra ReceivedAnnouncement) (changed bool, err error) {
	r.Tick(now)
	if e := r.check(now, ra); e != nil {
		return false, e
	}
	a := ra.Announcement
	rec := r.records[a.Instance]
	if rec == nil {
		rec = &Record{}
		r.records[a.Instance] = rec
	}
	changed = rec.Announcement != a || rec.Expired || rec.SentAt == 0
	// The lease of an earlier incarnation does not carry over to a new process.
	if rec.Announcement.Incarnation != a.Incarnation {
		rec.ExpiresAt = 0
	}
	if old := rec.Announcement.Address; old != a.Address && r.byAddress[old] == a.Instance {
		delete(r.byAddress, old)
	}
	rec.Announcement = a
	rec.SentAt = max(rec.SentAt, now-ra.Age)
	rec.ExpiresAt = max(rec.ExpiresAt, now-ra.Age+r.cfg.Lease)
	rec.Expired = false
	r.byAddress[a.Address] = a.Instance
	if ra.Direct {
		r.seq++
		r.unlink(rec)
		rec.Seq = r.seq
		r.link(rec)
	}
	return changed, nil
}

// check returns the reason why an announcement is refused; nil if it is accepted.
func (r *Roster) check(now clock.Millis, ra ReceivedAnnouncement) *Error {
	a := ra.Announcement
	if e := validate(a, r.cfg.Zone); e != nil {
		return e
	}
	if ra.Age < 0 || ra.Age >= r.cfg.Lease {
		return refusal(KindStale, "the age of the announcement is %d ms, which is negative or not below the lease", ra.Age)
	}
	if other, ok := r.byAddress[a.Address]; ok && other != a.Instance {
		if o := r.records[other]; o != nil && o.Live(now) && o.Announcement.State == model.AnnounceServing {
			return refusal(KindAddress, "address %s is in use by instance %s", a.Address, other)
		}
	}
	rec := r.records[a.Instance]
	if rec == nil {
		return nil
	}
	current := rec.Announcement
	switch {
	case a.Incarnation < current.Incarnation:
		return refusal(KindIncarnation, "incarnation %d of instance %s is below the recorded incarnation %d", a.Incarnation, a.Instance, current.Incarnation)
	case a.Incarnation > current.Incarnation:
		return nil
	case a.Pool != current.Pool:
		return refusal(KindPool, "instance %s announced both pool %s and pool %s under incarnation %d", a.Instance, current.Pool, a.Pool, a.Incarnation)
	case a.Address != current.Address:
		return refusal(KindAddress, "instance %s announced both address %s and address %s under incarnation %d", a.Instance, current.Address, a.Address, a.Incarnation)
	case current.State == model.AnnounceLeaving && a.State != model.AnnounceLeaving:
		return refusal(KindStale, "instance %s is leaving under incarnation %d", a.Instance, a.Incarnation)
	}
	return nil
}

// validate checks the fields of an announcement without regard to earlier ones.
func validate(a model.Announcement, zone model.Zone) *Error {
	switch {
	case a.Instance == "" || a.Pool == "" || a.Address == "" || a.Zone == "":
		return refusal(KindInvalid, "instance, zone, pool and address must not be empty")
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

// Expire marks the records whose lease has ended since the last call and appends them
// to buf. It drops marked records whose lease ended more than ForgetAfter ago.
func (r *Roster) Expire(now clock.Millis, buf []Record) []Record {
	r.Tick(now)
	for id, rec := range r.records {
		switch {
		case rec.Live(now):
		case !rec.Expired:
			rec.Expired = true
			buf = append(buf, *rec)
		case now-rec.ExpiresAt > ForgetAfter:
			r.unlink(rec)
			if r.byAddress[rec.Announcement.Address] == id {
				delete(r.byAddress, rec.Announcement.Address)
			}
			delete(r.records, id)
		}
	}
	return buf
}

// Get returns the record of an instance; false if there is none.
func (r *Roster) Get(id model.InstanceID) (Record, bool) {
	rec := r.records[id]
	if rec == nil {
		return Record{}, false
	}
	return *rec, true
}

// Each calls f for every record.
func (r *Roster) Each(f func(*Record)) {
	for _, rec := range r.records {
		f(rec)
	}
}

// UpdatesSince returns the valid announcements received directly from upstreams
// after a sequence number, for forwarding to neighbours, and the latest sequence
// number, which the next call starts from. Its cost is proportional to the number
// of updates.
func (r *Roster) UpdatesSince(now clock.Millis, since uint64) (updates []ReceivedAnnouncement, latest uint64) {
	for rec := r.last; rec != nil && rec.Seq > since; rec = rec.prev {
		if rec.Live(now) {
			updates = append(updates, ReceivedAnnouncement{Announcement: rec.Announcement, Age: now - rec.SentAt})
		}
	}
	return updates, r.seq
}

// link appends a record to the linked list. It must not be linked already.
func (r *Roster) link(rec *Record) {
	rec.prev = r.last
	if r.last == nil {
		r.first = rec
	} else {
		r.last.next = rec
	}
	r.last = rec
}

// unlink removes a record from the linked list. It ignores records without a Seq,
// which are not linked.
func (r *Roster) unlink(rec *Record) {
	if rec.Seq == 0 {
		return
	}
	if rec.prev == nil {
		r.first = rec.next
	} else {
		rec.prev.next = rec.next
	}
	if rec.next == nil {
		r.last = rec.prev
	} else {
		rec.next.prev = rec.prev
	}
	rec.prev, rec.next = nil, nil
}
