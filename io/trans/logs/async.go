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

// The limits of an AsyncWriter. If the reader of the log stops reading, lines are
// dropped instead of blocking the process.
const (
	// ringLines is the maximum number of queued lines.
	ringLines = 4096
	// infoBytesPerSecond and infoBurstBytes are the rate and the burst of the
	// token bucket for lines of level info. Lines of other levels are limited
	// only by ringLines.
	infoBytesPerSecond = 64 << 10
	infoBurstBytes     = 256 << 10
	// reportInterval is the minimum time between two reports of dropped lines.
	reportInterval = clock.Second
)

var infoLevelField = []byte("level=info")

// AsyncWriter is an io.Writer that never blocks: it queues lines, which a
// goroutine writes to the underlying writer. Lines beyond the limits are dropped
// and counted.
type AsyncWriter struct {
	out       io.Writer
	clock     clock.Clock
	lines     *ring.Ring[[]byte]
	dropped   atomic.Int64
	done      chan struct{}
	finished  chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// budgetBytes is the number of bytes in the token bucket at refilledAt.
	budgetBytes int
	refilledAt  clock.Millis

	// reported is the number of dropped lines in the last report, and
	// reportedAt the time of that report. Both are used only by the goroutine
	// of run.
	reported   int64
	reportedAt clock.Millis
}

// NewAsyncWriter returns a writer to out and starts its goroutine, which Close
// stops.
func NewAsyncWriter(out io.Writer, c clock.Clock) *AsyncWriter {
	a := newAsyncWriter(out, c)
	go a.run()
	return a
}

// newAsyncWriter returns a writer whose goroutine has not been started.
func newAsyncWriter(out io.Writer, c clock.Clock) *AsyncWriter {
	return &AsyncWriter{
		out: out, clock: c, lines: ring.New[[]byte](ringLines), budgetBytes: infoBurstBytes, refilledAt: c.Now(),
		done: make(chan struct{}), finished: make(chan struct{}),
	}
}

// Write queues one line, or drops it if it is beyond the limits. It never returns
// an error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	if !a.admit(line) || !a.lines.TryPut(bytes.Clone(line)) {
		a.dropped.Add(1)
	}
	return len(line), nil
}

// admit reports whether a line may be queued. A line of level info must fit the
// token bucket, from which its length is subtracted; lines of other levels are
// always admitted, unless they contain the text of infoLevelField elsewhere.
func (a *AsyncWriter) admit(line []byte) bool {
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

// reportIfDue calls report at most once per reportInterval.
func (a *AsyncWriter) reportIfDue() {
	if a.reportedAt == 0 || a.clock.Now()-a.reportedAt >= reportInterval {
		a.report()
	}
}

// report writes a line with the number of dropped lines if that has changed.
func (a *AsyncWriter) report() {
	n := a.dropped.Load()
	if n == a.reported {
		return
	}
	a.reported, a.reportedAt = n, a.clock.Now()
	a.write(fmt.Appendf(nil, "level=warn msg=log-lines-dropped total=%d\n", n))
}

// Dropped returns the number of dropped lines.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close makes the goroutine write the queued lines and return, and waits for that
// for at most one second.
func (a *AsyncWriter) Close() {
	a.closeOnce.Do(func() { close(a.done) })
	select {
	case <-a.finished:
	case <-a.clock.After(clock.Second):
	}
}

func (a *AsyncWriter) run() {
	defer close(a.finished)
	for {
		select {
		case line := <-a.lines.C():
			a.write(line)
			a.reportIfDue()
		case <-a.done:
			for _, line := range a.lines.Drain(nil, ringLines) {
				a.write(line)
			}
			a.report()
			return
		}
	}
}

// write writes a line. On an error it only counts the line as dropped, so that the
// process continues if the reader of the log is gone.
func (a *AsyncWriter) write(line []byte) {
	if _, err := a.out.Write(line); err != nil {
		a.dropped.Add(1)
	}
}
