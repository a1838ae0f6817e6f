package runner

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/jobs"
)

// customer returns a customer with the given keys.
func customer(name jobs.CustomerName, keys ...string) jobs.Customer {
	c := jobs.Customer{Name: name}
	for _, key := range keys {
		c.KeyDigests = append(c.KeyDigests, jobs.DigestKey(key))
	}
	return c
}

// configureCustomers puts a configuration with the given version and customers in force. Its
// queue "public" needs no key.
func configureCustomers(t *testing.T, r *testRunner, version uint64, customers ...jobs.Customer) {
	t.Helper()
	ask(t, r, AnswerDone, Call{Kind: CallConfigure, Config: jobs.Config{
		Version: version, Document: []byte("{}"), Pools: []jobs.Pool{{Name: "p"}}, RequiresKeys: true, Customers: customers,
		Queues: []jobs.Queue{
			{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 2},
			{Name: "public", Host: "h", Prefix: "/public/", Pool: "p", MaxAttempts: 2, Public: true},
		},
	}})
}

// withKey returns the call with a caller's key.
func withKey(key string, c Call) Call {
	c.Key = jobs.DigestKey(key)
	return c
}

// TestCallsNeedKey guards against calls that are carried out without a key of a customer,
// and against public queues that need one.
func TestCallsNeedKey(t *testing.T) {
	r := start(t, newFakeGroup())
	configureCustomers(t, r, 4, customer("c1", "k1"), customer("c2", "k2"), customer("c3"))
	for _, kind := range []CallKind{CallSubmit, CallStatus, CallPending, CallCancel} {
		path := "/q/a"
		if kind == CallPending {
			path = "/q/"
		}
		c := submit(path)
		c.Kind = kind
		ask(t, r, AnswerUnauthorized, c)
		ask(t, r, AnswerUnauthorized, withKey("unknown", c))
	}
	ask(t, r, AnswerNoQueue, Call{Kind: CallStatus, Host: "h", Path: "/other/a"})
	ask(t, r, AnswerNoJob, withKey("k1", Call{Kind: CallStatus, Host: "h", Path: "/q/a"}))
	ask(t, r, AnswerDone, withKey("k1", submit("/q/a")))
	ask(t, r, AnswerDone, withKey("k1", Call{Kind: CallPending, Host: "h", Path: "/q/"}))
	ask(t, r, AnswerDone, submit("/public/b"))
	ask(t, r, AnswerDone, withKey("unknown", Call{Kind: CallStatus, Host: "h", Path: "/public/b"}))
}

// TestCustomersActOnTheirOwnJobs guards against a customer that reads, cancels or submits
// the job of another one, also at the path of a public queue, and against one whose cancel
// of an unknown ID keeps another one from submitting a job.
func TestCustomersActOnTheirOwnJobs(t *testing.T) {
	r := start(t, newFakeGroup())
	configureCustomers(t, r, 4, customer("c1", "k1"), customer("c2", "k2"))
	ask(t, r, AnswerDone, withKey("k1", submit("/q/a")))
	for _, c := range []Call{submit("/q/a"), {Kind: CallStatus, Host: "h", Path: "/q/a"}, {Kind: CallCancel, Host: "h", Path: "/q/a"}} {
		ask(t, r, AnswerUnauthorized, withKey("k2", c))
		c.Path = "/public/a"
		ask(t, r, AnswerUnauthorized, c)
	}
	ask(t, r, AnswerNoJob, withKey("k2", Call{Kind: CallCancel, Host: "h", Path: "/q/b"}))
	assert.Equal(t, ask(t, r, AnswerDone, withKey("k1", submit("/q/b"))).Status, jobs.StatusQueued)
	ask(t, r, AnswerNoJob, withKey("k1", Call{Kind: CallCancel, Host: "h", Path: "/q/c"}))
	assert.Equal(t, ask(t, r, AnswerDone, withKey("k1", submit("/q/c"))).Status, jobs.StatusCancelled)
	assert.Equal(t, ask(t, r, AnswerDone, withKey("k1", Call{Kind: CallCancel, Host: "h", Path: "/q/a"})).Status, jobs.StatusCancelled)
}

// TestKeysFollowConfiguration guards against a removed key that is still accepted and a new
// one that is not, at the leader that accepted the change and at the next one, and against
// an older version that brings a removed key back.
func TestKeysFollowConfiguration(t *testing.T) {
	g := newFakeGroup()
	r := start(t, g)
	status := Call{Kind: CallStatus, Host: "h", Path: "/q/a"}
	configureCustomers(t, r, 4, customer("c1", "k1"), customer("c2", "k2"))
	ask(t, r, AnswerDone, withKey("k1", submit("/q/a")))
	configureCustomers(t, r, 5, customer("c1", "k3"), customer("c2", "k2"))
	configureCustomers(t, r, 4, customer("c1", "k1"), customer("c2", "k2"))
	for range 2 {
		ask(t, r, AnswerUnauthorized, withKey("k1", status))
		ask(t, r, AnswerDone, withKey("k3", status))
		g.set(func() { g.term++ })
		r = start(t, g)
	}
	// A key that moves to another customer gives no access to the jobs of the first one.
	configureCustomers(t, r, 6, customer("c1"), customer("c2", "k2", "k3"))
	ask(t, r, AnswerUnauthorized, withKey("k3", status))
	ask(t, r, AnswerDone, withKey("k3", submit("/q/b")))
}

// TestUnauthorizedNeedsConfirmedLeader guards against a former leader that refuses a key
// which a later configuration has added.
func TestUnauthorizedNeedsConfirmedLeader(t *testing.T) {
	g := newFakeGroup()
	r := start(t, g)
	configureCustomers(t, r, 4, customer("c1", "k1"))
	g.set(func() { g.replaced = true })
	ask(t, r, AnswerUnavailable, withKey("k2", Call{Kind: CallStatus, Host: "h", Path: "/q/a"}))
}
