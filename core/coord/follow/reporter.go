package follow

import (
	"context"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Timing of the reporter.
const (
	// reportTick is how often the process looks for a change of the drained
	// version, which moves wait for.
	reportTick clock.Millis = 100
	// ReportInterval is the longest time between two reports; the leader takes
	// an entry process for silent after three of them.
	ReportInterval = clock.Second
	reportTimeout  = clock.Second
	// LoadInterval separates two reports of what callers felt. At 255 upstreams
	// in a zone one such report has about 8 KB.
	LoadInterval = 5 * clock.Second
)

// Report is what an entry process tells the leader.
type Report struct {
	Process model.Process
	Zone    model.Zone
	// Incarnation tells two runs of the process apart.
	Incarnation uint64
	Version     model.Version
	// Drained is the version up to which every release was carried out: no
	// request in flight uses an instance released at or below it.
	Drained model.Version
	Live    []model.Announcement
	Gone    []model.InstanceID
	// Demand is what callers ask of each pool at the time of the report.
	Demand []model.PoolDemand
	// Load is empty in most reports; see FeltInterval.
	Load model.LoadReport
}

// Status is what the reporter reads from the other duties of the process.
type Status struct {
	Version model.Version
	Drained model.Version
	// Live lists the announcements whose lease holds. It is called only for a
	// report, as its cost follows the number of upstreams.
	Live func() []model.Announcement
}

// ReportSender sends a report to the leader of the control group and returns the
// leader's term.
type ReportSender interface {
	Report(ctx context.Context, r Report) (term uint64, err error)
}

// Reporter is the duty that reports to the leader: at once when the drained
// version changed, as moves wait for it, and otherwise once in ReportInterval.
type Reporter[R ReportSender] struct {
	self        model.Member
	incarnation uint64
	out         R
	status      func() Status
	felt        func() model.LoadReport
	demand      func() []model.PoolDemand
	feltAt      clock.Millis
	clock       clock.Clock
	done        chan struct{}
	sent        map[model.InstanceID]model.Announcement
	lastDrained model.Version
	lastTime    clock.Millis
	// complete is set once the leader of the term has the whole list of
	// upstreams; a failure or a new term clears it, as the next leader may know
	// none of them.
	complete bool
	term     uint64
}

// NewReporter returns a reporter for the process self.
func NewReporter[R ReportSender](self model.Member, incarnation uint64, out R, status func() Status, felt func() model.LoadReport, demand func() []model.PoolDemand, c clock.Clock) *Reporter[R] {
	return &Reporter[R]{
		self: self, incarnation: incarnation, out: out, status: status, felt: felt, demand: demand, clock: c,
		done: make(chan struct{}), sent: map[model.InstanceID]model.Announcement{},
	}
}

// Run reports until Stop.
func (r *Reporter[R]) Run() error {
	for {
		select {
		case <-r.clock.After(reportTick):
			r.tick()
		case <-r.done:
			return nil
		}
	}
}

// Stop ends Run.
func (r *Reporter[R]) Stop() { close(r.done) }

func (r *Reporter[R]) tick() {
	s := r.status()
	now := r.clock.Now()
	if s.Drained == r.lastDrained && now-r.lastTime < ReportInterval {
		return
	}
	rep := r.build(s)
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout.Duration())
	defer cancel()
	r.lastTime = now
	rep.Demand = r.demand()
	if now-r.feltAt >= LoadInterval {
		r.feltAt = now
		rep.Load = r.felt()
	}
	full := !r.complete
	term, err := r.out.Report(ctx, rep)
	if err != nil {
		r.complete = false
		return
	}
	r.complete = full || term == r.term
	r.term = term
	r.lastDrained = s.Drained
	for _, a := range rep.Live {
		r.sent[a.Instance] = a
	}
	for _, id := range rep.Gone {
		delete(r.sent, id)
	}
}

// build returns the difference to what the leader has, or everything after a
// failure.
func (r *Reporter[R]) build(s Status) Report {
	rep := Report{
		Process: r.self.Name, Zone: r.self.Zone, Incarnation: r.incarnation,
		Version: s.Version, Drained: s.Drained,
	}
	all := s.Live()
	live := make(map[model.InstanceID]bool, len(all))
	for _, a := range all {
		live[a.Instance] = true
		if !r.complete || r.sent[a.Instance] != a {
			rep.Live = append(rep.Live, a)
		}
	}
	for id := range r.sent {
		if !live[id] {
			rep.Gone = append(rep.Gone, id)
		}
	}
	return rep
}
