package lender

import (
	"context"
	"sync"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/lend"
	"camphorridge/core/state/model"
	"camphorridge/core/state/ring"
)

// Bounds of the duty.
const (
	// peerRing holds more than the orders that a ledger has under way to one
	// process.
	peerRing = 16
	// callTimeout bounds one message. It is far below the rest of a lease at
	// the time of its renewal.
	callTimeout clock.Millis = 250
	// closeTries and closeWait bound the wait for connections whose last
	// response was just read.
	closeTries              = 5
	closeWait  clock.Millis = 5
)

// Peers carries messages to other entry processes. An error means that there
// was no answer.
type Peers interface {
	Lend(ctx context.Context, to model.Member, a lend.LoanRequest) (lend.LoanResponse, error)
	Return(ctx context.Context, to model.Member, r lend.Return) error
	Recall(ctx context.Context, to model.Member, r lend.Recall) (clear bool, err error)
}

// LoanLedger takes in how the orders ended.
type LoanLedger interface {
	Answered(o lend.Message, asked clock.Millis, a lend.LoanResponse, ok bool)
	Returned(o lend.Message, ok bool)
	Acknowledged(from model.Process)
	// Leave ends the loans held and returns the orders that give them back.
	Leave() []lend.Message
}

// Connections closes the connections of a loan and reports whether none is left.
type Connections interface {
	Close(name string) bool
}

// Sender is the duty. Its ring is filled by the owner of the ledger.
type Sender[P Peers, B LoanLedger, L Connections] struct {
	in    *ring.Ring[lend.Message]
	peers P
	book  B
	links L
	clock clock.Clock
	to    map[model.Process]peer
	done  chan struct{}
	ended chan struct{}
}

type peer struct {
	member model.Member
	in     *ring.Ring[lend.Message]
}

// New returns a duty that reads orders from in.
func New[P Peers, B LoanLedger, L Connections](in *ring.Ring[lend.Message], entries []model.Member, p P, b B, l L, c clock.Clock) *Sender[P, B, L] {
	d := &Sender[P, B, L]{
		in: in, peers: p, book: b, links: l, clock: c,
		to: map[model.Process]peer{}, done: make(chan struct{}), ended: make(chan struct{}),
	}
	for _, m := range entries {
		d.to[m.Name] = peer{member: m, in: ring.New[lend.Message](peerRing)}
	}
	return d
}

// Run hands the orders out until Stop, and then gives back what is held: a
// lender would else keep the slots idle for longer than a request may last.
func (d *Sender[P, B, L]) Run() error {
	defer close(d.ended)
	var wg sync.WaitGroup
	for _, p := range d.to {
		wg.Go(func() { d.runPeer(p) })
	}
	d.handOut()
	wg.Wait()
	for _, o := range d.book.Leave() {
		wg.Go(func() { d.carry(context.Background(), d.to[o.To].member, o) })
	}
	wg.Wait()
	return nil
}

func (d *Sender[P, B, L]) handOut() {
	for {
		select {
		case o := <-d.in.C():
			if p, ok := d.to[o.To]; !ok || !p.in.TryPut(o) {
				d.fail(o)
			}
		case <-d.done:
			return
		}
	}
}

// Stop ends Run and waits for its end, so that the book outlives it.
func (d *Sender[P, B, L]) Stop() {
	close(d.done)
	<-d.ended
}

// Refused is the number of orders that found a full ring.
func (d *Sender[P, B, L]) Refused() int64 {
	n := d.in.Refused()
	for _, p := range d.to {
		n += p.in.Refused()
	}
	return n
}

func (d *Sender[P, B, L]) runPeer(p peer) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		select {
		case o := <-p.in.C():
			d.carry(ctx, p.member, o)
		case <-d.done:
			return
		}
	}
}

// carry sends one order and tells the book how it ended.
func (d *Sender[P, B, L]) carry(ctx context.Context, to model.Member, o lend.Message) {
	if !d.closed(o.CloseConnections) {
		d.fail(o)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	// A lease counts from before its ask was sent, so that it ends here before
	// it ends at the lender, whatever the message took.
	asked := d.clock.Now()
	switch o.Kind {
	case lend.MessageRequest:
		a, err := d.peers.Lend(ctx, to, o.Request)
		d.book.Answered(o, asked, a, err == nil)
	case lend.MessageReturn:
		d.book.Returned(o, d.peers.Return(ctx, to, o.Return) == nil)
	case lend.MessageRecall:
		if clear, err := d.peers.Recall(ctx, to, o.Recall); err == nil && clear {
			d.book.Acknowledged(o.To)
		}
	}
}

func (d *Sender[P, B, L]) closed(names []string) bool {
	for try := 1; ; try++ {
		left := false
		for _, name := range names {
			left = !d.links.Close(name) || left
		}
		if !left || try == closeTries {
			return !left
		}
		<-d.clock.After(closeWait)
	}
}

// fail ends an order that was not sent as one without an answer.
func (d *Sender[P, B, L]) fail(o lend.Message) {
	switch o.Kind {
	case lend.MessageRequest:
		d.book.Answered(o, d.clock.Now(), lend.LoanResponse{}, false)
	case lend.MessageReturn:
		d.book.Returned(o, false)
	case lend.MessageRecall:
	}
}
