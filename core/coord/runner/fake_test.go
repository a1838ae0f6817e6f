package runner

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/model"
	"camphorridge/core/state/place"
	"camphorridge/core/state/sched"
)

var (
	errNotLeader = errors.New("not the leader")
	errTooLarge  = errors.New("too large")
	errUnknown   = errors.New("the outcome is unknown")
)

// fakeGroup is a control group of one member that can be blocked and can lose its
// leadership.
type fakeGroup struct {
	mu    sync.Mutex
	state *fleet.State
	term  uint64
	leads bool
	// gate, if not nil, blocks proposals and reads until it is closed.
	gate chan struct{}
	// blocked counts the proposals and reads that the gate has blocked.
	blocked int
	// fail, if not nil, is returned by Propose for changes of jobs.
	fail error
	// late, while holding, receives the changes of jobs, whose proposers get
	// errUnknown. Like the entries of a log, they are applied before any later change.
	holding bool
	late    []model.Change
	// replaced is set while proposals and reads fail although Leads does not report
	// the loss of the leadership yet.
	replaced bool
	// changes counts the applied changes.
	changes int
	// largest is the size of the largest proposed change.
	largest int
	reads   int
	// clock gives the time of the changes that are applied.
	clock clock.Clock
}

func newFakeGroup() *fakeGroup { return &fakeGroup{state: fleet.New(), term: 2, leads: true} }

func (g *fakeGroup) wait(ctx context.Context) error {
	g.mu.Lock()
	gate := g.gate
	if gate != nil {
		g.blocked++
	}
	g.mu.Unlock()
	if gate == nil {
		return nil
	}
	select {
	case <-gate:
		return nil
	case <-ctx.Done():
		return errUnknown
	}
}

func (g *fakeGroup) Propose(ctx context.Context, c model.Change) (model.Result, error) {
	if err := g.wait(ctx); err != nil {
		return model.Result{}, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fail != nil && c.Kind == model.ChangeJobs {
		return model.Result{}, g.fail
	}
	if !g.leads || g.replaced {
		return model.Result{}, errNotLeader
	}
	n := g.ChangeBytes(c)
	g.largest = max(g.largest, n)
	if n > model.MaxChangeBytes {
		return model.Result{}, errTooLarge
	}
	if g.holding && c.Kind == model.ChangeJobs {
		g.late = append(g.late, c)
		return model.Result{}, errUnknown
	}
	for _, earlier := range g.late {
		g.apply(earlier)
	}
	g.late = nil
	return g.apply(c), nil
}

func (g *fakeGroup) apply(c model.Change) model.Result {
	g.changes++
	c.Time = g.clock.Now()
	return g.state.Apply(model.Version(g.changes), c)
}

func (g *fakeGroup) Read(ctx context.Context) error {
	if err := g.wait(ctx); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reads++
	if !g.leads || g.replaced {
		return errNotLeader
	}
	return nil
}

func (g *fakeGroup) Query(_ context.Context, f func(*fleet.State)) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.state)
	return nil
}

func (g *fakeGroup) Leads() (uint64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term, g.leads
}

// ChangeBytes returns the size of the specifications, documents and machine IDs alone.
func (g *fakeGroup) ChangeBytes(c model.Change) (n int) {
	for _, o := range c.Ops {
		switch {
		case o.Job != nil:
			n += len(o.Job.Spec)
		case o.Config != nil:
			n += len(o.Config.Document)
		case o.Wave != nil:
			for _, m := range o.Wave.Machines {
				n += len(m)
			}
		}
	}
	return n
}

func (g *fakeGroup) TooLarge(err error) bool { return errors.Is(err, errTooLarge) }

func (g *fakeGroup) NotApplied(err error) bool {
	return errors.Is(err, errNotLeader) || errors.Is(err, errTooLarge)
}

// configVersion returns the version of the committed configuration; 0 for none.
func (g *fakeGroup) configVersion() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Jobs.Config.Version
}

// set changes the group under its lock.
func (g *fakeGroup) set(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

type noMachines struct{}

func (noMachines) Do(context.Context, MachineAction) sched.Outcome {
	return sched.Outcome{Answer: sched.AnswerRefusedForNow}
}

type testRunner = Runner[*fakeGroup, noMachines, sched.EarliestDeadline, place.PeerComparison]

func start(t *testing.T, g *fakeGroup) *testRunner {
	t.Helper()
	return startAt(t, g, clock.Real())
}

// startAt is start with the given clock.
func startAt(t *testing.T, g *fakeGroup, clk clock.Clock) *testRunner {
	t.Helper()
	g.set(func() { g.clock = clk })
	settings := sched.Defaults()
	settings.BacklogTargetMillis = 0
	r := New(Config[*fakeGroup, noMachines, sched.EarliestDeadline, place.PeerComparison]{
		Name: "c1", Group: g, Health: place.PeerComparison{MinScore: 3}, Settings: settings, Clock: clk,
	})
	go func() { _ = r.Run() }()
	t.Cleanup(func() {
		r.Stop()
		<-r.ended
	})
	r.Wake()
	if g.configVersion() == 0 {
		ask(t, r, AnswerUnavailable, Call{Kind: CallPing})
	}
	config := jobs.Config{
		Version: 3, Document: []byte("{}"), Pools: []jobs.Pool{{Name: "p"}},
		Queues: []jobs.Queue{
			{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 2, Target: 3000, StretchPermille: 1500},
			{Name: "deep", Host: "h", Prefix: "/q/deep/", Pool: "p", MaxAttempts: 2},
			{Name: "advised", Host: "a", Prefix: "/", Pool: "p", Advice: jobs.AdvicePolicy{TicketValidity: 4000}},
		},
	}
	ask(t, r, AnswerDone, Call{Kind: CallConfigure, Config: config})
	return r
}

// testTimeout limits one call, and all repetitions of a call by ask. It is far
// above the time that an answer takes.
const testTimeout = 10 * time.Second

// ask repeats a call until its answer has the wanted kind, because the state is
// loaded in the background. It fails the test after testTimeout.
func ask(t *testing.T, r *testRunner, want AnswerKind, c Call) Answer {
	t.Helper()
	var a Answer
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		a = r.Call(ctx, c)
		cancel()
		if a.Kind == want {
			return a
		}
		<-clock.Real().After(5)
	}
	t.Fatalf("the answer is %+v, not of kind %d", a, want)
	return a
}

func submit(path string) Call {
	return Call{Kind: CallSubmit, IssuedAt: clock.Real().Now(), Host: "h", Path: path, Job: jobs.Job{Spec: "s", Steps: []jobs.Step{
		{TaskCount: 2, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 100}, Estimate: 500},
	}}}
}

func sendHeartbeat(r *testRunner, seq int64) (HeartbeatReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return r.Heartbeat(ctx, sched.Heartbeat{
		Worker: "w1", Incarnation: 1, Machine: "m1", Pool: "p", Seq: seq, Capacity: jobs.Resources{MilliCores: 4000, MemoryMiB: 4000},
	})
}
