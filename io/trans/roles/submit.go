package roles

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"

	"camphorridge/core/coord/record"
	"camphorridge/core/coord/runner"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/conf"
	"camphorridge/io/trans/admin"
	"camphorridge/io/trans/front"
	"camphorridge/io/trans/intake"
	"camphorridge/io/trans/logs"
	"camphorridge/io/trans/peers"
)

// Limits of an entry process for submitters.
const (
	// pingInterval is the time between two checks whether the process can reach the
	// leader, and the RetryAfter of a call that certainly was not executed because
	// the leader could not be reached. maxPingAge is how long a successful check
	// keeps the process ready.
	pingInterval = 500 * clock.Millis(1)
	maxPingAge   = 1800 * clock.Millis(1)
	// leaderTimeout is the timeout of CallRunner, and the time after which a call
	// that was certainly not executed is refused. An election takes one to two
	// seconds, and a submitter that is refused early can still retry in time.
	leaderTimeout = 900 * clock.Millis(1)
	// retryDelay is the delay before a call is passed to CallRunner again.
	retryDelay = 100 * clock.Millis(1)
	// submitUnreadyTime is how long a stopping process still accepts connections
	// while its readiness check fails. The load balancer checks once a second and
	// removes a process after two failed checks.
	submitUnreadyTime   = 2200 * clock.Millis(1)
	submitDrainTimeout  = 2500 * clock.Millis(1)
	submitEventCapacity = 1000
)

// SubmitOptions configures an entry process for submitters.
type SubmitOptions struct {
	Name     model.Process
	Zone     model.Zone
	Controls []model.Member
	// FrontAddress and ReadyAddress are the addresses for submitters and for readiness
	// checks.
	FrontAddress string
	ReadyAddress string
	// Handler returns the HTTP handler for submitters, and ReadyHandler the one for
	// readiness checks.
	Handler        func(SubmitService) http.Handler
	ReadyHandler   func(SubmitService) http.Handler
	MaxHeaderBytes int
	// MaxBodyBytes is the largest body of a submitter's request.
	MaxBodyBytes int64
	// Intake limits what clients can make the process hold.
	Intake conf.Intake
	// AdminAddress is the address for metrics, health and events.
	AdminAddress string
	// Reload reads the control processes from the settings again.
	Reload   func() ([]model.Member, error)
	LogLevel string
}

// SubmitService is what the HTTP handlers for submitters and readiness checks use.
type SubmitService struct {
	leader *peers.LeaderClient
	clock  clock.Clock
	Log    *log.Logger
	// lastPing is the time of the last successful check or call, in ms since 1970.
	lastPing *atomic.Int64
	leaving  *atomic.Bool
	Gate     *intake.Gate
	stats    *submitStats
}

// submitStats holds statistics about the calls of submitters.
type submitStats struct {
	// answers holds the number of answers of each kind.
	answers [runner.LastAnswerKind + 1]atomic.Int64
	// callMillis records the duration of each call, in ms.
	callMillis metrics.Histogram
}

// newMetrics returns a registry with the metrics of the process. dropped returns the
// number of dropped log lines.
func (s SubmitService) newMetrics(client *peers.Client, dropped func() int64) metrics.Registry {
	r := metrics.NewRegistry()
	for kind := range s.stats.answers {
		registerCounters(r, []counter{{"calls-" + runner.AnswerKind(kind).String(), s.stats.answers[kind].Load}})
	}
	registerCounters(r, processCounters(client.Traffic))
	registerCounters(r, []counter{{"log-lines-dropped", dropped}})
	registerGate(r, s.Gate)
	_ = r.Register("call-ms", s.stats.callMillis)
	return r
}

