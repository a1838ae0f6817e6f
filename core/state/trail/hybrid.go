package trail

import (
	"math"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// MaxClockOffset bounds how far a stamp from another process may be ahead of the
// own clock. Without the bound, one machine with a wrong clock would move the
// stamps of all processes into the future for good.
const MaxClockOffset = clock.Minute

// HybridClock is a hybrid logical clock: it follows the machine's clock and never
// falls behind a stamp that it has issued or observed. It is not safe for use
// by several goroutines.
type HybridClock struct {
	// Last is the largest stamp issued or observed; it never goes back.
	Last model.Stamp
	// Rejected counts the observed stamps that were too far ahead.
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

// Observe takes note of a stamp that a message carried, so that later events
// of this process come after it. A stamp more than MaxAhead in the future is
// counted and ignored; Observe then returns false.
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
