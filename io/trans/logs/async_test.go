package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
)

// blockedWriter is a writer that blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

// TestBlockedReader guards against requests that block because the reader of the
// log has stopped reading. Lines must be dropped and counted instead.
func TestBlockedReader(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	a := NewAsyncWriter(out, clock.Real())
	const lines = 2 * ringLines
	for range lines {
		_, err := a.Write([]byte("level=warn msg=x\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, a.Dropped() >= lines-ringLines-2)
	close(out.unblock)
	a.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	assert.Assert(t, strings.Contains(out.written.String(), "msg=log-lines-dropped"))
}

// TestDropsAreReportedAtClose guards against a log that does not say that lines are
// missing, because the writer is closed before its goroutine has written a line.
func TestDropsAreReportedAtClose(t *testing.T) {
	// The goroutine chooses at random between a queued line and the close.
	for range 20 {
		var out bytes.Buffer
		a := newAsyncWriter(&out, clock.Real())
		for range ringLines + 1 {
			_, _ = a.Write([]byte("level=warn msg=x\n"))
		}
		close(a.done)
		a.run()
		assert.Assert(t, strings.Contains(out.String(), "msg=log-lines-dropped total=1"))
	}
}

// TestInfoBudget guards against an unlimited volume of info lines under load, and
// against warnings that are dropped because of them.
func TestInfoBudget(t *testing.T) {
	var out bytes.Buffer
	fake := clock.NewFake(0)
	a := NewAsyncWriter(&out, fake.Clock())
	line := []byte("level=info " + strings.Repeat("x", 1000) + "\n")
	for range 2 * infoBurstBytes / len(line) {
		_, _ = a.Write(line)
	}
	dropped := a.Dropped()
	assert.Assert(t, dropped > 0)
	_, _ = a.Write([]byte("level=warn msg=kept\n"))
	assert.Equal(t, a.Dropped(), dropped)
	fake.Advance(clock.Second)
	_, _ = a.Write(line)
	assert.Equal(t, a.Dropped(), dropped, "the budget was not refilled after one second")
	a.closeOnce.Do(func() { close(a.done) })
	<-a.finished
	assert.Assert(t, strings.Contains(out.String(), "msg=kept"))
}