// Call forwards a call to the leader. The kind of the answer says whether the call
// may have been executed. A call that may have been executed is sent again until
// ctx is done: calls are idempotent, and only a definite answer helps the submitter.
// A call that was certainly not executed is refused after leaderTimeout, so that the
// submitter can retry in time.
func (s SubmitService) Call(ctx context.Context, c runner.Call) runner.Answer {
	began := s.clock.Now()
	if c.Kind == runner.CallSubmit && c.IssuedAt == 0 {
		// Repetitions keep the time of the first attempt.
		c.IssuedAt = s.leader.LeaderTime()
	}
	a := s.call(ctx, c, began+leaderTimeout)
	s.stats.callMillis.Update(int64(s.clock.Now() - began))
	s.stats.answers[a.Kind].Add(1)
	return a
}

// call sends a call to the leader until there is a definite answer or ctx is done. It
// gives up at refuseAt if the call has certainly not been executed by then, and at once
// if the leader is overloaded: another attempt would add to its load.
func (s SubmitService) call(ctx context.Context, c runner.Call, refuseAt clock.Millis) runner.Answer {
	uncertain := false
	for {
		a := s.callLeader(ctx, c)
		delay := retryDelay
		switch a.Kind {
		case runner.AnswerOutcomeUnknown:
			uncertain = true
		case runner.AnswerUnavailable:
		case runner.AnswerOverloaded:
			if !uncertain {
				return a
			}
			delay = a.RetryAfter
		default:
			if uncertain && c.Kind.RefusedBy(a.Kind) {
				a.Kind = runner.AnswerOutcomeUnknown
			}
			return a
		}
		if ctx.Err() != nil || (!uncertain && s.clock.Now() >= refuseAt) {
			if uncertain {
				a.Kind = runner.AnswerOutcomeUnknown
			}
			return a
		}
		select {
		case <-s.clock.After(delay):
		case <-ctx.Done():
		}
	}
}

// callLeader sends a call to the leader, for leaderTimeout at most. It converts an
// error to an answer that says whether the call may have been executed.
func (s SubmitService) callLeader(ctx context.Context, c runner.Call) runner.Answer {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout.Duration())
	defer cancel()
	a, err := s.leader.CallRunner(ctx, c)
	if err == nil {
		if a.Kind != runner.AnswerUnavailable && a.Kind != runner.AnswerOutcomeUnknown {
			s.lastPing.Store(int64(s.clock.Now()))
		}
		return a
	}
	if peers.MayHaveRun(err) {
		return runner.Answer{Kind: runner.AnswerOutcomeUnknown, Reason: err.Error()}
	}
	return runner.Answer{Kind: runner.AnswerUnavailable, RetryAfter: pingInterval, Reason: err.Error()}
}

// Ready reports whether the process is ready for calls, that is, whether it has
// reached the leader within maxPingAge and is not stopping.
func (s SubmitService) Ready() bool {
	return !s.leaving.Load() && s.clock.Now()-clock.Millis(s.lastPing.Load()) < maxPingAge
}

// notReadyReason returns why the process is not ready, or "" if it is ready.
func (s SubmitService) notReadyReason() string {
	if s.Ready() {
		return ""
	}
	return "the leader was not reached recently, or the process is stopping"
}

// KnownLeader returns the address that last responded as the leader; empty if
// unknown.
func (s SubmitService) KnownLeader() string { return s.leader.KnownLeader() }

// Leaving reports whether the process is stopping.
func (s SubmitService) Leaving() bool { return s.leaving.Load() }

