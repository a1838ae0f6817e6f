package codec

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/lend"
	"camphorridge/io/proto/wirepb"
)

// TestLoanRoundTrip checks that no field of the messages about loans is lost. It
// also checks that loans without a name, without a slot or with fewer connections
// than slots are rejected, and requests for a negative number of slots.
func TestLoanRoundTrip(t *testing.T) {
	request := lend.LoanRequest{Borrower: "e1", Incarnation: 2, Number: 3, Pool: "p", Slots: 4, Renew: []lend.ID{5, 6}, MaxRequestTime: 7}
	request2, err := LoanRequestFromWire(LoanRequestToWire(request))
	assert.NilError(t, err)
	assert.DeepEqual(t, request2, request)
	loan := lend.Loan{ID: 1, Instance: "i", Pool: "p", Address: "x", Incarnation: 2, HealthPath: "/h", Slots: 3, Connections: 4}
	response := lend.LoanResponse{Incarnation: 1, Lease: 2, Loans: []lend.Loan{loan}, Renewed: []lend.ID{3}}
	response2, err := LoanResponseFromWire(LoanResponseToWire(response))
	assert.NilError(t, err)
	assert.DeepEqual(t, response2, response)
	r := lend.Return{Borrower: "e1", Incarnation: 2, IDs: []lend.ID{3}}
	assert.DeepEqual(t, ReturnFromWire(ReturnToWire(r)), r)
	c := lend.Recall{Lender: "e1", Incarnation: 2}
	assert.DeepEqual(t, RecallFromWire(RecallToWire(c)), c)

	for _, bad := range []lend.Loan{{}, {Instance: "i", Pool: "p", Address: "x"}, {Instance: "i", Pool: "p", Address: "x", Slots: 2, Connections: 1}} {
		_, err = LoanResponseFromWire(&wirepb.LendResponse{Loans: []*wirepb.Loan{loanToWire(bad)}})
		assert.Assert(t, err != nil, "%+v", bad)
	}
	_, err = LoanRequestFromWire(LoanRequestToWire(lend.LoanRequest{Borrower: "e1", Pool: "p", Slots: -1}))
	assert.Assert(t, err != nil)
}
