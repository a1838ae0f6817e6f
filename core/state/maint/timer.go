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

// Before reports whether d sorts before e: by time, then by name.
func (d timer) Before(e timer) bool {
	if d.at != e.at {
		return d.at < e.at
	}
	return d.instance+d.pool+d.wave < e.instance+e.pool+e.wave
}
