package roles

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"

	"camphorridge/core/coord/claim"
	"camphorridge/core/coord/entry"
	"camphorridge/core/coord/fanout"
	"camphorridge/core/coord/follow"
	"camphorridge/core/coord/lender"
	"camphorridge/core/coord/record"
	"camphorridge/core/state/admit"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/lend"
	"camphorridge/core/state/member"
	"camphorridge/core/state/model"
	"camphorridge/core/state/ring"
	"camphorridge/core/state/route"
	"camphorridge/io/proto/conf"
	"camphorridge/io/trans/admin"
	"camphorridge/io/trans/front"
	"camphorridge/io/trans/intake"
	"camphorridge/io/trans/logs"
	"camphorridge/io/trans/peers"
	"camphorridge/io/trans/uplink"
)

// eventRingCapacity is the maximum number of events of the dispatcher that wait for
// the recorder.
const eventRingCapacity = 1024

// loanMessageRingCapacity is the maximum number of messages about loans that wait to
// be sent. There are at most two for each entry process.
const loanMessageRingCapacity = 1024

// unreadyTime is how long a stopping process still accepts connections while its
// readiness check fails and its responses have "Connection: close". In this time
// the load balancer and callers with open connections move to other processes.
const unreadyTime = clock.Second

// dispatcher is the dispatcher with the policies that are used in production.
type dispatcher = entry.Dispatcher[admit.WeightedFair, route.LeastLoaded, lend.Idle]

// Entry is a running entry process.
type Entry struct {
	cfg       conf.Entry
	clock     clock.Clock
	log       *log.Logger
	recorder  *record.Recorder
	dispatch  *dispatcher
	client    *peers.Client
	poller    *follow.Poller[*peers.Client]
	reporter  *follow.Reporter[*peers.LeaderClient]
	forwarder *fanout.Forwarder[*peers.Client]
	claimer   *claim.Claimer[*peers.LeaderClient]
	lender    *lender.Sender[*peers.Client, *dispatcher, *uplink.Client]
	link      *uplink.Client
	timed     *timedDispatcher
	front     *front.Handler[*timedDispatcher, *claim.Claimer[*peers.LeaderClient]]
	events    *ring.Ring[model.Event]
	gate      *intake.Gate
	leaving   atomic.Bool
}

// RunEntry runs an entry process until a signal stops it, and writes its log to
// out.
func RunEntry(cfg conf.Entry, out io.Writer) error {
	async := logs.NewAsyncWriter(out, clock.Real())
	defer async.Close()
	lg, err := logs.New(async, logs.Settings{Level: cfg.LogLevel, Process: cfg.Name, Zone: cfg.Zone}, clock.Real())
	if err != nil {
		return err
	}
	e := newEntry(cfg, lg)
	var g run.Group
	addSignals(&g, lg)
	if err := e.serve(&g); err != nil {
		return err
	}
	e.record(model.Event{Kind: model.EventStart, Detail: "entry"})
	lg.Info("started", "callers", cfg.Listen.Callers, "upstreams", cfg.Listen.Upstreams)
	err = g.Run()
	e.client.Close()
	lg.Info("stopped", "err", err)
	return err
}

func newEntry(cfg conf.Entry, lg *log.Logger) *Entry {
	clk := clock.Real()
	e := &Entry{cfg: cfg, clock: clk, log: lg, events: ring.New[model.Event](eventRingCapacity)}
	e.gate = newGate(cfg.Intake, true, clk, lg)
	e.recorder = record.New(cfg.Name, cfg.EventCapacity, clk)
	e.client = peers.NewClient(cfg.Name, e.recorder)
	leader := peers.NewLeaderClient(e.client, cfg.Controls, clk)
	incarnation := uint64(clk.Now())
	loanMessages := ring.New[lend.Message](loanMessageRingCapacity)
	e.dispatch = entry.New(entry.Settings{
		Self: cfg.Name, Zone: cfg.Zone, Entries: cfg.Entries,
		RingSize: cfg.Limits.QueueRingSize, Lease: cfg.Limits.LeaseMillis, Events: e.events, LoanMessages: loanMessages,
		Lending: lend.Settings{
			Self: cfg.Name, Zone: cfg.Zone, Entries: cfg.Entries, Incarnation: incarnation,
			Lease: cfg.Lending.LeaseMillis, MaxRequestTime: cfg.Limits.MaxTimeoutMillis,
			ReservePercent: cfg.Lending.ReservePercent,
		},
	}, clk, admit.WeightedFair{}, route.LeastLoaded{}, lend.Idle{})
	self := memberOf(cfg.Entries, cfg.Name)
	e.poller = follow.NewPoller(self, cfg.Controls, cfg.Entries, e.client, e.applyDelta, clk)
	e.reporter = follow.NewReporter(self, incarnation, leader, e.status, e.dispatch.LoadReport, e.dispatch.Demand, clk)
	e.forwarder = fanout.New(e.client, e.poller.Neighbours, clk)
	e.claimer = claim.New(cfg.Name, incarnation, leader, clk)
	e.link = uplink.New(uplink.Defaults(), clk)
	e.lender = lender.New(loanMessages, cfg.Entries, e.client, e.dispatch, e.link, clk)
	e.timed = newTimedDispatcher(e.dispatch, clk)
	e.front = front.New(frontSettings(cfg), clk, e.timed, e.claimer, e.link)
	return e
}

