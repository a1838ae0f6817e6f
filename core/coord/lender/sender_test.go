package lender

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/lend"
	"camphorridge/core/state/model"
	"camphorridge/core/state/ring"
)

// fake implements Peers, LoanLedger and Connections.
type fake struct {
	// results receives a line for each result that is passed to the ledger.
	results chan string
	// silentCalled is closed by the request to the process named silent, which gets
	// no answer.
	silentCalled chan struct{}
	// open is the number of connections that are open; each Close closes one.
	open int
}

func (f *fake) Lend(ctx context.Context, to model.Member, r lend.LoanRequest) (lend.LoanResponse, error) {
	if to.Name == "silent" {
		close(f.silentCalled)
		<-ctx.Done()
		return lend.LoanResponse{}, ctx.Err()
	}
	return lend.LoanResponse{Incarnation: r.Number}, nil
}

func (f *fake) Return(context.Context, model.Member, lend.Return) error { return nil }

func (f *fake) Recall(_ context.Context, to model.Member, _ lend.Recall) (bool, error) {
	if to.Name == "gone" {
		return false, errors.New("gone")
	}
	return true, nil
}

func (f *fake) Close(string) bool {
	f.open--
	return f.open <= 0
}

func (f *fake) HandleResponse(m lend.Message, requestedAt clock.Millis, response lend.LoanResponse, ok bool) {
	switch {
	case !ok:
		f.results <- string(m.To) + " unanswered"
	case requestedAt > 0 && response.Incarnation == m.Request.Number:
		f.results <- string(m.To) + " answered"
	}
}

func (f *fake) HandleReturnResult(m lend.Message, ok bool) {
	if ok && f.open <= 0 {
		f.results <- string(m.To) + " returned"
	} else if !ok {
		f.results <- string(m.To) + " not returned"
	}
}

func (f *fake) ReturnAllLoans() []lend.Message {
	return []lend.Message{{Kind: lend.MessageReturn, To: "a"}}
}

func (f *fake) HandleRecallAck(from model.Process) { f.results <- string(from) + " acknowledged" }

// TestMessages guards against an unresponsive process that delays messages to the
// others, against returning a loan before its connections are closed, against
// messages whose result is not passed to the ledger, and against a process that
// stops without returning the loans that it holds.
func TestMessages(t *testing.T) {
	in := ring.New[lend.Message](8)
	f := &fake{results: make(chan string, 8), silentCalled: make(chan struct{}), open: 3}
	s := New(in, []model.Member{{Name: "silent"}, {Name: "a"}, {Name: "gone"}}, f, f, f, clock.Real())
	ended := make(chan struct{})
	go func() { _ = s.Run(); close(ended) }()
	in.TryPut(lend.Message{Kind: lend.MessageRequest, To: "silent"})
	<-f.silentCalled
	expect := func(want string) {
		t.Helper()
		for got := ""; got != want; {
			got = <-f.results
			assert.Assert(t, got == want || got == "silent unanswered", "%s", got)
		}
	}
	send := func(m lend.Message, want string) {
		t.Helper()
		in.TryPut(m)
		expect(want)
	}
	send(lend.Message{Kind: lend.MessageRequest, To: "a", Request: lend.LoanRequest{Number: 4}}, "a answered")
	send(lend.Message{Kind: lend.MessageReturn, To: "a", CloseConnections: []string{"i#1"}}, "a returned")
	f.open = closeAttempts + 1
	send(lend.Message{Kind: lend.MessageReturn, To: "a", CloseConnections: []string{"i#1"}}, "a not returned")
	send(lend.Message{Kind: lend.MessageRequest, To: "unknown"}, "unknown unanswered")
	in.TryPut(lend.Message{Kind: lend.MessageRecall, To: "gone"})
	send(lend.Message{Kind: lend.MessageRecall, To: "a"}, "a acknowledged")
	f.open = 0
	s.Stop()
	<-ended
	expect("a returned")
}
