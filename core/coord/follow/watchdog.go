package follow

import (
	"sync/atomic"

	"camphorridge/core/state/clock"
)

// Timing of the watchdog.
const (
	watchdogTick clock.Millis = 200
	// PauseLimit is the gap between two ticks after which the process counts
	// as paused: its table may have been overtaken meanwhile.
	PauseLimit = clock.Second
)

// Watchdog tells whether the table of this process was confirmed since it
// started or was last paused.
type Watchdog struct {
	clock clock.Clock
	done  chan struct{}
	// last is the time of the last tick. It is stored after pauses was
	// increased, so that a reader sees either the old tick or the pause.
	last atomic.Int64
	// pauses counts the pauses; the start of the process is the first.
	pauses atomic.Int64
	// confirmed is the value of pauses for which the table was confirmed.
	confirmed atomic.Int64
}

// NewWatchdog returns a watchdog of a process that was not confirmed yet.
func NewWatchdog(c clock.Clock) *Watchdog {
	w := &Watchdog{clock: c, done: make(chan struct{})}
	w.pauses.Store(1)
	w.last.Store(int64(c.Now()))
	return w
}

// Mark returns a mark for Confirm; it is taken before the question is sent.
func (w *Watchdog) Mark() int64 { return w.pauses.Load() }

// Confirm says that another process confirmed the table after the mark.
func (w *Watchdog) Confirm(mark int64) { w.confirmed.Store(mark) }

// Confirmed reports whether the table may be used.
func (w *Watchdog) Confirmed() bool {
	if w.clock.Now()-clock.Millis(w.last.Load()) > PauseLimit {
		return false
	}
	return w.confirmed.Load() == w.pauses.Load()
}

// Run ticks until Stop.
func (w *Watchdog) Run() error {
	for {
		select {
		case <-w.clock.After(watchdogTick):
			now := w.clock.Now()
			if now-clock.Millis(w.last.Load()) > PauseLimit {
				w.pauses.Add(1)
			}
			w.last.Store(int64(now))
		case <-w.done:
			return nil
		}
	}
}

// Stop ends Run.
func (w *Watchdog) Stop() { close(w.done) }