// memberOf returns the member with the given name. If there is none, it returns a
// member that has only the name.
func memberOf(all []model.Member, name model.Process) model.Member {
	for _, m := range all {
		if m.Name == name {
			return m
		}
	}
	return model.Member{Name: name}
}

// frontSettings returns the settings of the server for callers.
func frontSettings(cfg conf.Entry) front.Settings {
	s := front.Defaults(cfg.Name)
	s.DefaultTimeout = cfg.Limits.DefaultTimeoutMillis
	s.MaxTimeout = cfg.Limits.MaxTimeoutMillis
	s.MaxBodyBytes = cfg.Limits.MaxBodyBytes
	s.MaxHeaderBytes = cfg.Limits.MaxHeaderBytes
	s.BodyReadTimeout = cfg.Limits.BodyReadMillis
	return s
}

// applyDelta applies a delta to the dispatcher's table. If its version is newer
// than the poller's, it is recorded in the event log.
func (e *Entry) applyDelta(d model.Delta) error {
	if err := e.dispatch.ApplyDelta(d); err != nil {
		return err
	}
	if d.To > e.poller.Version() {
		e.record(model.Event{Kind: model.EventTableInForce, Version: d.To})
	}
	return nil
}

func (e *Entry) status() follow.Status {
	return follow.Status{
		Version: e.poller.Version(), DrainedVersion: e.dispatch.DrainedVersion(), LiveAnnouncements: e.dispatch.LiveAnnouncements,
	}
}

// announce handles an announcement that comes directly from an upstream, and
// forwards it to the other entry processes of the zone.
func (e *Entry) announce(a model.Announcement) (peers.AnnounceResult, error) {
	if err := e.dispatch.Announce(a); err != nil {
		return peers.AnnounceResult{}, err
	}
	e.forwarder.Forward(a)
	got := peers.AnnounceResult{Lease: e.cfg.Limits.LeaseMillis}
	if i, ok := e.dispatch.Instance(a.Instance); ok {
		got.Pool = i.Pool
	}
	return got, nil
}

// tableAfter returns the delta that brings another entry process at version from up
// to date: an empty one if it is up to date already, otherwise the whole table. The
// second result is false if this process has no table yet.
func (e *Entry) tableAfter(from model.Version) (model.Delta, bool) {
	v := e.poller.Version()
	if v == 0 || from >= v {
		return model.Delta{From: from, To: from}, v > 0
	}
	return fullDelta(e.dispatch.Table()), true
}

// serve opens the listeners and adds all components in the order in which they
// stop: the server for callers first, then the components that requests in flight
// need.
func (e *Entry) serve(g *run.Group) error {
	callers, err := listen("callers", e.cfg.Listen.Callers)
	if err != nil {
		return err
	}
	upstreams, err := listen("upstreams", e.cfg.Listen.Upstreams)
	if err != nil {
		return err
	}
	peerListener, err := listen("peers", e.cfg.Listen.Peers)
	if err != nil {
		return err
	}
	adm, err := admin.New(e.adminConfig())
	if err != nil {
		return &Error{Op: "listen for admin", Kind: KindListen, Err: err}
	}
	e.addCallers(g, callers)
	addServer(g, e.gate, e.client.Traffic.Listener(upstreams), peers.AnnounceHandler(e.announce),
		intake.Options{Class: intake.Clients, MaxBodyBytes: peers.MaxAnnounceBytes + 1, Copies: 2}, peerStopTimeout)
	addComponent(g, e.poller)
	addComponent(g, e.reporter)
	addComponent(g, e.forwarder)
	addComponent(g, e.claimer)
	addComponent(g, e.lender)
	addComponent(g, e.link)
	addComponent(g, e.dispatch)
	addComponent(g, newEventForwarder(e.events, e.record))
	addServer(g, e.gate, e.client.Traffic.Listener(peerListener), peers.Mux(nil, nil, e.neighbourServer(), nil, e.eventsServer()), memberLimits, peerStopTimeout)
	addComponent(g, adm)
	addComponent(g, e.recorder)
	return nil
}

// peerStopTimeout is the maximum time that a server waits for open requests when it
// stops. The servers for callers, submitters and readiness checks have other timeouts.
const peerStopTimeout = 2 * clock.Second

func (e *Entry) addCallers(g *run.Group, l net.Listener) {
	s := front.NewServer(e.gate, e.closeWhenLeaving(e.front), e.cfg.Limits.MaxHeaderBytes, front.BodyLimits(frontSettings(e.cfg)))
	g.Add(func() error { return s.Serve(e.gate.Listener(l, intake.Clients)) }, func(error) {
		e.record(model.Event{Kind: model.EventStop})
		e.leaving.Store(true)
		<-e.clock.After(unreadyTime)
		if err := s.Shutdown(e.cfg.Limits.DrainMillis); err != nil {
			e.log.Error("open requests were aborted during shutdown", "err", err)
		}
	})
}

