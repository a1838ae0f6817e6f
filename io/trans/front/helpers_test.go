package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"camphorridge/core/coord/entry"
	"camphorridge/core/state/admit"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/lend"
	"camphorridge/core/state/model"
	"camphorridge/core/state/ring"
	"camphorridge/core/state/route"
	"camphorridge/io/trans/intake"
	"camphorridge/io/trans/uplink"

	"gotest.tools/v3/assert"
)

type dispatcher = entry.Dispatcher[admit.WeightedFair, route.LeastLoaded, lend.Idle]

// memoryClaimer is an in-memory Claimer.
type memoryClaimer struct {
	mu       sync.Mutex
	outcomes map[model.ClaimKey]model.ClaimOutcome
	err      error
}

func (c *memoryClaimer) Claim(_ context.Context, k model.ClaimKey, token string) (model.ClaimAnswer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return model.ClaimAnswer{}, c.err
	}
	if o, ok := c.outcomes[k]; ok {
		return model.ClaimAnswer{FirstState: o.State, Status: o.Status}, nil
	}
	c.outcomes[k] = model.ClaimOutcome{Key: k, Token: token}
	return model.ClaimAnswer{Granted: true}, nil
}

func (c *memoryClaimer) Finish(o model.ClaimOutcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.NotRun {
		delete(c.outcomes, o.Key)
		return
	}
	c.outcomes[o.Key] = o
}

// testEntry is an entry process without peers and without a control process.
type testEntry struct {
	dispatcher *dispatcher
	upstreams  *uplink.Client
	claims     *memoryClaimer
	handler    *Handler[*dispatcher, *memoryClaimer]
	url        string
	client     *http.Client
}

func contract(name model.Customer, concurrency, queue, retryPercent int) model.Contract {
	return model.Contract{
		Customer: name, Concurrency: concurrency, Queue: queue, RetryPercent: retryPercent,
		Pools: []model.PoolShare{{Pool: "svc", Instances: 1}},
	}
}

// newTestEntry starts a front end whose pool svc has one upstream at each of the
// given addresses, each with the given number of slots.
func newTestEntry(t testing.TB, slots int, contracts []model.Contract, addresses ...string) *testEntry {
	t.Helper()
	return newLendingTestEntry(t, 0, slots, contracts, addresses...)
}

// newLendingTestEntry is like newTestEntry, with the given lease duration of
// loans; 0 disables lending.
func newLendingTestEntry(t testing.TB, lease clock.Millis, slots int, contracts []model.Contract, addresses ...string) *testEntry {
	t.Helper()
	clk := clock.Real()
	self := model.Member{Name: "e1", Zone: "z1"}
	te := &testEntry{claims: &memoryClaimer{outcomes: map[model.ClaimKey]model.ClaimOutcome{}}}
	te.dispatcher = entry.New(entry.Settings{
		Self: self.Name, Zone: self.Zone, Entries: []model.Member{self},
		Lending:      lend.Settings{Self: self.Name, Zone: self.Zone, Lease: lease, MaxRequestTime: clock.Minute, ReservePercent: 25},
		LoanMessages: ring.New[lend.Message](16),
	}, clk, admit.WeightedFair{}, route.LeastLoaded{}, lend.Idle{})
	te.upstreams = uplink.New(uplink.Defaults(), clk)
	te.handler = New(Defaults(self.Name), clk, te.dispatcher, te.claims, te.upstreams)
	ended := make(chan struct{}, 2)
	go func() { _ = te.dispatcher.Run(); ended <- struct{}{} }()
	go func() { _ = te.upstreams.Run(); ended <- struct{}{} }()
	d := model.Delta{To: 1, Full: true, Contracts: contracts}
	for i := range addresses {
		d.Instances = append(d.Instances, model.Instance{ID: instanceID(i), Zone: self.Zone, Pool: "svc", Slots: slots, Connections: 64, Version: 1})
	}
	assert.NilError(t, te.dispatcher.ApplyDelta(d))
	for i, a := range addresses {
		te.announce(t, i, a, slots)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	gate := intake.New(intake.Defaults(0, 0), clock.Real(), nil)
	srv := NewServer(gate, te.handler, te.handler.cfg.MaxHeaderBytes, BodyLimits(te.handler.cfg))
	go func() { _ = srv.Serve(gate.Listener(l, intake.Clients)) }()
	// Announcements expire unless they are repeated.
	renew := time.NewTicker(time.Second)
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-renew.C:
				for i, a := range addresses {
					_ = te.dispatcher.Announce(announcement(i, a, slots))
				}
			case <-stop:
				return
			}
		}
	}()
	te.url = "http://" + l.Addr().String()
	te.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}
	t.Cleanup(func() {
		renew.Stop()
		close(stop)
		te.client.CloseIdleConnections()
		_ = srv.Shutdown(5 * clock.Second)
		te.upstreams.Stop()
		te.dispatcher.Stop()
		<-ended
		<-ended
	})
	return te
}

func instanceID(i int) model.InstanceID { return model.InstanceID("i" + string(rune('a'+i))) }

func announcement(i int, address string, slots int) model.Announcement {
	return model.Announcement{
		Instance: instanceID(i), Zone: "z1", Pool: "svc", Address: address,
		Slots: slots, Connections: 64, Incarnation: 1, HealthPath: "/health",
	}
}

func (te *testEntry) announce(t testing.TB, i int, address string, slots int) {
	t.Helper()
	assert.NilError(t, te.dispatcher.Announce(announcement(i, address, slots)))
}

// request builds a request of a customer. header holds names and values in turn.
func (te *testEntry) request(t testing.TB, method, customer string, body string, header ...string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, te.url+"/svc/x", reader(body))
	assert.NilError(t, err)
	r.Header.Set(HeaderCustomer, customer)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}
