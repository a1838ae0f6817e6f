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
	// they cover about the last three minutes. The wave planner gets these counts
	// and not those of the latest interval, because a load peak is shorter than the
	// maintenance of an instance.
	loadDecay = 0.97
	// minRequests is the number of requests below which the share of failed
	// requests counts as 0.
	minRequests = 20
)

// loadTotals holds the sums of the load reports of all entry processes. They decay
// by loadDecay.
type loadTotals struct {
	customers map[model.Customer]requestCount
	instances map[model.InstanceID]requestCount
	// updatedAt is the time of the last update of the wave planner.
	updatedAt clock.Millis
}

// requestCount counts all requests and the failed ones of a customer or an
// instance. Failed requests of a customer are those that were not served.
type requestCount struct{ total, failed float64 }

func newLoadTotals() loadTotals {
	return loadTotals{customers: map[model.Customer]requestCount{}, instances: map[model.InstanceID]requestCount{}}
}

// add adds the counts of one load report.
func (t *loadTotals) add(report model.LoadReport) {
	for _, c := range report.Customers {
		n := t.customers[c.Customer]
		t.customers[c.Customer] = requestCount{n.total + float64(c.Requests), n.failed + float64(c.Unserved)}
	}
	for _, i := range report.Instances {
		n := t.instances[i.Instance]
		t.instances[i.Instance] = requestCount{n.total + float64(i.Calls), n.failed + float64(i.Failures)}
	}
}

// failedPermille returns the share of failed requests in permille, or 0 when there
// are fewer than minRequests requests.
func (c requestCount) failedPermille() int {
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

// observeLoad passes each customer's share of unserved requests and each instance's
// request and failure counts to the wave planner. Waves slow down while many
// requests are not served, and stop when maintained instances fail more often than
// their peers.
func (m *Mover[G, P, C, J, A, S]) observeLoad(now clock.Millis) {
	t := &m.load
	if now-t.updatedAt < loadInterval {
		return
	}
	t.updatedAt = now
	for name := range m.table.Contracts {
		m.Waves.SetUnservedPermille(name, t.customers[name].failedPermille())
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
