package follow

import (
	"context"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Timing of the reporter.
const (
	// reportTick is the time between two checks whether the drained version has
	// changed, which moves and the maintenance of instances wait for.
	reportTick clock.Millis = 100
	// ReportInterval is the longest time between two reports. The leader treats an
	// entry process as silent after three intervals without one.
	ReportInterval = clock.Second
	// reportTimeout is the limit for sending one report.
	reportTimeout = clock.Second
	// LoadInterval is the time between two load reports. It is longer than
	// ReportInterval because a load report has about 8 KB with 255 upstreams in a
	// zone.
	LoadInterval = 5 * clock.Second
)

// Report is a report of an entry process to the leader.
type Report struct {
	Process model.Process
	Zone    model.Zone
	// Incarnation identifies the run of the process; later runs have higher ones.
	Incarnation uint64
	// Version is the version of the table in force.
	Version model.Version
	// DrainedVersion is the version of the table up to which the process has carried
	// out all releases: no request in flight and no loan uses an instance released at
	// or below it.
	DrainedVersion model.Version
	// Changed lists the announcements that are new or changed since the last report
	// that a leader acknowledged, or all of them when the leader may not have them.
	Changed []model.Announcement
	// Gone lists the instances that were announced at the last report that a leader
	// acknowledged, and no longer are.
	Gone []model.InstanceID
	// Demand is the demand of each pool at the time of the report.
	Demand []model.PoolDemand
	// Load is empty in most reports, because it is sent only once in LoadInterval.
	Load model.LoadReport
}

// Status is the state of the process that the reporter reports.
type Status struct {
	Version        model.Version
	DrainedVersion model.Version
	// LiveAnnouncements returns the announcements whose lease has not expired. It is
	// called only for a report, because its cost is proportional to the number of
	// upstreams.
	LiveAnnouncements func() []model.Announcement
}

// ReportSender sends reports to the leader of the control group.
type ReportSender interface {
	// Report sends a report and returns the leader's term.
	Report(ctx context.Context, r Report) (term uint64, err error)
}

// Reporter reports to the leader: within reportTick when the drained version has
// changed, because moves and the maintenance of instances wait for it, and otherwise
// every ReportInterval.
type Reporter[R ReportSender] struct {
	self           model.Member
	incarnation    uint64
	sender         R
	status         func() Status
	loadReport     func() model.LoadReport
	demand         func() []model.PoolDemand
	loadReportedAt clock.Millis
	clock          clock.Clock
	done           chan struct{}
	// reported holds the announcements as of the last report that a leader acknowledged.
	reported           map[model.InstanceID]model.Announcement
	lastDrainedVersion model.Version
	lastReportAt       clock.Millis
	// leaderHasAll is set while the leader of the term has all announcements: the
	// last report held all of them, or only the changes and went to a leader that had
	// the others. A failed report or a new term clears it, because the leader may
	// then have none of them.
	leaderHasAll bool
	// term is the term of the leader that received the last report.
	term uint64
}

// NewReporter returns a reporter for the process self.
func NewReporter[R ReportSender](self model.Member, incarnation uint64, sender R, status func() Status, loadReport func() model.LoadReport, demand func() []model.PoolDemand, c clock.Clock) *Reporter[R] {
	return &Reporter[R]{
		self: self, incarnation: incarnation, sender: sender, status: status, loadReport: loadReport, demand: demand, clock: c,
		done: make(chan struct{}), reported: map[model.InstanceID]model.Announcement{},
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

// tick sends a report if one is due.
func (r *Reporter[R]) tick() {
	s := r.status()
	now := r.clock.Now()
	if s.DrainedVersion == r.lastDrainedVersion && now-r.lastReportAt < ReportInterval {
		return
	}
	rep := r.newReport(s)
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout.Duration())
	defer cancel()
	r.lastReportAt = now
	rep.Demand = r.demand()
	if now-r.loadReportedAt >= LoadInterval {
		r.loadReportedAt = now
		rep.Load = r.loadReport()
	}
	sentAll := !r.leaderHasAll
	term, err := r.sender.Report(ctx, rep)
	if err != nil {
		r.leaderHasAll = false
		return
	}
	// After a change of the term, a report of only the changes is not enough: the new
	// leader has not received the earlier reports.
	r.leaderHasAll = sentAll || term == r.term
	r.term = term
	r.lastDrainedVersion = s.DrainedVersion
	for _, a := range rep.Changed {
		r.reported[a.Instance] = a
	}
	for _, id := range rep.Gone {
		delete(r.reported, id)
	}
}

// newReport returns a report with the announcements that differ from reported, or
// with all of them when the leader may not have them.
func (r *Reporter[R]) newReport(s Status) Report {
	rep := Report{
		Process: r.self.Name, Zone: r.self.Zone, Incarnation: r.incarnation,
		Version: s.Version, DrainedVersion: s.DrainedVersion,
	}
	all := s.LiveAnnouncements()
	live := make(map[model.InstanceID]bool, len(all))
	for _, a := range all {
		live[a.Instance] = true
		if !r.leaderHasAll || r.reported[a.Instance] != a {
			rep.Changed = append(rep.Changed, a)
		}
	}
	for id := range r.reported {
		if !live[id] {
			rep.Gone = append(rep.Gone, id)
		}
	}
	return rep
}
