package maint

import (
	"hash/fnv"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Periodic is the name of the wave that maintains every instance once per
// period.
const Periodic = "periodic"

// wave is a declaration, or the periodic goal, with its progress.
type wave struct {
	decl model.Maintenance
	// pending counts the instances still to be maintained; those in flight
	// are included.
	pending map[cell]int
	// byPool sums pending up by pool.
	byPool  map[model.Pool]int
	flight  int
	touched Tally
	peers   Tally
	// observed counts the instances that were maintained and observed for the
	// canary time; the first of them ends the canary.
	observed int
	// canary is when the first instance came back, while observed is 0.
	canary clock.Millis
	// stop is the reason why nothing more starts; empty while the wave runs.
	stop string
	// late is the last outcome of the deadline check.
	late []UnmetDeadline
	// tentative is the number of releases decided in the current pass.
	tentative int
}

// cell is the finest group that limits tell apart.
type cell struct {
	pool model.Pool
	zone model.Zone
	rack model.Rack
}

func cellOf(i model.Instance) cell { return cell{pool: i.Pool, zone: i.Zone, rack: i.Rack} }

func newWave(m model.Maintenance) *wave {
	return &wave{decl: m, pending: map[cell]int{}, byPool: map[model.Pool]int{}}
}

func (w *wave) count(i model.Instance, n int) {
	c := cellOf(i)
	w.pending[c] += n
	if w.pending[c] == 0 {
		delete(w.pending, c)
	}
	w.byPool[i.Pool] += n
	if w.byPool[i.Pool] == 0 {
		delete(w.byPool, i.Pool)
	}
}

func (w *wave) periodic() bool { return w.decl.Name == Periodic }

// wants reports whether the wave still has to maintain the instance, and by
// when. The periodic wave wants an instance from its margin on.
func (w *wave) wants(s Settings, i model.Instance, now clock.Millis) (deadline clock.Millis, ok bool) {
	if i.Phase == model.PhaseRetired || w.decl.DeclaredAt > now {
		return 0, false
	}
	if w.periodic() {
		deadline = s.periodEnd(i)
		return deadline, now >= deadline-s.MarginMillis || inMaintenance(i)
	}
	return w.decl.Deadline, i.MaintainedAt < w.decl.DeclaredAt && w.decl.Selector.Matches(i)
}

// touches reports whether the wave maintained the instance: since its
// declaration, or within the observed time for the periodic wave.
func (w *wave) touches(s Settings, i model.Instance, now clock.Millis) bool {
	if i.MaintainedAt == 0 || i.MaintainedAt < w.decl.DeclaredAt {
		return false
	}
	if w.periodic() {
		return i.MaintainedAt+s.ObservationMillis > now
	}
	return w.decl.Selector.Matches(i)
}

// periodEnd is the time by which the periodic goal wants the instance done.
// Instances that were never maintained are spread evenly by a hash of their
// name, so that the first period does not end for all of them at once.
func (s Settings) periodEnd(i model.Instance) clock.Millis {
	if i.MaintainedAt >= s.PeriodicStart && i.MaintainedAt > 0 {
		return i.MaintainedAt + s.PeriodMillis
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(i.ID))
	spread := uint64(max(s.PeriodMillis-s.MarginMillis, 1))
	return s.PeriodicStart + s.MarginMillis + clock.Millis(h.Sum64()%spread)
}

// inMaintenance reports whether a maintenance of the instance has begun. A
// release with another pool as target is a move.
func inMaintenance(i model.Instance) bool {
	return i.Phase == model.PhaseMaintenance || (i.Phase == model.PhaseReleasing && i.Target == i.Pool)
}
