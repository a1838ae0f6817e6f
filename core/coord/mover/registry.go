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
	// Since is the time at which the leader first heard of Version.
	Since clock.Millis
	// Seen is the time of the latest report.
	Seen clock.Millis
}

// Registry holds what the leader heard from the entry processes. It is not
// durable: a new leader hears everything again within one report interval.
type Registry struct {
	Processes map[model.Process]ProcessReport
	// Live holds, for each instance, the announcement and the entry processes
	// that hear it.
	Live map[model.InstanceID]LiveInstance
}

// LiveInstance is an instance that at least one entry process hears.
type LiveInstance struct {
	Announcement model.Announcement
	// Heard holds the entry processes that hear the instance; never empty.
	Heard map[model.Process]bool
	Since clock.Millis
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		Processes: map[model.Process]ProcessReport{},
		Live:      map[model.InstanceID]LiveInstance{},
	}
}

// Take adds a report. Reports of an older run of a process are ignored.
func (g *Registry) Take(r follow.Report, now clock.Millis) {
	held, known := g.Processes[r.Process]
	if known && r.Incarnation < held.Incarnation {
		return
	}
	if !known || r.Incarnation > held.Incarnation {
		g.forget(r.Process)
		held = ProcessReport{Process: r.Process, Zone: r.Zone, Incarnation: r.Incarnation, Since: now}
	}
	if r.Version != held.Version {
		held.Version, held.Since = r.Version, now
	}
	held.Drained = r.Drained
	held.Seen = now
	g.Processes[r.Process] = held
	for _, a := range r.Live {
		g.hear(r.Process, a, now)
	}
	for _, id := range r.Gone {
		g.lose(r.Process, id)
	}
}

func (g *Registry) hear(p model.Process, a model.Announcement, now clock.Millis) {
	l, ok := g.Live[a.Instance]
	if !ok {
		l = LiveInstance{Heard: map[model.Process]bool{}, Since: now}
	}
	if a.Incarnation >= l.Announcement.Incarnation {
		l.Announcement = a
	}
	l.Heard[p] = true
	g.Live[a.Instance] = l
}

func (g *Registry) lose(p model.Process, id model.InstanceID) {
	l, ok := g.Live[id]
	if !ok {
		return
	}
	delete(l.Heard, p)
	if len(l.Heard) == 0 {
		delete(g.Live, id)
	}
}

func (g *Registry) forget(p model.Process) {
	for id := range g.Live {
		g.lose(p, id)
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
		if !ok || r.Drained < v {
			missing = append(missing, m.Name)
		}
	}
	return missing
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
