package entry

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/member"
	"camphorridge/core/state/model"
)

// Instance returns an instance as the table has it; ok is false when the table
// doesn't have it.
func (d *Dispatcher[P, Q, L]) Instance(id model.InstanceID) (i model.Instance, ok bool) {
	c := d.call(&command{op: opInstance, instance: model.Instance{ID: id}})
	return c.instance, c.found
}

// LiveAnnouncements returns the announcements whose lease has not expired. Its cost
// is proportional to the number of upstreams in the zone.
func (d *Dispatcher[P, Q, L]) LiveAnnouncements() []model.Announcement {
	return d.call(&command{op: opLiveAnnouncements}).liveAnnouncements
}

func (d *Dispatcher[P, Q, L]) liveAnnouncements(now clock.Millis) []model.Announcement {
	var all []model.Announcement
	d.announcements.Each(func(r *member.Record) {
		if r.Live(now) {
			all = append(all, r.Announcement)
		}
	})
	return all
}
