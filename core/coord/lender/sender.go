package lender

import (
	"context"
	"sync"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/lend"
	"camphorridge/core/state/model"
	"camphorridge/core/state/ring"
)

// Limits and timeouts of the sender.
const (
	// peerRingSize is the number of messages to one process that can wait. It is
	// larger than the number of messages to one process that a ledger can have in
	// flight.
	peerRingSize = 16
	// callTimeout is the limit for one message. It is far below the time that is
	// left of a loan's lease when the loan is renewed.
	callTimeout clock.Millis = 250
	// closeAttempts and closeRetryDelay limit the wait for connections that are not
	// idle yet although their last response was just read.
	closeAttempts                = 5
	closeRetryDelay clock.Millis = 5
)

// Peers sends messages to other entry processes. An error means that no response
// was received.
type Peers interface {
	// Lend asks for new loans or for the renewal of loans.
	Lend(ctx context.Context, to model.Member, r lend.LoanRequest) (lend.LoanResponse, error)
	// Return gives loans back to their lender.
	Return(ctx context.Context, to model.Member, r lend.Return) error
	// Recall asks a borrower to end the loans from this process's earlier runs. clear
	// is true when the borrower holds none of them any more.
	Recall(ctx context.Context, to model.Member, r lend.Recall) (clear bool, err error)
}

// LoanLedger receives the results of the messages.
type LoanLedger interface {
	// HandleResponse handles the response to the loan request m that was sent at
	// requestedAt; ok is false when there was no response.
	HandleResponse(m lend.Message, requestedAt clock.Millis, response lend.LoanResponse, ok bool)
	// HandleReturnResult records whether the return of loans in m was received.
	HandleReturnResult(m lend.Message, ok bool)
	// HandleRecallAck records that the borrower holds no loans from this process's
	// earlier runs.
	HandleRecallAck(borrower model.Process)
	// ReturnAllLoans ends all held loans and returns the messages that return them
	// to their lenders.
	ReturnAllLoans() []lend.Message
}

// Connections closes the connections of loans.
type Connections interface {
	// Close closes the idle connections of the loan with the given name. It reports
	// whether none is left.
	Close(name string) bool
}

// Sender sends the loan messages that the owner of the ledger puts into its ring.
type Sender[P Peers, L LoanLedger, C Connections] struct {
	in          *ring.Ring[lend.Message]
	peers       P
	ledger      L
	connections C
	clock       clock.Clock
	peerByName  map[model.Process]peer
	done        chan struct{}
	ended       chan struct{}
}

// peer is an entry process and the ring of the messages that wait to be sent to it.
type peer struct {
	member   model.Member
	outgoing *ring.Ring[lend.Message]
}

// New returns a sender that reads messages from in.
func New[P Peers, L LoanLedger, C Connections](in *ring.Ring[lend.Message], entries []model.Member, p P, ledger L, connections C, c clock.Clock) *Sender[P, L, C] {
	s := &Sender[P, L, C]{
		in: in, peers: p, ledger: ledger, connections: connections, clock: c,
		peerByName: map[model.Process]peer{}, done: make(chan struct{}), ended: make(chan struct{}),
	}
	for _, e := range entries {
		s.peerByName[e.Name] = peer{member: e, outgoing: ring.New[lend.Message](peerRingSize)}
	}
	return s
}

// Run sends messages until Stop, and then returns all held loans. Otherwise their
// lenders would keep the slots idle until the loans expire, which takes longer than
// the longest request.
func (s *Sender[P, L, C]) Run() error {
	defer close(s.ended)
	var wg sync.WaitGroup
	for _, p := range s.peerByName {
		wg.Go(func() { s.runPeer(p) })
	}
	s.dispatch()
	wg.Wait()
	for _, m := range s.ledger.ReturnAllLoans() {
		wg.Go(func() { s.deliver(context.Background(), s.peerByName[m.To].member, m) })
	}
	wg.Wait()
	return nil
}

// dispatch moves the messages from the sender's ring to the rings of their
// receivers.
func (s *Sender[P, L, C]) dispatch() {
	for {
		select {
		case m := <-s.in.C():
			if p, ok := s.peerByName[m.To]; !ok || !p.outgoing.TryPut(m) {
				s.failMessage(m)
			}
		case <-s.done:
			return
		}
	}
}

// Stop ends Run and waits until it has returned. It must be called at most once, and
// only if Run was called. The ledger must be stopped after
// that, because Run returns the held loans with it.
func (s *Sender[P, L, C]) Stop() {
	close(s.done)
	<-s.ended
}

// Refused returns the number of messages that were not sent because a ring was full.
func (s *Sender[P, L, C]) Refused() int64 {
	n := s.in.Refused()
	for _, p := range s.peerByName {
		n += p.outgoing.Refused()
	}
	return n
}

func (s *Sender[P, L, C]) runPeer(p peer) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		select {
		case m := <-p.outgoing.C():
			s.deliver(ctx, p.member, m)
		case <-s.done:
			return
		}
	}
}

// deliver sends one message and passes the result to the ledger. It first closes the
// connections of loans that the message returns.
func (s *Sender[P, L, C]) deliver(ctx context.Context, to model.Member, m lend.Message) {
	if !s.closeConnections(m.CloseConnections) {
		s.failMessage(m)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	// The lease is counted from before the request is sent, so that it ends here
	// before it ends at the lender, however long the message takes.
	requestedAt := s.clock.Now()
	switch m.Kind {
	case lend.MessageRequest:
		response, err := s.peers.Lend(ctx, to, m.Request)
		s.ledger.HandleResponse(m, requestedAt, response, err == nil)
	case lend.MessageReturn:
		s.ledger.HandleReturnResult(m, s.peers.Return(ctx, to, m.Return) == nil)
	case lend.MessageRecall:
		if clear, err := s.peers.Recall(ctx, to, m.Recall); err == nil && clear {
			s.ledger.HandleRecallAck(m.To)
		}
	}
}

// closeConnections closes the connections of the named loans and reports whether
// none is left. It tries at most closeAttempts times.
func (s *Sender[P, L, C]) closeConnections(names []string) bool {
	for attempt := 1; ; attempt++ {
		open := false
		for _, name := range names {
			open = !s.connections.Close(name) || open
		}
		if !open || attempt == closeAttempts {
			return !open
		}
		<-s.clock.After(closeRetryDelay)
	}
}

// failMessage handles a message that was not sent as if it had not been answered.
func (s *Sender[P, L, C]) failMessage(m lend.Message) {
	switch m.Kind {
	case lend.MessageRequest:
		s.ledger.HandleResponse(m, s.clock.Now(), lend.LoanResponse{}, false)
	case lend.MessageReturn:
		s.ledger.HandleReturnResult(m, false)
	case lend.MessageRecall:
	}
}
