package roles

import (
	"github.com/rcrowley/go-metrics"

	"camphorridge/core/state/sched"
	"camphorridge/io/trans/admin"
)

const (
	// maxNamedCustomers is the largest number of customers that each metric by customer
	// names. It bounds the number of series that a scraper keeps.
	maxNamedCustomers = 50
	// otherCustomers is the label of the sum over the customers that are not named.
	otherCustomers = "other"
)

// customerGauge is a metric by customer.
type customerGauge struct {
	name  string
	value func(sched.CustomerReport) int
}

var customerGauges = []customerGauge{
	{"customer-held-milli-cores", func(c sched.CustomerReport) int { return c.Held.MilliCores }},
	{"customer-held-memory-mib", func(c sched.CustomerReport) int { return c.Held.MemoryMiB }},
	{"customer-held-accelerators", func(c sched.CustomerReport) int { return c.Held.Accelerators }},
	{"customer-waiting-tasks", func(c sched.CustomerReport) int { return c.WaitingTasks }},
}

// registerCustomerGauges registers the metrics by customer. reports returns the reports on
// all customers, sorted by name. It panics as registerCounters does.
func registerCustomerGauges(r metrics.Registry, reports func() []sched.CustomerReport) {
	for _, g := range customerGauges {
		values := func() []admin.LabelledValue { return labelCustomers(reports(), g.value) }
		if err := admin.RegisterGaugeVector(r, g.name, "customer", values); err != nil {
			panic(err)
		}
	}
}

// labelCustomers returns the values of the first maxNamedCustomers reports by name, and the
// sum of the others' as otherCustomers. A customer of that name counts as one of the others,
// because two values must not have the same label.
func labelCustomers(reports []sched.CustomerReport, value func(sched.CustomerReport) int) []admin.LabelledValue {
	var all []admin.LabelledValue
	others, sum := 0, int64(0)
	for _, c := range reports {
		if c.Name != otherCustomers && len(all) < maxNamedCustomers {
			all = append(all, admin.LabelledValue{Label: string(c.Name), Value: int64(value(c))})
			continue
		}
		others++
		sum += int64(value(c))
	}
	if others > 0 {
		all = append(all, admin.LabelledValue{Label: otherCustomers, Value: sum})
	}
	return all
}
