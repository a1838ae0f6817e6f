package sched

import (
	"cmp"
	"maps"
	"slices"

	"camphorridge/core/state/jobs"
)

// CustomerReport describes what a customer holds and waits for. It has no key and no
// digest of one, because reports are shown to operators and in metrics.
type CustomerReport struct {
	Name jobs.CustomerName
	// Configured is set for a customer of the configuration. One that was removed from
	// it is reported while it has runs or waiting tasks, without a weight or a quota.
	Configured     bool
	WeightPermille int
	// Quota limits Held; 0 means no limit for a resource.
	Quota jobs.Resources
	// Held is the sum over the customer's runs.
	Held jobs.Resources
	// WaitingTasks counts the tasks that are due, whose earlier steps are done, and that
	// are not assigned to a worker.
	WaitingTasks int
}

// Customers returns a report on each customer of the configuration and on each other one
// that has runs or waiting tasks, sorted by name. Jobs without a customer are left out.
// It reads all groups of waiting tasks.
func (s *Scheduler[P, H]) Customers() []CustomerReport {
	byName := map[jobs.CustomerName]*CustomerReport{}
	report := func(name jobs.CustomerName) *CustomerReport {
		if byName[name] == nil {
			byName[name] = &CustomerReport{Name: name}
		}
		return byName[name]
	}
	for _, c := range s.State.Config.Customers {
		*report(c.Name) = CustomerReport{Name: c.Name, Configured: true, WeightPermille: c.WeightPermille, Quota: c.Quota}
	}
	for name, c := range s.customers {
		if c.held != (jobs.Resources{}) {
			report(name).Held = c.held
		}
	}
	for name, tasks := range s.waitingByCustomer() {
		report(name).WaitingTasks = tasks
	}
	reports := make([]CustomerReport, 0, len(byName))
	for r := range maps.Values(byName) {
		reports = append(reports, *r)
	}
	slices.SortFunc(reports, func(x, y CustomerReport) int { return cmp.Compare(x.Name, y.Name) })
	return reports
}

// waitingByCustomer returns the number of waiting tasks of each customer that may start.
func (s *Scheduler[P, H]) waitingByCustomer() map[jobs.CustomerName]int {
	waiting := map[jobs.CustomerName]int{}
	for _, p := range s.pools {
		for _, g := range p.groupByStep {
			if g.live() && g.rec.Customer != "" {
				waiting[g.rec.Customer] += len(g.waiting)
			}
		}
	}
	return waiting
}
