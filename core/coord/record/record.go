package record

import (
	"math"
	"sync"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/ring"
	"camphorridge/core/state/trail"
)

// ringSize is the number of events and queries that can wait for the event loop;
// it is large enough for a burst, such as many refusals at once.
const ringSize = 1024

// Recorder owns the event log of a process. Its methods may be called from any
// goroutine.
type Recorder struct {
	process model.Process
	clock   clock.Clock
	in      *ring.Ring[input]
	// done is closed by Stop, and ended when Run returns.
	done  chan struct{}
	ended chan struct{}
	stop  sync.Once

	// mu guards the fields from hybrid to lost. It is held from the stamping of an
	// event until the event is in the ring, so that events enter the ring in the
	// order of their stamps.
	mu     sync.Mutex
	hybrid trail.HybridClock
	seq    uint64
	// closed is set once the event loop no longer reads events from the ring.
	closed bool
	// lost counts the events that never reached the log.
	lost int64

	// log is accessed only by the goroutine of Run until ended is closed, and is
	// only read after that.
	log *trail.Log
}

// input is a value in the ring: an event or, if reply is set, a query for at most
// limit events after the sequence number afterSeq.
type input struct {
	event    model.Event
	afterSeq uint64
	limit    int
	reply    chan<- answer
}

// answer is the answer to a query: the events, and the number of events that the log
// has dropped so far.
type answer struct {
	events  []model.Event
	dropped int64
}

// New returns a Recorder that keeps the newest capacity events.
func New(process model.Process, capacity int, c clock.Clock) *Recorder {
	return &Recorder{
		process: process, clock: c,
		in:   ring.New[input](ringSize),
		done: make(chan struct{}), ended: make(chan struct{}),
		log: trail.NewLog(capacity),
	}
}

// Run adds events to the log and answers queries until Stop is called, and then
// returns nil. Events recorded before Stop still reach the log.
func (r *Recorder) Run() error {
	defer close(r.ended)
	for {
		select {
		case in := <-r.in.C():
			r.handle(in)
		case <-r.done:
			r.mu.Lock()
			r.closed = true
			r.mu.Unlock()
			for _, in := range r.in.Drain(nil, ringSize) {
				r.handle(in)
			}
			return nil
		}
	}
}

// Stop ends Run; it may be called more than once.
func (r *Recorder) Stop() { r.stop.Do(func() { close(r.done) }) }

func (r *Recorder) handle(in input) {
	if in.reply == nil {
		r.log.Add(in.event)
		return
	}
	in.reply <- answer{r.log.Since(in.afterSeq, in.limit), r.log.Dropped}
}

// Record stamps the event and puts it into the ring. It never waits for space:
// if the ring is full or Run has ended, the event is counted as lost, which leaves a
// gap in the sequence numbers.
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

// Next returns a new stamp for a message to another process.
func (r *Recorder) Next() model.Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hybrid.Next(r.clock.Now())
}

// Observe advances the hybrid clock to the stamp of a message from another
// process.
func (r *Recorder) Observe(s model.Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hybrid.Observe(s, r.clock.Now())
}

// Events returns the logged events whose sequence number is greater than afterSeq,
// oldest first. It includes all events that the same goroutine recorded before
// the call, unless they were lost or dropped; see Counts. Before Run is called,
// Events, Page and Counts block.
func (r *Recorder) Events(afterSeq uint64) []model.Event { return r.Page(afterSeq, math.MaxInt) }

// Page is like Events but returns at most limit events, so that a response
// does not contain a copy of a long log.
func (r *Recorder) Page(afterSeq uint64, limit int) []model.Event {
	return r.query(afterSeq, limit).events
}

// Counts holds the counters of a Recorder; they never decrease.
type Counts struct {
	// Recorded counts all events, including lost and dropped ones.
	Recorded int64
	// Lost counts the events that never reached the log, because the ring was
	// full or Run had ended.
	Lost int64
	// Dropped counts the events that were removed from the log to make room for
	// newer ones.
	Dropped int64
	// Rejected counts the stamps from other processes that were rejected because
	// they were too far ahead of the local clock.
	Rejected int64
}

// Counts returns a copy of the counters.
func (r *Recorder) Counts() Counts {
	dropped := r.query(0, 0).dropped
	r.mu.Lock()
	defer r.mu.Unlock()
	return Counts{Recorded: int64(r.seq), Lost: r.lost, Dropped: dropped, Rejected: r.hybrid.Rejected}
}

// query asks the event loop for events or, once Run has returned, reads the log itself.
func (r *Recorder) query(afterSeq uint64, limit int) answer {
	reply := make(chan answer, 1)
	if r.in.PutWait(input{afterSeq: afterSeq, limit: limit, reply: reply}, r.ended) {
		select {
		case a := <-reply:
			return a
		case <-r.ended:
		}
	}
	return answer{r.log.Since(afterSeq, limit), r.log.Dropped}
}
