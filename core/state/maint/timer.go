package maint

import "camphorridge/core/state/clock"

// timer is a time at which an instance, a pool or a wave must be evaluated
// again. Exactly one of the names is set.
type timer struct {
	at       clock.Millis
	instance string
	pool     string
	wave     string
}

// Before reports whether t sorts before u: by time, then by name.
func (t timer) Before(u timer) bool {
	if t.at != u.at {
		return t.at < u.at
	}
	return t.instance+t.pool+t.wave < u.instance+u.pool+u.wave
}
