package runner

import (
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/sched"
)

// maxListedCustomers is the largest number of customers in an answer to CallCustomers.
const maxListedCustomers int = 1000

// CustomerStatus is a customer of the job service in an answer to CallCustomers.
type CustomerStatus struct {
	sched.CustomerReport
	// ForeignJobCalls counts the calls with a key of this customer that were refused
	// because their job belongs to another customer, since this process has known the
	// customer.
	ForeignJobCalls int64
}

// Customers returns the report on each customer that is at most loadPeriod old; nil while
// this process does not lead or before the first report. It must not be modified.
func (r *Runner[G, M, O, J]) Customers() []sched.CustomerReport {
	if p := r.publishedCustomers.Load(); p != nil {
		return *p
	}
	return nil
}

// publishCustomers makes the reports on all customers available to Customers.
func (r *Runner[G, M, O, J]) publishCustomers() {
	if !r.scheduler.State.Config.RequiresKeys {
		// There are no customers, but the scan of all runs and waiting tasks would cost
		// the same.
		r.publishedCustomers.Store(nil)
		return
	}
	r.publishedCustomers.Store(new(r.scheduler.Customers()))
}

// listCustomers returns the answer to CallCustomers.
func (r *Runner[G, M, O, J]) listCustomers() Answer {
	reports := r.scheduler.Customers()
	a := Answer{Count: len(reports), UnknownKeyCalls: r.counts.UnknownKeyCalls}
	for _, report := range reports[:min(len(reports), maxListedCustomers)] {
		a.Customers = append(a.Customers, CustomerStatus{CustomerReport: report, ForeignJobCalls: r.foreignJobCalls[report.Name]})
	}
	return a
}

// countUnauthorized counts a call that is refused because of its key. The customer is the
// one that has the key, empty if none has it.
func (r *Runner[G, M, O, J]) countUnauthorized(customer jobs.CustomerName) {
	r.counts.UnauthorizedCalls++
	if customer == "" {
		r.counts.UnknownKeyCalls++
		return
	}
	r.counts.ForeignJobCalls++
	r.foreignJobCalls[customer]++
}

// forgetCustomers drops the counts of customers that the configuration does not have, so
// that their number stays bounded.
func (r *Runner[G, M, O, J]) forgetCustomers() {
	configured := map[jobs.CustomerName]bool{}
	for _, c := range r.scheduler.State.Config.Customers {
		configured[c.Name] = true
	}
	for name := range r.foreignJobCalls {
		if !configured[name] {
			delete(r.foreignJobCalls, name)
		}
	}
}