// closeWhenLeaving closes each connection of a caller after its next response once
// the process is stopping, so that callers connect to other processes.
func (e *Entry) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Entry) neighbourServer() *peers.NeighbourServer {
	return &peers.NeighbourServer{
		TableAfter: e.tableAfter,
		HandleAnnouncement: func(a model.Announcement) {
			// An error needs no handling: the process that received the announcement
			// from the upstream rejected it as well, or a newer one has arrived.
			_ = e.dispatch.ReceiveAnnouncement(member.ReceivedAnnouncement{Announcement: a})
		},
		LoanKeeper: e.dispatch,
		Stamps:     e.recorder,
	}
}

func (e *Entry) eventsServer() peers.EventsServer {
	return peers.EventsServer{Events: func(since uint64) ([]model.Event, int64) {
		return e.recorder.Events(since), e.recorder.Counts().Dropped
	}}
}

// notReadyReason returns why the load balancer should send no requests to the
// process, or "" if the process is ready.
func (e *Entry) notReadyReason() string {
	switch {
	case e.leaving.Load():
		return "the process is stopping"
	case e.poller.Version() == 0 || !e.dispatch.Ready():
		return "the process has no confirmed table"
	}
	return ""
}

func (e *Entry) adminConfig() admin.Config {
	return admin.Config{
		Address:        e.cfg.Listen.Admin,
		Labels:         []admin.Label{{Name: "process", Value: string(e.cfg.Name)}, {Name: "zone", Value: string(e.cfg.Zone)}},
		NotReadyReason: e.notReadyReason, Events: e.recorder.Page, StopMillis: peerStopTimeout, Registry: e.newMetrics(), Gate: e.gate,
	}
}

// record adds an event to the event log. It also writes state changes to the process
// log.
func (e *Entry) record(ev model.Event) {
	e.recorder.Record(ev)
	logs.Event(e.log, ev)
}

// newMetrics returns a registry with the metrics of all components.
func (e *Entry) newMetrics() metrics.Registry {
	r := metrics.NewRegistry()
	registerCounters(r, []counter{
		{"requests-ran", func() int64 { return e.front.Counts().Ran }},
		{"requests-not-run", func() int64 { return e.front.Counts().NotRun }},
		{"requests-unknown", func() int64 { return e.front.Counts().Unknown }},
		{"requests-duplicate", func() int64 { return e.front.Counts().Duplicate }},
		{"requests-aborted", func() int64 { return e.front.Counts().Aborted }},
		{"requests-retried", func() int64 { return e.front.Counts().Retries }},
		{"dispatcher-ring-refused", func() int64 { return e.dispatch.Status().Counts.RingRefused }},
		{"dispatcher-queued", func() int64 { return e.dispatch.Status().Counts.Queued }},
		{"dispatcher-expired", func() int64 { return e.dispatch.Status().Counts.Expired }},
		{"upstream-ejections", func() int64 { return e.dispatch.Status().Counts.Ejections }},
		{"loans-asked", func() int64 { return e.dispatch.Status().Loans.Requested }},
		{"loans-refused", func() int64 { return e.dispatch.Status().Loans.Refused }},
		{"loans-given", func() int64 { return e.dispatch.Status().Loans.Granted }},
		{"loans-taken", func() int64 { return e.dispatch.Status().Loans.Received }},
		{"loans-expired", func() int64 { return e.dispatch.Status().Loans.Expired }},
		{"loans-requests", func() int64 { return e.dispatch.Status().Loans.Used }},
		{"loans-not-sent", e.lender.Refused},
		{"connections-opened", func() int64 { return e.link.Counts().Opened }},
		{"connections-closed", func() int64 { return e.link.Counts().Closed }},
		{"connections-silent", func() int64 { return e.link.Counts().TimedOut }},
		{"responses-crossed", func() int64 { return e.link.Counts().Mismatched }},
		{"responses-without-end", func() int64 { return e.link.Counts().Framing }},
		{"probes-failed", func() int64 { return e.link.Counts().ProbesFailed }},
		{"claims-refused", e.claimer.Refused},
		{"announcements-not-forwarded", e.forwarder.Refused},
		{"events-dropped", func() int64 { return e.recorder.Counts().Dropped }},
	})
	registerCounters(r, processCounters(e.client.Traffic))
	registerGate(r, e.gate)
	_ = admin.RegisterGauge(r, "slots-lent", func() int64 { return e.dispatch.Status().Loans.LentSlots })
	_ = admin.RegisterGauge(r, "slots-borrowed", func() int64 { return e.dispatch.Status().Loans.HeldSlots })
	_ = r.Register("request-wait-ms", e.timed.waitMillis)
	_ = r.Register("request-elapsed-ms", e.timed.elapsedMillis)
	_ = admin.RegisterGauge(r, "table-version", func() int64 { return int64(e.poller.Version()) })
	return r
}
