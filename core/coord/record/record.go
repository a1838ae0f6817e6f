package record

import (
	"math"
	"sync"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/ring"
	"camphorridge/core/state/trail"
)

// ringSize holds the events of a burst, such as a wave of refusals, until the
// duty gets to run.
const ringSize = 1024

// Recorder is the duty that owns the event log of a process. Its methods may
// be called from any goroutine.
type Recorder struct {
	process model.Process
	clock   clock.Clock
	in      *ring.Ring[input]
	done    chan struct{}
	ended   chan struct{}
	stop    sync.Once

	// mu guards stamping, so that events enter the ring in the order of their
	// stamps.
	mu     sync.Mutex
	hybrid trail.HybridClock
	seq    uint64
	// closed is set once the duty no longer reads the ring.
	closed bool
	lost   int64

	// log is touched by Run alone until ended is closed, then read only.
	log *trail.Log
}

// input carries an event, or a question when answer is set.
type input struct {
	event  model.Event
	since  uint64
	limit  int
	answer chan<- reply
}

type reply struct {
	events  []model.Event
	dropped int64
}

// New returns a recorder that keeps capacity events.
func New(process model.Process, capacity int, c clock.Clock) *Recorder {
	return &Recorder{
		process: process, clock: c,
		in:   ring.New[input](ringSize),
		done: make(chan struct{}), ended: make(chan struct{}),
		log: trail.NewLog(capacity),
	}
}

// Run keeps the log until Stop. Events recorded before Stop are kept.
func (r *Recorder) Run() error {
	defer close(r.ended)
	for {
		select {
		case m := <-r.in.C():
			r.handle(m)
		case <-r.done:
			r.mu.Lock()
			r.closed = true
			r.mu.Unlock()
			for _, m := range r.in.Drain(nil, ringSize) {
				r.handle(m)
			}
			return nil
		}
	}
}

// Stop ends Run; it may be called more than once.
func (r *Recorder) Stop() { r.stop.Do(func() { close(r.done) }) }

func (r *Recorder) handle(m input) {
	if m.answer == nil {
		r.log.Add(m.event)
		return
	}
	m.answer <- reply{r.log.Since(m.since, m.limit), r.log.Dropped}
}

// Record stamps the event and hands it to the duty. It never waits: an event
// that the full ring turns away is counted and leaves a gap in the sequence
// numbers.
func (r *Recorder) Record(e model.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	e.Seq, e.Process = r.seq, r.process
	e.Stamp = r.hybrid.Next(r.clock.Now())
	if r.closed || !r.in.TryPut(input{event: e}) {
		r.lost++
	}
}

// Next returns the stamp for a message to another process.
func (r *Recorder) Next() model.Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hybrid.Next(r.clock.Now())
}

// Observe takes note of the stamp of a message from another process.
func (r *Recorder) Observe(s model.Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hybrid.Observe(s, r.clock.Now())
}

// Events returns the events kept whose sequence number is above since, oldest
// first. It waits for the events recorded before by the same goroutine.
func (r *Recorder) Events(since uint64) []model.Event { return r.Page(since, math.MaxInt) }

// Page is Events for at most limit events, so that a long log is not copied
// for one response.
func (r *Recorder) Page(since uint64, limit int) []model.Event { return r.ask(since, limit).events }

// Counts are the counters of a recorder; they only grow.
type Counts struct {
	// Recorded counts all events, dropped ones included.
	Recorded int64
	// Lost counts the events that never reached the log.
	Lost int64
	// Dropped counts the oldest events that gave way to newer ones.
	Dropped int64
	// Rejected counts the stamps of other processes that were too far ahead.
	Rejected int64
}

// Counts returns the counters.
func (r *Recorder) Counts() Counts {
	dropped := r.ask(0, 0).dropped
	r.mu.Lock()
	defer r.mu.Unlock()
	return Counts{Recorded: int64(r.seq), Lost: r.lost, Dropped: dropped, Rejected: r.hybrid.Rejected}
}

func (r *Recorder) ask(since uint64, limit int) reply {
	answer := make(chan reply, 1)
	if r.in.PutWait(input{since: since, limit: limit, answer: answer}, r.ended) {
		select {
		case a := <-answer:
			return a
		case <-r.ended:
		}
	}
	return reply{r.log.Since(since, limit), r.log.Dropped}
}
