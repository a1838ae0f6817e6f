package trail

import (
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Measures holds the figures that operators trade off against each other: the time
// until contract changes take effect, the moves and maintenance of instances, and
// the buffer of idle instances.
type Measures struct {
	// Rollouts lists the rollouts of contract changes in the order of the events that
	// report the changes.
	Rollouts []Rollout
	// MedianRollout and LongestRollout are the median and the longest rollout
	// time of the changes that are in effect on all entry processes.
	MedianRollout  clock.Millis
	LongestRollout clock.Millis
	// Moves is the number of moves of an instance to another pool.
	Moves int
	// FinishedMaintenances is the number of finished maintenances of instances.
	FinishedMaintenances int
	// Waves lists the declared maintenances in the order of their names.
	Waves []WaveProgress
	// IdleInstances is the size of the buffer: the number of serving instances
	// beyond the promised number.
	IdleInstances int
}

// Rollout describes how long an accepted contract change took to take effect.
type Rollout struct {
	Version model.Version
	// Elapsed is the time from the change until the last entry process applied it;
	// 0 while Missing is not empty.
	Elapsed clock.Millis
	// Missing lists the entry processes that have not reported the change as
	// applied.
	Missing []model.Process
}

// WaveProgress describes the progress of a declared maintenance.
type WaveProgress struct {
	Name string
	// Selected is the number of instances that the maintenance selects. Maintained
	// is the number of those that have returned from it; instances that were
	// enrolled after the declaration count as maintained.
	Maintained int
	Selected   int
	// Elapsed is the time from the declaration until the last instance returned
	// from maintenance, or until now while instances remain.
	Elapsed clock.Millis
}

// Measure computes the Measures of the fleet. The events must be in causal order,
// as returned by Merge. Changes, moves and finished maintenances whose events were
// dropped from the log are not included.
func Measure(state CurrentState, events []model.Event) Measures {
	var m Measures
	for i, e := range events {
		switch e.Kind {
		case model.EventChangeApplied:
			if e.Customer != "" {
				m.Rollouts = append(m.Rollouts, measureRollout(state, e, events[i:]))
			}
		case model.EventMoved:
			m.Moves++
		case model.EventMaintained:
			m.FinishedMaintenances++
		}
	}
	m.MedianRollout, m.LongestRollout = medianAndLongest(m.Rollouts)
	for _, name := range slices.Sorted(maps.Keys(state.Maintenance)) {
		m.Waves = append(m.Waves, measureWave(state, state.Maintenance[name]))
	}
	m.IdleInstances = idleInstances(state)
	return m
}

// measureRollout measures the rollout of a contract change. It finds, in the events
// after the change, those with which the entry processes report that they have applied
// the change or a later one.
func measureRollout(state CurrentState, change model.Event, after []model.Event) Rollout {
	r := Rollout{Version: change.Version}
	missing := map[model.Process]bool{}
	for _, p := range state.Processes {
		missing[p.Name] = true
	}
	for _, e := range after {
		if e.Kind == model.EventTableInForce && e.Version >= change.Version && missing[e.Process] {
			delete(missing, e.Process)
			r.Elapsed = max(r.Elapsed, e.Stamp.Wall-change.Stamp.Wall)
		}
	}
	if len(missing) > 0 {
		r.Elapsed = 0
		r.Missing = slices.Sorted(maps.Keys(missing))
	}
	return r
}

// medianAndLongest returns the median and the longest time of the complete rollouts,
// or 0 if there are none.
func medianAndLongest(all []Rollout) (median, longest clock.Millis) {
	var times []clock.Millis
	for _, r := range all {
		if len(r.Missing) == 0 {
			times = append(times, r.Elapsed)
		}
	}
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)-1]
}

// measureWave counts the instances that a declared maintenance selects and those of
// them that were maintained or enrolled since the declaration. Retired instances are
// not counted.
func measureWave(state CurrentState, m model.Maintenance) WaveProgress {
	w := WaveProgress{Name: m.Name}
	last := m.DeclaredAt
	for _, i := range state.Instances {
		if !m.Selector.Matches(i) || i.Phase == model.PhaseRetired {
			continue
		}
		w.Selected++
		if i.MaintainedAt >= m.DeclaredAt {
			w.Maintained++
			last = max(last, i.MaintainedAt)
		}
	}
	if w.Maintained < w.Selected {
		last = state.Now
	}
	w.Elapsed = last - m.DeclaredAt
	return w
}

// idleInstances returns the sum over all pools of the serving instances beyond the
// number that the contracts promise in the pool. Lost instances do not count as
// serving. In a pool that is only a spare pool, all serving instances count as idle,
// because contracts promise no instances in it.
func idleInstances(state CurrentState) int {
	promised := map[model.Pool]int{}
	for _, c := range state.Contracts {
		for _, p := range c.Pools {
			promised[p.Pool] += p.Instances
		}
	}
	serving := map[model.Pool]int{}
	for _, i := range state.Instances {
		if !i.OutOfService() && i.Phase == model.PhaseServing {
			serving[i.Pool]++
		}
	}
	n := 0
	for pool, count := range serving {
		n += max(0, count-promised[pool])
	}
	return n
}
