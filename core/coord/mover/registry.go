package mover

import (
	"sort"

	"camphorridge/core/coord/follow"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// SilentAfter is the time without a report after which an entry process
// counts as silent.
const SilentAfter = 3 * follow.ReportInterval

// ProcessReport is the latest report of an entry process.
type ProcessReport struct {
	Process     model.Process
	Zone        model.Zone
	Incarnation uint64
	Version     model.Version
	Drained     model.Version
	// VersionSince is the time at which the leader first heard of Version.
	VersionSince clock.Millis
	// LastReportAt is the time of the latest report.
	LastReportAt clock.Millis
}

// Registry holds what the leader heard from the entry processes. It is not
// durable: a new leader hears everything again within one report interval.
type Registry struct {
	Processes map[model.Process]ProcessReport
	// Live holds, for each instance, the announcement and the entry processes
	// that hear it.
	Live map[model.InstanceID]LiveInstance
	// NewlyAnnounced holds the instances that were announced since the last Settle and
	// may have to be enrolled, so that a pass costs what changed.
	NewlyAnnounced map[model.InstanceID]bool
	// Absent holds the watched instances that no entry process hears, or only
	// quiet ones, with the time since when.
	Absent map[model.InstanceID]clock.Millis
	// SilentProcesses holds the entry processes that stopped reporting while others of
	// their zone go on. What they heard last does not make an instance present:
	// they may never come back, and would hide its loss.
	SilentProcesses map[model.Process]bool
	// DeclaredGone holds the entry processes that were declared gone; runs that began
	// before the time have ended.
	DeclaredGone map[model.Process]clock.Millis
}

// LiveInstance is an instance that at least one entry process hears.
type LiveInstance struct {
	Announcement model.Announcement
	// ReportedBy holds the entry processes that hear the instance; never empty.
	ReportedBy map[model.Process]bool
	Since      clock.Millis
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		Processes:       map[model.Process]ProcessReport{},
		Live:            map[model.InstanceID]LiveInstance{},
		NewlyAnnounced:  map[model.InstanceID]bool{},
		Absent:          map[model.InstanceID]clock.Millis{},
		SilentProcesses: map[model.Process]bool{},
	}
}

// AddReport adds a report. Reports of an older run of a process are ignored.
func (g *Registry) AddReport(r follow.Report, now clock.Millis) {
	held, known := g.Processes[r.Process]
	if known && r.Incarnation < held.Incarnation {
		return
	}
	if !known || r.Incarnation > held.Incarnation {
		g.forget(r.Process, now)
		held = ProcessReport{Process: r.Process, Zone: r.Zone, Incarnation: r.Incarnation, VersionSince: now}
	}
	if r.Version != held.Version {
		held.Version, held.VersionSince = r.Version, now
	}
	held.Drained = r.Drained
	held.LastReportAt = now
	g.Processes[r.Process] = held
	if g.SilentProcesses[r.Process] {
		g.unhush(r.Process)
	}
	for _, a := range r.Live {
		g.hear(r.Process, a, now)
	}
	for _, id := range r.Gone {
		g.lose(r.Process, id, now)
	}
}

// MarkAbsentIfUnreported makes an instance absent from now on unless an entry process hears it.
func (g *Registry) MarkAbsentIfUnreported(id model.InstanceID, now clock.Millis) {
	_, absent := g.Absent[id]
	if !absent && !g.present(id) {
		g.Absent[id] = now
	}
}

// present reports whether an entry process that is not quiet hears an
// instance.
func (g *Registry) present(id model.InstanceID) bool {
	for p := range g.Live[id].ReportedBy {
		if !g.SilentProcesses[p] {
			return true
		}
	}
	return false
}

// MarkSilentProcesses finds the entry processes that became quiet. Those of a zone that is
// silent as a whole do not count: it may be partitioned and serve its own
// callers. Its cost follows the number of entry processes, and the number of
// instances only when one becomes quiet.
func (g *Registry) MarkSilentProcesses(now clock.Millis) {
	for _, r := range g.Processes {
		if g.SilentProcesses[r.Process] || now-r.LastReportAt <= SilentAfter || g.ZoneSilent(r.Zone, now) {
			continue
		}
		g.SilentProcesses[r.Process] = true
		for id, l := range g.Live {
			if l.ReportedBy[r.Process] {
				g.MarkAbsentIfUnreported(id, now)
			}
		}
	}
}

// unhush makes present again what an entry process hears that reports again.
// A process that was only frozen reports no more than what changed.
func (g *Registry) unhush(p model.Process) {
	delete(g.SilentProcesses, p)
	for id, l := range g.Live {
		if l.ReportedBy[p] {
			delete(g.Absent, id)
			g.NewlyAnnounced[id] = true
		}
	}
}

func (g *Registry) hear(p model.Process, a model.Announcement, now clock.Millis) {
	l, ok := g.Live[a.Instance]
	if !ok {
		l = LiveInstance{ReportedBy: map[model.Process]bool{}, Since: now}
	}
	if a.Incarnation >= l.Announcement.Incarnation {
		l.Announcement = a
	}
	l.ReportedBy[p] = true
	g.Live[a.Instance] = l
	g.NewlyAnnounced[a.Instance] = true
	delete(g.Absent, a.Instance)
}

func (g *Registry) lose(p model.Process, id model.InstanceID, now clock.Millis) {
	l, ok := g.Live[id]
	if !ok {
		return
	}
	delete(l.ReportedBy, p)
	if len(l.ReportedBy) == 0 {
		delete(g.Live, id)
	}
	g.MarkAbsentIfUnreported(id, now)
}

func (g *Registry) forget(p model.Process, now clock.Millis) {
	for id := range g.Live {
		g.lose(p, id, now)
	}
}

// Unconfirmed returns the entry processes of the zone that have not confirmed
// the release at the given version, in order of their names.
func (g *Registry) Unconfirmed(entries []model.Member, zone model.Zone, v model.Version) []model.Process {
	var missing []model.Process
	for _, m := range entries {
		if m.Zone != zone {
			continue
		}
		r, ok := g.Processes[m.Name]
		gone, declared := g.DeclaredGone[m.Name]
		// An incarnation is the time at which the run began.
		if declared && (!ok || clock.Millis(r.Incarnation) < gone) {
			continue
		}
		if !ok || r.Drained < v {
			missing = append(missing, m.Name)
		}
	}
	return missing
}

// ZoneSilent reports whether no entry process of the zone has reported lately.
func (g *Registry) ZoneSilent(zone model.Zone, now clock.Millis) bool {
	for _, r := range g.Processes {
		if r.Zone == zone && now-r.LastReportAt <= SilentAfter {
			return false
		}
	}
	return true
}

// ClearEnrolled forgets the fresh instances that are part of the fleet.
func (g *Registry) ClearEnrolled(t model.Table) {
	for id := range g.NewlyAnnounced {
		_, known := t.Instances[id]
		_, live := g.Live[id]
		if known || !live {
			delete(g.NewlyAnnounced, id)
		}
	}
}

// List returns the reports in order of the processes' names.
func (g *Registry) List() []ProcessReport {
	out := make([]ProcessReport, 0, len(g.Processes))
	for _, r := range g.Processes {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Process < out[j].Process })
	return out
}
