package trail

import (
	"math"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// MaxClockOffset is the maximum time by which a stamp from another process may
// be ahead of the local clock. Without the limit, one machine with a wrong clock
// would permanently move the stamps of all processes into the future.
const MaxClockOffset = clock.Minute

// HybridClock is a hybrid logical clock: it follows the local clock but never
// falls behind a stamp that it has issued or observed. It is not safe for
// concurrent use.
type HybridClock struct {
	// Last is the largest stamp issued or observed; it never decreases.
	Last model.Stamp
	// Rejected counts the observed stamps that were more than MaxClockOffset
	// ahead.
	Rejected int64
}

// Next returns a stamp larger than all stamps issued or observed before.
func (h *HybridClock) Next(now clock.Millis) model.Stamp {
	switch {
	case now > h.Last.Wall:
		h.Last = model.Stamp{Wall: now}
	case h.Last.Count == math.MaxUint32:
		h.Last = model.Stamp{Wall: h.Last.Wall + 1}
	default:
		h.Last.Count++
	}
	return h.Last
}

// Observe records a stamp received in a message, so that later events of this
// process come after it. A stamp more than MaxClockOffset ahead of now is counted
// and ignored; Observe then returns false.
func (h *HybridClock) Observe(s model.Stamp, now clock.Millis) bool {
	if s.Wall > now+MaxClockOffset {
		h.Rejected++
		return false
	}
	if h.Last.Less(s) {
		h.Last = s
	}
	return true
}
