package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/ring"
)

// The budget of the log. A reader that stops reading costs lines, never time
// of the process.
const (
	// ringLines is the number of lines that may wait for the reader.
	ringLines = 4096
	// infoBytes is the number of bytes a second that lines of level info may
	// take, and infoBurst what they may take at once. Lines of higher levels
	// are bound by the ring alone.
	infoBytesPerSecond = 64 << 10
	infoBurstBytes     = 256 << 10
	// reportInterval separates two lines about dropped lines.
	reportInterval = clock.Second
)

var infoLevelField = []byte("level=info")

// Async is a writer that never waits for its reader: one goroutine writes the
// lines out, and lines beyond the budget are dropped and counted.
type Async struct {
	out       io.Writer
	clock     clock.Clock
	lines     *ring.Ring[[]byte]
	dropped   atomic.Int64
	done      chan struct{}
	finished  chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// left is the part of the budget that is not used yet, as of at.
	budgetBytes int
	refilledAt  clock.Millis

	// told is the number of dropped lines that was reported, as of toldAt; run
	// alone touches both.
	reported   int64
	reportedAt clock.Millis
}

// NewAsync returns a writer to out.
func NewAsync(out io.Writer, c clock.Clock) *Async {
	a := &Async{
		out: out, clock: c, lines: ring.New[[]byte](ringLines), budgetBytes: infoBurstBytes, refilledAt: c.Now(),
		done: make(chan struct{}), finished: make(chan struct{}),
	}
	go a.run()
	return a
}

// Write takes one line. It never fails: a line without room is dropped.
func (a *Async) Write(line []byte) (int, error) {
	if !a.admit(line) || !a.lines.TryPut(bytes.Clone(line)) {
		a.dropped.Add(1)
	}
	return len(line), nil
}

// admit reports whether a line is within the budget.
func (a *Async) admit(line []byte) bool {
	if !bytes.Contains(line, infoLevelField) {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.budgetBytes = min(infoBurstBytes, a.budgetBytes+int(now-a.refilledAt)*infoBytesPerSecond/int(clock.Second))
	a.refilledAt = now
	if a.budgetBytes < len(line) {
		return false
	}
	a.budgetBytes -= len(line)
	return true
}

// report writes a line about dropped lines, at most one each interval.
func (a *Async) report() {
	n, now := a.dropped.Load(), a.clock.Now()
	if n == a.reported || now-a.reportedAt < reportInterval && a.reportedAt != 0 {
		return
	}
	a.reported, a.reportedAt = n, now
	a.write(fmt.Appendf(nil, "level=warn msg=log-lines-dropped total=%d\n", n))
}

// Dropped is the number of lines that were dropped.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes what waits, as far as the reader takes it within a second.
func (a *Async) Close() {
	a.closeOnce.Do(func() { close(a.done) })
	select {
	case <-a.finished:
	case <-a.clock.After(clock.Second):
	}
}

func (a *Async) run() {
	defer close(a.finished)
	for {
		select {
		case line := <-a.lines.C():
			a.write(line)
			a.report()
		case <-a.done:
			for _, line := range a.lines.Drain(nil, ringLines) {
				a.write(line)
			}
			return
		}
	}
}

// write drops a line whose reader is gone; the process goes on without a log.
func (a *Async) write(line []byte) {
	if _, err := a.out.Write(line); err != nil {
		a.dropped.Add(1)
	}
}
