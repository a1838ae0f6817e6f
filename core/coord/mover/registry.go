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
	// DrainedVersion is the version up to which the process has carried out all
	// releases; see follow.Report.
	DrainedVersion model.Version
	// VersionSince is the time at which the leader first received Version.
	VersionSince clock.Millis
	// LastReportAt is the time of the latest report.
	LastReportAt clock.Millis
}

// Registry holds what the entry processes reported to the leader. It is not
// durable: a new leader receives complete reports within one report interval.
type Registry struct {
	Processes map[model.Process]ProcessReport
	// Live holds, for each announced instance, its announcement and the entry
	// processes that report it.
	Live map[model.InstanceID]LiveInstance
	// NewlyAnnounced holds the instances that were announced, or whose entry
	// process is no longer silent, and that ClearEnrolled has not removed since. A
	// pass enrols them or, after warmUpTime, clears their lost mark. Holding them
	// keeps the cost of a pass proportional to the changes.
	NewlyAnnounced map[model.InstanceID]bool
	// Absent holds, for each instance that is reported by no entry process or
	// only by silent ones, the time since when.
	Absent map[model.InstanceID]clock.Millis
	// SilentProcesses holds the entry processes that stopped reporting while
	// others of their zone still report. Their last reports don't keep an instance
	// present: they may never report again and would hide the loss of the
	// instance.
	SilentProcesses map[model.Process]bool
	// GoneProcesses holds the entry processes that were declared gone, with the
	// time of the declaration. Runs of the process that started before that time
	// have ended.
	GoneProcesses map[model.Process]clock.Millis
}

// LiveInstance is an instance that at least one entry process reports.
type LiveInstance struct {
	// Announcement is the one with the highest incarnation.
	Announcement model.Announcement
	// ReportedBy holds the entry processes that report the instance; never empty.
	ReportedBy map[model.Process]bool
	// Since is the time since when at least one entry process reports it.
	Since clock.Millis
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

// AddReport adds a report of an entry process that was received at now. Reports
// of an earlier run of the process are ignored; a report of a later run replaces
// everything that the earlier run reported.
func (g *Registry) AddReport(r follow.Report, now clock.Millis) {
	latest, known := g.Processes[r.Process]
	if known && r.Incarnation < latest.Incarnation {
		return
	}
	if !known || r.Incarnation > latest.Incarnation {
		g.forgetProcess(r.Process, now)
		latest = ProcessReport{Process: r.Process, Zone: r.Zone, Incarnation: r.Incarnation, VersionSince: now}
	}
	if r.Version != latest.Version {
		latest.Version, latest.VersionSince = r.Version, now
	}
	latest.DrainedVersion = r.DrainedVersion
	latest.LastReportAt = now
	g.Processes[r.Process] = latest
	if g.SilentProcesses[r.Process] {
		g.clearSilent(r.Process)
	}
	for _, a := range r.Changed {
		g.addAnnouncement(r.Process, a, now)
	}
	for _, id := range r.Gone {
		g.removeAnnouncement(r.Process, id, now)
	}
}

// MarkAbsentIfUnreported marks an instance as absent since now unless it is
// absent already or an entry process that is not silent reports it.
func (g *Registry) MarkAbsentIfUnreported(id model.InstanceID, now clock.Millis) {
	_, absent := g.Absent[id]
	if !absent && !g.isReported(id) {
		g.Absent[id] = now
	}
}

// isReported reports whether an entry process that is not silent reports the
// instance.
func (g *Registry) isReported(id model.InstanceID) bool {
	for p := range g.Live[id].ReportedBy {
		if !g.SilentProcesses[p] {
			return true
		}
	}
	return false
}

// MarkSilentProcesses marks the entry processes that became silent, and as absent
// the instances that only they report. Processes of a zone that is silent as a
// whole are not marked: the zone may be partitioned and still serve its own
// callers. The cost is proportional to the number of entry processes, and to the
// number of instances only when a process becomes silent.
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

// clearSilent handles a silent entry process that reports again: the instances
// that it reported before are no longer absent. Its new reports don't say so,
// because a process that was only suspended reports nothing but changes.
func (g *Registry) clearSilent(p model.Process) {
	delete(g.SilentProcesses, p)
	for id, l := range g.Live {
		if l.ReportedBy[p] {
			delete(g.Absent, id)
			g.NewlyAnnounced[id] = true
		}
	}
}

// addAnnouncement records that the process p reports an instance.
func (g *Registry) addAnnouncement(p model.Process, a model.Announcement, now clock.Millis) {
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

// removeAnnouncement records that the process p no longer reports an instance.
func (g *Registry) removeAnnouncement(p model.Process, id model.InstanceID, now clock.Millis) {
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

// forgetProcess removes everything that the process p reported about instances.
func (g *Registry) forgetProcess(p model.Process, now clock.Millis) {
	for id := range g.Live {
		g.removeAnnouncement(p, id, now)
	}
}

// Unconfirmed returns the entry processes of the zone that have not confirmed
// the release at version v, in the order of entries. A process that was declared
// gone doesn't have to confirm, unless a run that started later has reported.
func (g *Registry) Unconfirmed(entries []model.Member, zone model.Zone, v model.Version) []model.Process {
	var missing []model.Process
	for _, m := range entries {
		if m.Zone != zone {
			continue
		}
		r, ok := g.Processes[m.Name]
		goneAt, declared := g.GoneProcesses[m.Name]
		// An incarnation is the time at which the run started.
		if declared && (!ok || clock.Millis(r.Incarnation) < goneAt) {
			continue
		}
		if !ok || r.DrainedVersion < v {
			missing = append(missing, m.Name)
		}
	}
	return missing
}

// ZoneSilent reports whether no entry process of the zone has reported within
// SilentAfter.
func (g *Registry) ZoneSilent(zone model.Zone, now clock.Millis) bool {
	for _, r := range g.Processes {
		if r.Zone == zone && now-r.LastReportAt <= SilentAfter {
			return false
		}
	}
	return true
}

// ClearEnrolled removes from NewlyAnnounced the instances that are in table t and not
// marked as lost there, and those that are no longer live. A mark may be cleared in a
// later pass: MarkLost waits for the end of the warm-up, and a change holds a limited
// number of steps.
func (g *Registry) ClearEnrolled(t model.Table) {
	for id := range g.NewlyAnnounced {
		i, known := t.Instances[id]
		_, live := g.Live[id]
		if (known && i.LostSince == 0) || !live {
			delete(g.NewlyAnnounced, id)
		}
	}
}

// List returns the latest report of each process, sorted by process name.
func (g *Registry) List() []ProcessReport {
	out := make([]ProcessReport, 0, len(g.Processes))
	for _, r := range g.Processes {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Process < out[j].Process })
	return out
}
