package clock

import (
	"sync"
	"time"
)

// Millis is a point in time, in milliseconds since the Unix epoch, or a
// duration in milliseconds.
type Millis int64

// Units of duration.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
	Day           = 24 * Hour
)

// Duration converts a duration for use with the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts a duration of the standard library, rounded down.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock reads the time and makes timers. The zero value is the machine's
// clock.
type Clock struct {
	fake *Fake
}

// Real returns the machine's clock.
func Real() Clock { return Clock{} }

// start anchors the real clock: times are derived from the monotonic clock,
// so that a step of the wall clock moves no deadline.
var start = time.Now()

// Now returns the current time. It never goes back within a process.
func (c Clock) Now() Millis {
	if c.fake != nil {
		return c.fake.Now()
	}
	return Millis(start.UnixMilli()) + FromDuration(time.Since(start))
}

// Skew is the time of day less Now. It changes when the time of day is set, and
// when the machine is suspended: Now stands still meanwhile.
func (c Clock) Skew() Millis {
	if c.fake != nil {
		return c.fake.skewed()
	}
	return Millis(time.Now().UnixMilli()) - c.Now()
}

// After returns a channel that is closed once d has passed.
func (c Clock) After(d Millis) <-chan struct{} {
	if c.fake != nil {
		return c.fake.after(d)
	}
	ch := make(chan struct{})
	time.AfterFunc(d.Duration(), func() { close(ch) })
	return ch
}

// Fake is a clock that moves only when told to.
type Fake struct {
	mu     sync.Mutex
	now    Millis
	skew   Millis
	timers []timer
}

type timer struct {
	due Millis
	ch  chan struct{}
}

// NewFake returns a fake clock that stands at now.
func NewFake(now Millis) *Fake { return &Fake{now: now} }

// Clock returns a Clock that reads f.
func (f *Fake) Clock() Clock { return Clock{fake: f} }

// Now returns the time that f stands at.
func (f *Fake) Now() Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Suspend moves the time of day by d while f stands still.
func (f *Fake) Suspend(d Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.skew += d
}

func (f *Fake) skewed() Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.skew
}

// Advance moves the clock by d and fires the timers that fall due.
func (f *Fake) Advance(d Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += d
	kept := f.timers[:0]
	for _, t := range f.timers {
		if t.due <= f.now {
			close(t.ch)
			continue
		}
		kept = append(kept, t)
	}
	f.timers = kept
}

func (f *Fake) after(d Millis) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	ch := make(chan struct{})
	if d <= 0 {
		close(ch)
		return ch
	}
	f.timers = append(f.timers, timer{due: f.now + d, ch: ch})
	return ch
}
