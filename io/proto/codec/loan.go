package codec

import (
	"fmt"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/lend"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/wirepb"
)

// Bounds of what is accepted about loans.
const (
	maxLoanSlots = 1 << 16
	maxLoanTime  = clock.Hour
)

// LoanRequestToWire maps an ask for loans.
func LoanRequestToWire(a lend.LoanRequest) *wirepb.LendRequest {
	return &wirepb.LendRequest{
		Borrower: text(a.Borrower), Incarnation: a.Incarnation, Number: a.Number, Pool: text(a.Pool),
		Slots: int64(a.Slots), Renew: list(a.Renew, idToWire), HoldMs: int64(a.MaxRequestTime),
	}
}

// LoanRequestFromWire maps an ask for loans; borrower and pool are required.
func LoanRequestFromWire(w *wirepb.LendRequest) (lend.LoanRequest, error) {
	const op = "ask for loans"
	err := firstOf(
		required(op, "borrower", w.GetBorrower(), "pool", w.GetPool()),
		between(op, "slots", w.GetSlots(), 0, maxLoanSlots),
		between(op, "hold", w.GetHoldMs(), 0, int64(maxLoanTime)),
	)
	if err != nil {
		return lend.LoanRequest{}, err
	}
	return lend.LoanRequest{
		Borrower: model.Process(w.GetBorrower()), Incarnation: w.GetIncarnation(), Number: w.GetNumber(),
		Pool: model.Pool(w.GetPool()), Slots: int(w.GetSlots()), Renew: list(w.GetRenew(), idFromWire),
		MaxRequestTime: clock.Millis(w.GetHoldMs()),
	}, nil
}

// LoanResponseToWire maps the answer to an ask.
func LoanResponseToWire(a lend.LoanResponse) *wirepb.LendResponse {
	return &wirepb.LendResponse{
		Incarnation: a.Incarnation, LeaseMs: int64(a.Lease),
		Loans: list(a.Loans, loanToWire), Renewed: list(a.Renewed, idToWire),
	}
}

// LoanResponseFromWire maps the answer to an ask; it is refused whole when one of its
// loans is malformed.
func LoanResponseFromWire(w *wirepb.LendResponse) (lend.LoanResponse, error) {
	if err := between("answer about loans", "lease", w.GetLeaseMs(), 0, int64(maxLoanTime)); err != nil {
		return lend.LoanResponse{}, err
	}
	loans, err := listFrom(w.GetLoans(), loanFromWire)
	return lend.LoanResponse{
		Incarnation: w.GetIncarnation(), Lease: clock.Millis(w.GetLeaseMs()),
		Loans: loans, Renewed: list(w.GetRenewed(), idFromWire),
	}, err
}

// ReturnToWire maps a return of loans.
func ReturnToWire(r lend.Return) *wirepb.ReturnRequest {
	return &wirepb.ReturnRequest{
		Borrower: text(r.Borrower), Incarnation: r.Incarnation, Ids: list(r.IDs, idToWire),
	}
}

// ReturnFromWire maps a return of loans.
func ReturnFromWire(w *wirepb.ReturnRequest) lend.Return {
	return lend.Return{
		Borrower: model.Process(w.GetBorrower()), Incarnation: w.GetIncarnation(),
		IDs: list(w.GetIds(), idFromWire),
	}
}

// RecallToWire maps a recall.
func RecallToWire(r lend.Recall) *wirepb.RecallRequest {
	return &wirepb.RecallRequest{Lender: text(r.Lender), Incarnation: r.Incarnation}
}

// RecallFromWire maps a recall.
func RecallFromWire(w *wirepb.RecallRequest) lend.Recall {
	return lend.Recall{Lender: model.Process(w.GetLender()), Incarnation: w.GetIncarnation()}
}

func loanToWire(l lend.Loan) *wirepb.Loan {
	return &wirepb.Loan{
		Id: uint64(l.ID), Instance: text(l.Instance), Pool: text(l.Pool), Address: text(l.Address),
		Incarnation: l.Incarnation, HealthPath: text(l.HealthPath),
		Slots: int64(l.Slots), Connections: int64(l.Connections),
	}
}

func loanFromWire(w *wirepb.Loan) (lend.Loan, error) {
	const op = "loan"
	err := firstOf(
		required(op, "instance", w.GetInstance(), "pool", w.GetPool(), "address", w.GetAddress()),
		between(op, "slots", w.GetSlots(), 1, maxLoanSlots),
		between(op, "connections", w.GetConnections(), w.GetSlots(), maxLoanSlots),
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

func idToWire(id lend.ID) uint64   { return uint64(id) }
func idFromWire(id uint64) lend.ID { return lend.ID(id) }

func between(op, field string, n, lo, hi int64) error {
	if n < lo || n > hi {
		return &Error{Op: op, Kind: KindRange, Err: fmt.Errorf("%s is %d, not %d to %d", field, n, lo, hi)}
	}
	return nil
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
