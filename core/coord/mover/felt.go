package mover

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/maint"
	"camphorridge/core/state/model"
)

// Timing of what callers felt.
const (
	// feltInterval separates two updates of the board.
	feltInterval = 5 * clock.Second
	// feltDecay is what remains of the counts after each update, so that they
	// cover about the last three minutes: peaks are shorter than a maintenance,
	// and their pressure alone made no difference to the waves.
	feltDecay = 0.97
	// feltLeast is the number of requests below which nothing is concluded.
	feltLeast = 20
)

// feeling sums what callers felt lately, over all entry processes.
type feeling struct {
	customers map[model.Customer]count
	instances map[model.InstanceID]count
	at        clock.Millis
}

type count struct{ all, bad float64 }

func newFeeling() feeling {
	return feeling{customers: map[model.Customer]count{}, instances: map[model.InstanceID]count{}}
}

func (f *feeling) add(x model.LoadReport) {
	for _, c := range x.Customers {
		n := f.customers[c.Customer]
		f.customers[c.Customer] = count{n.all + float64(c.Requests), n.bad + float64(c.Impaired)}
	}
	for _, i := range x.Instances {
		n := f.instances[i.Instance]
		f.instances[i.Instance] = count{n.all + float64(i.Calls), n.bad + float64(i.Failures)}
	}
}

// permille is the share of bad requests, or 0 when there are too few.
func (c count) permille() int {
	if c.all < feltLeast {
		return 0
	}
	return int(1000 * min(c.bad/c.all, 1))
}

// decay forgets a part of the counts and drops those that are nearly gone.
func decay[K comparable](m map[K]count) {
	for k, c := range m {
		c.all, c.bad = c.all*feltDecay, c.bad*feltDecay
		if c.all < 1 {
			delete(m, k)
			continue
		}
		m[k] = c
	}
}

// seeFelt tells the board what callers feel and how the instances fare, so
// that waves slow down, or stop when what they touched fails more than its
// peers.
func (m *Mover[G, P, C, J, A, S]) seeFelt(now clock.Millis) {
	f := &m.felt
	if now-f.at < feltInterval {
		return
	}
	f.at = now
	for name := range m.table.Contracts {
		m.Waves.SetFailurePermille(name, f.customers[name].permille())
	}
	for id, c := range f.instances {
		s := m.seen[id]
		s.Calls, s.Failures = int64(c.all), int64(c.bad)
		m.see(id, s)
	}
	decay(f.customers)
	decay(f.instances)
}

// keep carries the counts over to what is newly known of an instance.
func keep(old, s maint.Observation) maint.Observation {
	s.Calls, s.Failures = old.Calls, old.Failures
	return s
}
