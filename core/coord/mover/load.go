package mover

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/maint"
	"camphorridge/core/state/model"
)

const (
	// loadInterval is the time between two updates of the wave planner.
	loadInterval = 5 * clock.Second
	// loadDecay is the factor applied to the counts after each update, so that
	// they cover about the last three minutes. Counts of the latest interval alone
	// had no effect on the waves, because a load peak is shorter than a
	// maintenance.
	loadDecay = 0.97
	// minRequests is the number of requests below which the share of unserved
	// requests counts as 0.
	minRequests = 20
)

// loadTotals holds decaying sums of the load reports of all entry processes.
type loadTotals struct {
	customers map[model.Customer]requestCount
	instances map[model.InstanceID]requestCount
	// updatedAt is the time of the last update of the wave planner.
	updatedAt clock.Millis
}

// requestCount counts requests and, as failed, the unserved requests of a customer
// or the failed requests of an instance.
type requestCount struct{ total, failed float64 }

func newLoadTotals() loadTotals {
	return loadTotals{customers: map[model.Customer]requestCount{}, instances: map[model.InstanceID]requestCount{}}
}

// add adds the counts of one load report.
func (t *loadTotals) add(x model.LoadReport) {
	for _, c := range x.Customers {
		n := t.customers[c.Customer]
		t.customers[c.Customer] = requestCount{n.total + float64(c.Requests), n.failed + float64(c.Unserved)}
	}
	for _, i := range x.Instances {
		n := t.instances[i.Instance]
		t.instances[i.Instance] = requestCount{n.total + float64(i.Calls), n.failed + float64(i.Failures)}
	}
}

// permille returns the share of requests counted as failed in permille, or 0 when
// there are fewer than minRequests.
func (c requestCount) permille() int {
	if c.total < minRequests {
		return 0
	}
	return int(1000 * min(c.failed/c.total, 1))
}

// decay multiplies the counts by loadDecay and deletes those below 1.
func decay[K comparable](m map[K]requestCount) {
	for k, c := range m {
		c.total, c.failed = c.total*loadDecay, c.failed*loadDecay
		if c.total < 1 {
			delete(m, k)
			continue
		}
		m[k] = c
	}
}

// observeLoad passes the shares of unserved requests of customers and the failure
// counts of instances to the wave planner, so that waves slow down while many
// requests are unserved, and stop when maintained instances fail more than their
// peers.
func (m *Mover[G, P, C, J, A, S]) observeLoad(now clock.Millis) {
	t := &m.load
	if now-t.updatedAt < loadInterval {
		return
	}
	t.updatedAt = now
	for name := range m.table.Contracts {
		m.Waves.SetUnservedPermille(name, t.customers[name].permille())
	}
	for id, c := range t.instances {
		o := m.observed[id]
		o.Calls, o.Failures = int64(c.total), int64(c.failed)
		m.setObservation(id, o)
	}
	decay(t.customers)
	decay(t.instances)
}

// withLoad returns the new observation o with the request counts of the old one.
func withLoad(old, o maint.Observation) maint.Observation {
	o.Calls, o.Failures = old.Calls, old.Failures
	return o
}
