package maint

import "camphorridge/core/state/clock"

// due is a time at which an instance, a pool or a wave has to be looked at
// again. Exactly one of the names is set.
type due struct {
	at       clock.Millis
	instance string
	pool     string
	wave     string
}

// Before orders by time, then by name.
func (d due) Before(e due) bool {
	if d.at != e.at {
		return d.at < e.at
	}
	return d.instance+d.pool+d.wave < e.instance+e.pool+e.wave
}
