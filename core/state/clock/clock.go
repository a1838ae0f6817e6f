package clock

import (
	"sync"
	"time"
)

// Millis is either a time in milliseconds since the Unix epoch or a duration in
// milliseconds.
type Millis int64

// The units of duration.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
	Day           = 24 * Hour
)

// Duration returns m, which must be a duration, as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration returns d in milliseconds. Fractions of a millisecond are truncated.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock reads the time and creates timers. The zero value is the machine's
// clock.
type Clock struct {
	fake *Fake
}

// Real returns the machine's clock.
func Real() Clock { return Clock{} }

// start is the time to which the real clock adds the elapsed monotonic time, so
// that an adjustment of the wall clock does not move deadlines.
var start = time.Now()

// Now returns the current time. It never decreases within a process.
func (c Clock) Now() Millis {
	if c.fake != nil {
		return c.fake.Now()
	}
	return Millis(start.UnixMilli()) + FromDuration(time.Since(start))
}

// Skew returns the wall clock time minus Now. It changes when the wall clock is
// set and when the machine is suspended, because Now does not advance during a
// suspension.
func (c Clock) Skew() Millis {
	if c.fake != nil {
		return c.fake.currentSkew()
	}
	return Millis(time.Now().UnixMilli()) - c.Now()
}

// After returns a channel that is closed after d has elapsed.
func (c Clock) After(d Millis) <-chan struct{} {
	if c.fake != nil {
		return c.fake.after(d)
	}
	ch := make(chan struct{})
	time.AfterFunc(d.Duration(), func() { close(ch) })
	return ch
}

// Fake is a clock for tests that advances only when Advance is called.
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

// NewFake returns a Fake whose current time is now.
func NewFake(now Millis) *Fake { return &Fake{now: now} }

// Clock returns a Clock that reads f.
func (f *Fake) Clock() Clock { return Clock{fake: f} }

// Now returns the current time of f.
func (f *Fake) Now() Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Suspend simulates a suspension of the machine: it advances the wall clock, and
// hence Skew, by d without advancing Now.
func (f *Fake) Suspend(d Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.skew += d
}

func (f *Fake) currentSkew() Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.skew
}

// Advance advances the clock by d and fires the timers that are then due.
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

// DeadlineAfter returns the time that is d from now, as a deadline for the connections
// of the standard library, which know only the machine's clock.
func DeadlineAfter(d Millis) time.Time { return time.Now().Add(d.Duration()) }
