package runner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/sched"
)

// TestCustomersAreListed guards against a list of customers that lacks refused calls, holds
// or waiting tasks, against calls that are counted for the wrong customer, and against the
// counts of removed customers, which would add up without a bound.
func TestCustomersAreListed(t *testing.T) {
	r := start(t, newFakeGroup())
	c2 := customer("c2", "k2")
	c2.WeightPermille, c2.Quota = 2000, jobs.Resources{MilliCores: 8000}
	configureCustomers(t, r, 4, c2, customer("c1", "k1"))
	ask(t, r, AnswerDone, withKey("k1", submit("/q/a")))
	status := Call{Kind: CallStatus, Host: "h", Path: "/q/a"}
	for _, key := range []string{"k2", "k2", "unknown", ""} {
		ask(t, r, AnswerUnauthorized, withKey(key, status))
	}
	ask(t, r, AnswerDone, withKey("k1", status))
	want := []CustomerStatus{
		{CustomerReport: sched.CustomerReport{Name: "c1", Configured: true, WaitingTasks: 2}},
		{CustomerReport: sched.CustomerReport{Name: "c2", Configured: true, WeightPermille: 2000, Quota: c2.Quota}, ForeignJobCalls: 2},
	}
	a := ask(t, r, AnswerDone, Call{Kind: CallCustomers})
	assert.DeepEqual(t, a.Customers, want)
	assert.Equal(t, a.Count, 2)
	assert.Equal(t, a.UnknownKeyCalls, int64(2))
	counts := r.Counts()
	assert.Equal(t, counts.UnauthorizedCalls, counts.UnknownKeyCalls+counts.ForeignJobCalls)
	assert.Equal(t, counts.UnauthorizedCalls, int64(4))

	_, err := sendHeartbeat(r, 1)
	assert.NilError(t, err)
	_, err = sendHeartbeat(r, 2)
	assert.NilError(t, err)
	held := jobs.Resources{MilliCores: 2000, MemoryMiB: 200}
	for deadline := time.Now().Add(testTimeout); ; <-clock.Real().After(5) {
		a = ask(t, r, AnswerDone, Call{Kind: CallCustomers})
		if a.Customers[0].Held == held {
			break
		}
		assert.Assert(t, time.Now().Before(deadline), "%+v", a.Customers)
	}
	assert.Equal(t, a.Customers[0].WaitingTasks, 0)

	configureCustomers(t, r, 5, customer("c1", "k1"))
	configureCustomers(t, r, 6, customer("c1", "k1"), c2)
	a = ask(t, r, AnswerDone, Call{Kind: CallCustomers})
	assert.Equal(t, a.Customers[1].ForeignJobCalls, int64(0))
}

// TestCustomersArePublished guards against metrics by customer that stay empty on the
// leader, and against those of a former leader.
func TestCustomersArePublished(t *testing.T) {
	g := newFakeGroup()
	r := start(t, g)
	configureCustomers(t, r, 4, customer("c1", "k1"))
	waitFor := func(what string, f func() bool) {
		for deadline := time.Now().Add(testTimeout); !f(); <-clock.Real().After(5) {
			assert.Assert(t, time.Now().Before(deadline), what)
		}
	}
	waitFor("the customer is published", func() bool { return len(r.Customers()) == 1 })
	g.set(func() { g.leads = false })
	r.Wake()
	waitFor("no customer is published after the end of the leadership", func() bool { return r.Customers() == nil })
}

// TestListOfCustomersIsBounded guards against an answer that is too large for a request
// between processes.
func TestListOfCustomersIsBounded(t *testing.T) {
	r := start(t, newFakeGroup())
	var many []jobs.Customer
	for n := range maxListedCustomers + 1 {
		many = append(many, customer(jobs.CustomerName(fmt.Sprintf("c%05d", n))))
	}
	configureCustomers(t, r, 4, many...)
	a := ask(t, r, AnswerDone, Call{Kind: CallCustomers})
	assert.Equal(t, len(a.Customers), maxListedCustomers)
	assert.Equal(t, a.Count, maxListedCustomers+1)
	assert.Equal(t, a.Customers[0].Name, jobs.CustomerName("c00000"))
}
