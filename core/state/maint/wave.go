package maint

import (
	"hash/fnv"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Periodic is the name of the wave that maintains every instance once per
// period.
const Periodic = "periodic"

// wave is the progress of a maintenance declaration or of periodic maintenance.
type wave struct {
	decl model.Maintenance
	// pending counts the instances still to be maintained, including those in
	// progress.
	pending map[group]int
	// byPool is pending summed up by pool.
	byPool map[model.Pool]int
	// inProgress counts the instances whose maintenance has started and whose
	// item.wave is this wave.
	inProgress int
	// touched sums up the instances for which maintained returns true or that are
	// stuck in the wave's maintenance, peers all others.
	touched Tally
	peers   Tally
	// observedCount is the number of selected instances whose MaintainedAt is not
	// before the declaration and at least CanaryMillis ago. The first one ends the
	// canary phase.
	observedCount int
	// touchedMaintainedAt is the MaintainedAt of the touched instance that was counted
	// last. While that is the canary, it is the time of the canary's return; for a
	// stuck instance it is the time of an earlier maintenance. It is used only while
	// observedCount is 0.
	touchedMaintainedAt clock.Millis
	// stopReason is the reason why no more maintenance starts; empty while the
	// wave runs.
	stopReason string
	// unmet is the result of the last deadline check.
	unmet []UnmetDeadline
	// tentativeReleases is the number of releases decided in the current pass.
	tentativeReleases int
}

// group identifies the instances of one pool and rack. All limits other than those
// on single instances treat the instances of a group alike.
type group struct {
	pool model.Pool
	zone model.Zone
	rack model.Rack
}

func groupOf(i model.Instance) group { return group{pool: i.Pool, zone: i.Zone, rack: i.Rack} }

func newWave(m model.Maintenance) *wave {
	return &wave{decl: m, pending: map[group]int{}, byPool: map[model.Pool]int{}}
}

// addPending adds n to the number of pending instances of the instance's group and
// pool.
func (w *wave) addPending(i model.Instance, n int) {
	g := groupOf(i)
	w.pending[g] += n
	if w.pending[g] == 0 {
		delete(w.pending, g)
	}
	w.byPool[i.Pool] += n
	if w.byPool[i.Pool] == 0 {
		delete(w.byPool, i.Pool)
	}
}

func (w *wave) periodic() bool { return w.decl.Name == Periodic }

// needs reports whether the wave still has to maintain the instance, and by
// when. The periodic wave needs an instance from MarginMillis before the end of
// its period, and any instance whose maintenance has started.
func (w *wave) needs(s Settings, i model.Instance, now clock.Millis) (deadline clock.Millis, ok bool) {
	if i.Phase == model.PhaseRetired || w.decl.DeclaredAt > now {
		return 0, false
	}
	if w.periodic() {
		deadline = s.periodEnd(i)
		return deadline, now >= deadline-s.MarginMillis || inMaintenance(i)
	}
	return w.decl.Deadline, i.MaintainedAt < w.decl.DeclaredAt && w.decl.Selector.Matches(i)
}

// maintained reports whether the instance counts as maintained by the wave: its
// MaintainedAt is not before the declaration and, for the periodic wave, within the
// last TouchedMillis. Enrolment sets MaintainedAt too, so an instance that was
// enrolled in this time counts as maintained.
func (w *wave) maintained(s Settings, i model.Instance, now clock.Millis) bool {
	if i.MaintainedAt == 0 || i.MaintainedAt < w.decl.DeclaredAt {
		return false
	}
	if w.periodic() {
		return i.MaintainedAt+s.TouchedMillis > now
	}
	return w.decl.Selector.Matches(i)
}

// periodEnd returns the time by which periodic maintenance of the instance is
// required next. Instances that were not maintained or enrolled since PeriodicStart
// are spread evenly by a hash of their ID, so that their first periods do not all
// end at the same time.
func (s Settings) periodEnd(i model.Instance) clock.Millis {
	if i.MaintainedAt >= s.PeriodicStart && i.MaintainedAt > 0 {
		return i.MaintainedAt + s.PeriodMillis
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(i.ID))
	spread := uint64(max(s.PeriodMillis-s.MarginMillis, 1))
	return s.PeriodicStart + s.MarginMillis + clock.Millis(h.Sum64()%spread)
}

// inMaintenance reports whether maintenance of the instance has started. A
// release with another pool as its target is a move, not maintenance.
func inMaintenance(i model.Instance) bool {
	return i.Phase == model.PhaseMaintenance || (i.Phase == model.PhaseReleasing && i.Target == i.Pool)
}
