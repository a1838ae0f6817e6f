package trail

import (
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Measures are the three figures that operators weigh, taken from the time
// line and the present objects.
type Measures struct {
	// Rollouts lists the contract changes in the order of their versions.
	Rollouts []Rollout
	// MedianRollout and Worst are over the changes that are in force everywhere.
	MedianRollout  clock.Millis
	LongestRollout clock.Millis
	// Moves is the number of instances that changed pool.
	Moves int
	// FinishedMaintenances is the number of finished maintenances.
	FinishedMaintenances int
	Waves                []Wave
	// IdleInstances is the number of serving instances beyond what is promised: the
	// buffer.
	IdleInstances int
}

// Rollout is how long an accepted change took to be in force.
type Rollout struct {
	Version model.Version
	// Elapsed is the time until the last entry process had it; 0 while one
	// lacks it.
	Elapsed clock.Millis
	// Missing lists the entry processes that have not reported it.
	Missing []model.Process
}

// Wave is how far a declared maintenance is.
type Wave struct {
	Name string
	// Maintained and All count the selected instances.
	Maintained int
	Selected   int
	// Elapsed is the time from the declaration to the last return, or to now
	// while instances are left.
	Elapsed clock.Millis
}

// Measure computes the figures. Events must be in causal order, as Merge
// returns them; changes whose events were dropped are left out.
func Measure(o CurrentState, events []model.Event) Measures {
	var m Measures
	for i, e := range events {
		switch e.Kind {
		case model.EventChange:
			if e.Customer != "" {
				m.Rollouts = append(m.Rollouts, rollout(o, e, events[i:]))
			}
		case model.EventMoved:
			m.Moves++
		case model.EventMaintained:
			m.FinishedMaintenances++
		}
	}
	m.MedianRollout, m.LongestRollout = spread(m.Rollouts)
	for _, name := range slices.Sorted(maps.Keys(o.Maintenance)) {
		m.Waves = append(m.Waves, wave(o, o.Maintenance[name]))
	}
	m.IdleInstances = idle(o)
	return m
}

func rollout(o CurrentState, change model.Event, after []model.Event) Rollout {
	r := Rollout{Version: change.Version}
	missing := map[model.Process]bool{}
	for _, p := range o.Processes {
		missing[p.Name] = true
	}
	for _, e := range after {
		if e.Kind == model.EventTable && e.Version >= change.Version && missing[e.Process] {
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

func spread(all []Rollout) (median, worst clock.Millis) {
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

func wave(o CurrentState, m model.Maintenance) Wave {
	w := Wave{Name: m.Name}
	last := m.DeclaredAt
	for _, i := range o.Instances {
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
		last = o.Now
	}
	w.Elapsed = last - m.DeclaredAt
	return w
}

// idle counts the serving instances beyond the promise of their pools. Spare
// instances are all idle, as nothing is promised in a spare pool.
func idle(o CurrentState) int {
	promised := map[model.Pool]int{}
	for _, c := range o.Contracts {
		for _, p := range c.Pools {
			promised[p.Pool] += p.Instances
		}
	}
	have := map[model.Pool]int{}
	for _, i := range o.Instances {
		if !i.OutOfService() && i.Phase == model.PhaseServing {
			have[i.Pool]++
		}
	}
	n := 0
	for p, h := range have {
		n += max(0, h-promised[p])
	}
	return n
}
