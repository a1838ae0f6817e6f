package codec

import (
	"fmt"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/lend"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/wirepb"
)

// Limits on the values of messages about loans.
const (
	// maxSlotsOrConnections is the largest number of slots in a request, and of slots
	// and of connections in a loan.
	maxSlotsOrConnections = 1 << 16
	// maxLeaseOrRequestTime bounds two times: the lease in a response, and the
	// maximum request time of the borrower in a request.
	maxLeaseOrRequestTime = clock.Hour
)

// LoanRequestToWire converts a request to borrow or renew upstream slots to its
// message.
func LoanRequestToWire(r lend.LoanRequest) *wirepb.LendRequest {
	return &wirepb.LendRequest{
		Borrower: validUTF8(r.Borrower), Incarnation: r.Incarnation, Number: r.Number, Pool: validUTF8(r.Pool),
		Slots: int64(r.Slots), Renew: mapAll(r.Renew, loanIDToWire), HoldMs: int64(r.MaxRequestTime),
	}
}

// LoanRequestFromWire converts a message to a request to borrow or renew slots. It
// returns an error if the borrower or the pool is empty, or if the number of slots
// or the maximum request time is out of range.
func LoanRequestFromWire(w *wirepb.LendRequest) (lend.LoanRequest, error) {
	const op = "loan request"
	err := firstError(
		required(op, "borrower", w.GetBorrower(), "pool", w.GetPool()),
		checkRange(op, "slots", w.GetSlots(), 0, maxSlotsOrConnections),
		checkRange(op, "hold", w.GetHoldMs(), 0, int64(maxLeaseOrRequestTime)),
	)
	if err != nil {
		return lend.LoanRequest{}, err
	}
	return lend.LoanRequest{
		Borrower: model.Process(w.GetBorrower()), Incarnation: w.GetIncarnation(), Number: w.GetNumber(),
		Pool: model.Pool(w.GetPool()), Slots: int(w.GetSlots()), Renew: mapAll(w.GetRenew(), loanIDFromWire),
		MaxRequestTime: clock.Millis(w.GetHoldMs()),
	}, nil
}

// LoanResponseToWire converts the response to a loan request to its message.
func LoanResponseToWire(r lend.LoanResponse) *wirepb.LendResponse {
	return &wirepb.LendResponse{
		Incarnation: r.Incarnation, LeaseMs: int64(r.Lease),
		Loans: mapAll(r.Loans, loanToWire), Renewed: mapAll(r.Renewed, loanIDToWire),
	}
}

// LoanResponseFromWire converts a message to the response to a loan request. It
// returns an error if the lease is out of range or any of the loans is not
// valid.
func LoanResponseFromWire(w *wirepb.LendResponse) (lend.LoanResponse, error) {
	if err := checkRange("loan response", "lease", w.GetLeaseMs(), 0, int64(maxLeaseOrRequestTime)); err != nil {
		return lend.LoanResponse{}, err
	}
	loans, err := tryMapAll(w.GetLoans(), loanFromWire)
	return lend.LoanResponse{
		Incarnation: w.GetIncarnation(), Lease: clock.Millis(w.GetLeaseMs()),
		Loans: loans, Renewed: mapAll(w.GetRenewed(), loanIDFromWire),
	}, err
}

// ReturnToWire converts the return of loans to its message.
func ReturnToWire(r lend.Return) *wirepb.ReturnRequest {
	return &wirepb.ReturnRequest{
		Borrower: validUTF8(r.Borrower), Incarnation: r.Incarnation, Ids: mapAll(r.IDs, loanIDToWire),
	}
}

// ReturnFromWire converts a message to the return of loans.
func ReturnFromWire(w *wirepb.ReturnRequest) lend.Return {
	return lend.Return{
		Borrower: model.Process(w.GetBorrower()), Incarnation: w.GetIncarnation(),
		IDs: mapAll(w.GetIds(), loanIDFromWire),
	}
}

// RecallToWire converts a lender's recall of its loans to a message.
func RecallToWire(r lend.Recall) *wirepb.RecallRequest {
	return &wirepb.RecallRequest{Lender: validUTF8(r.Lender), Incarnation: r.Incarnation}
}

// RecallFromWire converts a message to a lender's recall of its loans.
func RecallFromWire(w *wirepb.RecallRequest) lend.Recall {
	return lend.Recall{Lender: model.Process(w.GetLender()), Incarnation: w.GetIncarnation()}
}

func loanToWire(l lend.Loan) *wirepb.Loan {
	return &wirepb.Loan{
		Id: uint64(l.ID), Instance: validUTF8(l.Instance), Pool: validUTF8(l.Pool), Address: validUTF8(l.Address),
		Incarnation: l.Incarnation, HealthPath: validUTF8(l.HealthPath),
		Slots: int64(l.Slots), Connections: int64(l.Connections),
	}
}

// loanFromWire converts a message to a loan. It returns an error if the instance,
// the pool or the address is empty, the loan has no slot, or it has fewer
// connections than slots.
func loanFromWire(w *wirepb.Loan) (lend.Loan, error) {
	const op = "loan"
	err := firstError(
		required(op, "instance", w.GetInstance(), "pool", w.GetPool(), "address", w.GetAddress()),
		checkRange(op, "slots", w.GetSlots(), 1, maxSlotsOrConnections),
		checkRange(op, "connections", w.GetConnections(), w.GetSlots(), maxSlotsOrConnections),
	)
	if err != nil {
		return lend.Loan{}, err
	}
	return lend.Loan{
		ID: lend.ID(w.GetId()), Instance: model.InstanceID(w.GetInstance()), Pool: model.Pool(w.GetPool()),
		Address: w.GetAddress(), Incarnation: w.GetIncarnation(), HealthPath: w.GetHealthPath(),
		Slots: int(w.GetSlots()), Connections: int(w.GetConnections()),
	}, nil
}

func loanIDToWire(id lend.ID) uint64   { return uint64(id) }
func loanIDFromWire(id uint64) lend.ID { return lend.ID(id) }

// checkRange returns an error if n is below lo or above hi. Times are in ms, in the
// error too.
func checkRange(op, field string, n, lo, hi int64) error {
	if n < lo || n > hi {
		return &Error{Op: op, Kind: KindRange, Err: fmt.Errorf("%s is %d; allowed: %d to %d", field, n, lo, hi)}
	}
	return nil
}

// firstError returns the first error that is not nil, or nil if there is none.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
