package peers

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"camphorridge/core/coord/follow"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/lend"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
	"camphorridge/io/proto/codec"
	"camphorridge/io/proto/wirepb"
)

// The limits for connections between processes. If a call other than Join fails
// with KindUnavailable or KindOutcomeUnknown, the idle connections are closed, and
// later calls open new ones.
const (
	dialTimeout         = 500 * time.Millisecond
	idleTimeout         = 30 * time.Second
	maxIdleConnsPerHost = 8
)

// Stamps is the hybrid logical clock of this process. Most messages carry one
// of its stamps.
type Stamps interface {
	// Next returns a stamp for a message to send.
	Next() model.Stamp
	// Observe advances the clock past the stamp of a received message.
	Observe(s model.Stamp)
}

// Client calls other processes.
type Client struct {
	Self model.Process
	// Traffic counts the bytes of all calls.
	Traffic *Traffic
	http    *http.Client
	stamps  Stamps
	mu      sync.Mutex
	// remotes holds the Twirp clients by address; they are created at first
	// use.
	remotes map[string]remote
}

// remote holds the Twirp clients for one address. events is the client of the
// Timeline service, which serves the event log of one process.
type remote struct {
	control   wirepb.Control
	neighbour wirepb.Neighbour
	consensus wirepb.Consensus
	events    wirepb.Timeline
	work      wirepb.Work
}

// NewClient returns a client for the process self.
func NewClient(self model.Process, s Stamps) *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	t := &Traffic{}
	return &Client{
		Self:    self,
		Traffic: t,
		stamps:  s,
		remotes: map[string]remote{},
		http: &http.Client{Transport: &http.Transport{
			DialContext:         t.dial(d),
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
		}},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) remote(address string) remote {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.remotes[address]
	if !ok {
		base := "http://" + address
		r = remote{
			control:   wirepb.NewControlProtobufClient(base, c.http),
			neighbour: wirepb.NewNeighbourProtobufClient(base, c.http),
			consensus: wirepb.NewConsensusProtobufClient(base, c.http),
			events:    wirepb.NewTimelineProtobufClient(base, c.http),
			work:      wirepb.NewWorkProtobufClient(base, c.http),
		}
		c.remotes[address] = r
	}
	return r
}

func (c *Client) stamp() *wirepb.Stamp { return codec.StampToWire(c.stamps.Next()) }

func (c *Client) observe(s *wirepb.Stamp) { c.stamps.Observe(codec.StampFromWire(s)) }

// callError maps the error of a call. After an error of KindUnavailable or
// KindOutcomeUnknown it also closes the idle connections: some may have stopped
// working at the same time and would make the next calls fail too.
func (c *Client) callError(op string, err error) *Error {
	mapped, _ := fromTwirp(op, err)
	if mapped.Kind == KindUnavailable || mapped.Kind == KindOutcomeUnknown {
		c.http.CloseIdleConnections()
	}
	return mapped
}

// Watch requests the delta after version from. If there is none yet, the control
// process m waits up to the given time for one.
func (c *Client) Watch(ctx context.Context, m model.Member, from model.Version, wait clock.Millis) (model.Delta, error) {
	resp, err := c.remote(m.Address).control.Watch(ctx, &wirepb.WatchRequest{
		Process: string(c.Self), Version: uint64(from), WaitMs: int64(wait), Stamp: c.stamp(),
	})
	if err != nil {
		return model.Delta{}, c.callError("watch "+string(m.Name), err)
	}
	c.observe(resp.GetStamp())
	return codec.DeltaFromWire(resp.GetDelta())
}

// Table requests from an entry process the delta of its table after version from.
// The second result is false while that process has no confirmed table.
func (c *Client) Table(ctx context.Context, m model.Member, from model.Version) (model.Delta, bool, error) {
	resp, err := c.remote(m.Address).neighbour.Table(ctx, &wirepb.TableRequest{Version: uint64(from), Stamp: c.stamp()})
	if err != nil {
		return model.Delta{}, false, c.callError("table of "+string(m.Name), err)
	}
	c.observe(resp.GetStamp())
	d, err := codec.DeltaFromWire(resp.GetDelta())
	return d, resp.GetReady(), err
}

// Announce forwards announcements to another entry process of the availability
// zone.
func (c *Client) Announce(ctx context.Context, m model.Member, all []model.Announcement) error {
	req := &wirepb.AnnounceRequest{Stamp: c.stamp()}
	for _, a := range all {
		req.Announcements = append(req.Announcements, codec.AnnouncementToWire(a))
	}
	resp, err := c.remote(m.Address).neighbour.Announce(ctx, req)
	if err != nil {
		return c.callError("announce to "+string(m.Name), err)
	}
	c.observe(resp.GetStamp())
	return nil
}