// RunSubmit runs an entry process for submitters until a signal stops it, and writes
// its log to out.
func RunSubmit(o SubmitOptions, out io.Writer) error {
	clk := clock.Real()
	async := logs.NewAsyncWriter(out, clk)
	defer async.Close()
	lg, err := logs.New(async, logs.Settings{Level: o.LogLevel, Process: o.Name, Zone: o.Zone}, clk)
	if err != nil {
		return err
	}
	recorder := record.New(o.Name, submitEventCapacity, clk)
	client := peers.NewClient(o.Name, recorder)
	s := SubmitService{
		leader: peers.NewLeaderClient(client, o.Controls, clk), clock: clk, Log: lg,
		lastPing: &atomic.Int64{}, leaving: &atomic.Bool{}, stats: &submitStats{callMillis: admin.NewHistogram()},
		Gate: newGate(o.Intake, true, clk, lg),
	}
	var g run.Group
	addSignals(&g, lg)
	submitters, err := listen("submitters", o.FrontAddress)
	if err != nil {
		return err
	}
	ready, err := listen("readiness", o.ReadyAddress)
	if err != nil {
		return err
	}
	adm, err := admin.New(admin.Config{
		Address: o.AdminAddress, Labels: []admin.Label{{Name: "process", Value: string(o.Name)}, {Name: "zone", Value: string(o.Zone)}},
		NotReadyReason: s.notReadyReason, Events: recorder.Page, StopMillis: peerStopTimeout, Registry: s.newMetrics(client, async.Dropped),
		Gate: s.Gate,
	})
	if err != nil {
		return &Error{Op: "listen for admin", Kind: KindListen, Err: err}
	}
	s.addSubmitters(&g, submitters, o)
	addComponent(&g, &pinger{service: s, done: make(chan struct{})})
	addServer(&g, s.Gate, ready, o.ReadyHandler(s), emptyLimits, clock.Second)
	addComponent(&g, newReloader(o.Reload, o.Controls, s.leader.SetMembers, clk, lg))
	addComponent(&g, adm)
	addComponent(&g, recorder)
	lg.Info("started", "front", o.FrontAddress)
	err = g.Run()
	client.Close()
	lg.Info("stopped", "err", err)
	return err
}

// addSubmitters adds the server for submitters. It stops in three steps: the readiness
// check fails for submitUnreadyTime, the listener closes, and open requests finish
// within submitDrainTimeout.
func (s SubmitService) addSubmitters(g *run.Group, l net.Listener, o SubmitOptions) {
	h := o.Handler(s)
	server := front.NewServer(s.Gate, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Leaving() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	}), o.MaxHeaderBytes, intake.Options{MaxBodyBytes: o.MaxBodyBytes})
	g.Add(func() error { return server.Serve(s.Gate.Listener(l, intake.Clients)) }, func(error) {
		s.leaving.Store(true)
		<-s.clock.After(submitUnreadyTime)
		if err := server.Shutdown(submitDrainTimeout); err != nil {
			s.Log.Warn("open requests were aborted during shutdown", "err", err)
		}
	})
}

// pinger is the component that checks at intervals of pingInterval whether the process
// can reach the leader.
type pinger struct {
	service SubmitService
	done    chan struct{}
}

// Run checks until Stop is called.
func (p *pinger) Run() error {
	// Ready can also become false between two checks, when the last successful one is
	// too old; the log shows that at the next check.
	wasReady := false
	for {
		a, err := p.check()
		if ready := p.service.Ready(); ready != wasReady {
			p.service.Log.Info("readiness-changed", "ready", ready, "err", err, "reason", a.Reason)
			wasReady = ready
		}
		select {
		case <-p.service.clock.After(pingInterval):
		case <-p.done:
			return nil
		}
	}
}

// check calls the leader, unless a check or call has just succeeded: a busy process
// adds nothing to the leader's load.
func (p *pinger) check() (runner.Answer, error) {
	s := p.service
	if s.clock.Now()-clock.Millis(s.lastPing.Load()) < pingInterval {
		return runner.Answer{}, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), clock.Second.Duration())
	defer cancel()
	a, err := s.leader.CallRunner(ctx, runner.Call{Kind: runner.CallPing})
	if err == nil && a.Kind == runner.AnswerDone {
		s.lastPing.Store(int64(s.clock.Now()))
	}
	return a, err
}

// Stop ends Run. It must be called at most once.
func (p *pinger) Stop() { close(p.done) }