// Lend requests loans of slots from an entry process.
func (c *Client) Lend(ctx context.Context, m model.Member, r lend.LoanRequest) (lend.LoanResponse, error) {
	req := codec.LoanRequestToWire(r)
	req.Stamp = c.stamp()
	resp, err := c.remote(m.Address).neighbour.Lend(ctx, req)
	if err != nil {
		return lend.LoanResponse{}, c.callError("ask "+string(m.Name)+" for loans", err)
	}
	c.observe(resp.GetStamp())
	return codec.LoanResponseFromWire(resp)
}

// Return returns loans to the entry process that granted them.
func (c *Client) Return(ctx context.Context, m model.Member, r lend.Return) error {
	req := codec.ReturnToWire(r)
	req.Stamp = c.stamp()
	resp, err := c.remote(m.Address).neighbour.Return(ctx, req)
	if err != nil {
		return c.callError("return loans to "+string(m.Name), err)
	}
	c.observe(resp.GetStamp())
	return nil
}

// Recall makes an entry process end the loans that it borrowed from earlier runs
// of this process. allEnded is true once all of them have ended.
func (c *Client) Recall(ctx context.Context, m model.Member, r lend.Recall) (allEnded bool, err error) {
	req := codec.RecallToWire(r)
	req.Stamp = c.stamp()
	resp, err := c.remote(m.Address).neighbour.Recall(ctx, req)
	if err != nil {
		return false, c.callError("recall loans from "+string(m.Name), err)
	}
	c.observe(resp.GetStamp())
	return resp.GetClear(), nil
}

// step sends Raft messages to a member.
func (c *Client) step(ctx context.Context, address string, all []raft.Message) error {
	req := &wirepb.StepRequest{Stamp: c.stamp()}
	for _, m := range all {
		req.Messages = append(req.Messages, codec.RaftMessageToWire(m))
	}
	resp, err := c.remote(address).consensus.Step(ctx, req)
	if err != nil {
		return c.callError("step", err)
	}
	c.observe(resp.GetStamp())
	return nil
}

func reportToWire(r follow.Report) *wirepb.ReportRequest {
	w := &wirepb.ReportRequest{
		Process: string(r.Process), Zone: string(r.Zone), Incarnation: r.Incarnation,
		Version: uint64(r.Version), Drained: uint64(r.DrainedVersion),
	}
	for _, a := range r.Changed {
		w.Live = append(w.Live, codec.AnnouncementToWire(a))
	}
	for _, id := range r.Gone {
		w.Gone = append(w.Gone, string(id))
	}
	for _, d := range r.Demand {
		w.Demand = append(w.Demand, &wirepb.PoolDemand{
			Pool: string(d.Pool), Running: int64(d.Running), Waiting: int64(d.Waiting),
			Refused: int64(d.Refused), TypicalMs: int64(d.TypicalRunTime),
		})
	}
	for _, c := range r.Load.Customers {
		w.Customers = append(w.Customers, &wirepb.CustomerFelt{Customer: string(c.Customer), Asks: c.Requests, Suffered: c.Unserved})
	}
	for _, i := range r.Load.Instances {
		w.Tallies = append(w.Tallies, &wirepb.InstanceTally{Instance: string(i.Instance), Calls: i.Calls, Failures: i.Failures})
	}
	return w
}

func reportFromWire(w *wirepb.ReportRequest) (follow.Report, error) {
	r := follow.Report{
		Process: model.Process(w.GetProcess()), Zone: model.Zone(w.GetZone()),
		Incarnation: w.GetIncarnation(),
		Version:     model.Version(w.GetVersion()), DrainedVersion: model.Version(w.GetDrained()),
	}
	for _, wa := range w.GetLive() {
		a, err := codec.AnnouncementFromWire(wa)
		if err != nil {
			return r, err
		}
		r.Changed = append(r.Changed, a)
	}
	for _, id := range w.GetGone() {
		r.Gone = append(r.Gone, model.InstanceID(id))
	}
	for _, d := range w.GetDemand() {
		r.Demand = append(r.Demand, model.PoolDemand{
			Pool: model.Pool(d.GetPool()), Running: int(d.GetRunning()), Waiting: int(d.GetWaiting()),
			Refused: int(d.GetRefused()), TypicalRunTime: clock.Millis(d.GetTypicalMs()),
		})
	}
	for _, c := range w.GetCustomers() {
		r.Load.Customers = append(r.Load.Customers, model.CustomerLoad{
			Customer: model.Customer(c.GetCustomer()), Requests: c.GetAsks(), Unserved: c.GetSuffered(),
		})
	}
	for _, i := range w.GetTallies() {
		r.Load.Instances = append(r.Load.Instances, model.InstanceTally{
			Instance: model.InstanceID(i.GetInstance()), Calls: i.GetCalls(), Failures: i.GetFailures(),
		})
	}
	return r, nil
}
