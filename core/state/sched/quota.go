package sched

import (
	"fmt"
	"iter"
	"maps"
	"math"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// quotaNotePeriodMillis is how long no group of a customer must have been blocked before
// its wait counts as ended. A customer with more work than its quota allows is blocked
// again right after each start, and would fill the log otherwise.
const quotaNotePeriodMillis = 2 * clock.Second

// customer is what the leader knows of one customer. The names come from the
// configurations of the operators, so a customer is kept for the rest of the term.
type customer struct {
	name jobs.CustomerName
	// quota limits held. It is math.MaxInt for a resource without a limit. limited is
	// set if any resource has one.
	quota   jobs.Resources
	limited bool
	// held is the sum of the full resources of the customer's runs on all workers and
	// of the runs that a worker lists although they are not assigned to it. Only
	// addHeld and removeHeld change it.
	held jobs.Resources
	// blocked holds the groups that were found to wait for the quota, by pool; no list
	// is empty. Some of them may be allowed to start if the customer is in
	// Scheduler.unblocking, and none otherwise. blockedCount is the number of groups.
	blocked      map[*pool]*blockedGroups
	blockedCount int
	// blockedAt is when a group was last blocked. waitNoted is set from the note on
	// the beginning of a wait until the note on its end.
	blockedAt clock.Millis
	waitNoted bool
}

// customer returns the customer with the given name, and nil, which has no quota, for
// jobs without a customer.
func (s *Scheduler[P, H]) customer(name jobs.CustomerName) *customer {
	if name == "" {
		return nil
	}
	c := s.customers[name]
	if c == nil {
		c = &customer{name: name, blocked: map[*pool]*blockedGroups{}}
		c.setQuota(jobs.Resources{})
		s.customers[name] = c
	}
	return c
}

// readQuotas sets the quotas to those of the configuration. A customer that the
// configuration does not contain has none.
func (s *Scheduler[P, H]) readQuotas() {
	quotas := map[jobs.CustomerName]jobs.Resources{}
	for i := range s.State.Config.Customers {
		configured := &s.State.Config.Customers[i]
		quotas[configured.Name] = configured.Quota
		s.customer(configured.Name)
	}
	for name, c := range s.customers {
		c.setQuota(quotas[name])
		s.recheckBlocked(c)
	}
}

// setQuota sets the quota; 0 means no limit for a resource.
func (c *customer) setQuota(quota jobs.Resources) {
	c.limited = quota != jobs.Resources{}
	limit := func(amount int) int {
		if amount == 0 {
			return math.MaxInt
		}
		return amount
	}
	c.quota = jobs.Resources{MilliCores: limit(quota.MilliCores), MemoryMiB: limit(quota.MemoryMiB), Accelerators: limit(quota.Accelerators)}
}

// addHeld adds resources to what the customer holds.
func (s *Scheduler[P, H]) addHeld(c *customer, resources jobs.Resources) {
	if c != nil {
		c.held = c.held.Plus(resources)
	}
}

// removeHeld subtracts resources from what the customer holds.
func (s *Scheduler[P, H]) removeHeld(c *customer, resources jobs.Resources) {
	if c != nil {
		c.held = c.held.Minus(resources)
		s.recheckBlocked(c)
	}
}

// recheckBlocked makes the next pass check the blocked groups of a customer against its
// quota.
func (s *Scheduler[P, H]) recheckBlocked(c *customer) {
	if c.blockedCount > 0 {
		s.unblocking[c] = true
	}
}

// allows reports whether the quota lets a task, or a gang, start that needs the given
// resources: they fit in what is left of the quota, or the customer holds nothing. The
// latter lets work start that exceeds the quota by itself.
func (c *customer) allows(need jobs.Resources) bool { return c.allowsBeside(need, jobs.Resources{}) }

// allowsBeside reports the same if the customer held more in addition to what it holds.
func (c *customer) allowsBeside(need, more jobs.Resources) bool {
	if c == nil || !c.limited {
		return true
	}
	held := c.held.Plus(more)
	return held == jobs.Resources{} || need.FitsIn(c.quota.Minus(held))
}

// startable returns how many of the waiting tasks of a group the quota lets start if the
// customer held more in addition to what it holds.
func (c *customer) startable(g *taskGroup, more jobs.Resources) int {
	waiting := len(g.waiting)
	switch {
	case c == nil || !c.limited:
		return waiting
	case !c.allowsBeside(g.need, more):
		return 0
	case g.step.Gang:
		return waiting
	}
	left, n := c.quota.Minus(c.held.Plus(more)), waiting
	limit := func(left, need int) {
		if need > 0 {
			n = min(n, left/need)
		}
	}
	limit(left.MilliCores, g.need.MilliCores)
	limit(left.MemoryMiB, g.need.MemoryMiB)
	limit(left.Accelerators, g.need.Accelerators)
	// A single task that exceeds the quota may start while the customer holds nothing.
	return max(n, min(waiting, 1))
}

// quotaNeed returns what has to fit in the quota for a start: the full resources of one
// task, or of all tasks of a gang.
func quotaNeed(step *jobs.Step) jobs.Resources {
	if step.Gang {
		return times(step.Resources, step.TaskCount)
	}
	return step.Resources
}

func times(r jobs.Resources, n int) jobs.Resources {
	return jobs.Resources{MilliCores: r.MilliCores * n, MemoryMiB: r.MemoryMiB * n, Accelerators: r.Accelerators * n}
}

// heldBy returns what n tasks of the group hold.
func (g *taskGroup) heldBy(n int) jobs.Resources { return times(g.step.Resources, n) }

// withinQuota reports whether the quota of the group's customer lets the next task of
// the group start, or all tasks of a gang.
func (g *taskGroup) withinQuota() bool { return g.customer.allows(g.need) }

// reservable returns the number of waiting tasks of a group for which resources may be
// reserved: those that the quota lets start beside the tasks of higher rank for which
// resources are reserved.
func (p *pool) reservable(g *taskGroup) int { return g.customer.startable(g, p.promised[g.customer]) }

// promise counts n tasks of a group, for which resources are reserved, against the
// quota of the customer for the rest of the pass.
func (p *pool) promise(g *taskGroup, n int) {
	if g.customer == nil || !g.customer.limited {
		return
	}
	if p.promised == nil {
		p.promised = map[*customer]jobs.Resources{}
	}
	p.promised[g.customer] = p.promised[g.customer].Plus(g.heldBy(n))
}

// startableGroups iterates over the groups of a pool whose tasks wait for a worker and
// not for their quota, with the number of such tasks. The groups of one customer
// together have no more tasks than its quota lets start.
func (s *Scheduler[P, H]) startableGroups(p *pool) iter.Seq2[*taskGroup, int] {
	return func(yield func(*taskGroup, int) bool) {
		var counted map[*customer]jobs.Resources
		visit := func(g *taskGroup) bool {
			if !g.live() {
				return true
			}
			n := g.customer.startable(g, counted[g.customer])
			if n == 0 {
				return true
			}
			if g.customer != nil && g.customer.limited {
				if counted == nil {
					counted = map[*customer]jobs.Resources{}
				}
				counted[g.customer] = counted[g.customer].Plus(g.heldBy(n))
			}
			return yield(g, n)
		}
		for g := range p.groups.All() {
			if !visit(g) {
				return
			}
		}
		for c := range s.unblocking {
			list := c.blocked[p]
			if list == nil {
				continue
			}
			for g := range list.Matching(func(n blockedNeeds) bool { return c.allowsBeside(n.quota, counted[c]) }) {
				if !visit(g.taskGroup) {
					return
				}
			}
		}
	}
}

// hasWaiting reports whether tasks of a pool wait for a worker.
func (s *Scheduler[P, H]) hasWaiting(p *pool) bool {
	for g := range p.groups.All() {
		if g.live() && g.withinQuota() {
			return true
		}
	}
	for c := range s.unblocking {
		if list := c.blocked[p]; list != nil {
			for range list.Matching(func(n blockedNeeds) bool { return c.allows(n.quota) }) {
				return true
			}
		}
	}
	return false
}

// holdsAwaitedQuota reports whether the worker runs tasks of a customer of which others
// wait for the quota.
func (w *worker) holdsAwaitedQuota() bool {
	for _, r := range w.runs {
		if r.customer != nil && r.customer.blockedCount > 0 {
			return true
		}
	}
	return false
}

// countArrival counts the work of all steps of an occurrence as newly arrived in the
// pool. Of the work of a customer with a quota of processors it counts no more than what
// is left of the quota could do until the next update of the arrival rate.
func (s *Scheduler[P, H]) countArrival(p *pool, rec *jobs.Record) {
	c := s.customer(rec.Customer)
	work := clock.Millis(0)
	for i := range rec.Steps {
		if step := &rec.Steps[i]; c.allows(quotaNeed(step)) {
			work += finiteMilliCoreMillis(step, step.TaskCount, step.Estimate)
		}
	}
	if c != nil && c.quota.MilliCores < math.MaxInt {
		left := clock.Millis(max(0, c.quota.MilliCores-c.held.MilliCores)) * rebalancePeriodMillis
		work = min(work, max(0, left-p.newByCustomer[c]))
		p.newByCustomer[c] += work
	}
	p.newMilliCoreMillis += work
}

// noteQuotas adds a note when tasks of a customer begin to wait for its quota, and one
// when none has waited for quotaNotePeriodMillis.
func (s *Scheduler[P, H]) noteQuotas(now clock.Millis) {
	for _, c := range s.newWaits {
		if c.waitNoted = c.blockedCount > 0; c.waitNoted {
			s.noteFleet(DecisionQuotaWait, fmt.Sprintf("tasks of %d steps of customer %s wait for its quota: %s", c.blockedCount, c.name, c.explain()))
		}
	}
	s.newWaits = nil
	if now < s.quotasNotedAt+quotaNotePeriodMillis {
		return
	}
	s.quotasNotedAt = now
	for _, name := range slices.Sorted(maps.Keys(s.customers)) {
		if c := s.customers[name]; c.waitNoted && c.blockedCount == 0 && now-c.blockedAt >= quotaNotePeriodMillis {
			c.waitNoted = false
			s.noteFleet(DecisionQuotaWaitEnded, fmt.Sprintf("no task of customer %s waits for its quota: %s", name, c.explain()))
		}
	}
}

// explainWait describes why no task of a step starts within the quota.
func (c *customer) explainWait(step *jobs.Step) string {
	need, what := quotaNeed(step), "a task"
	if step.Gang {
		what = "the gang"
	}
	return fmt.Sprintf("the tasks of customer %s hold %s, and %s needs %d milli-cores, %d MiB, %d accelerators",
		c.name, c.explain(), what, need.MilliCores, need.MemoryMiB, need.Accelerators)
}

// explain describes for logs and reports what the customer holds of its quota.
func (c *customer) explain() string {
	text := ""
	add := func(held, quota int, unit string) {
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%d", held)
		if c.limited && quota < math.MaxInt {
			text += fmt.Sprintf(" of %d", quota)
		}
		text += " " + unit
	}
	add(c.held.MilliCores, c.quota.MilliCores, "milli-cores")
	add(c.held.MemoryMiB, c.quota.MemoryMiB, "MiB")
	add(c.held.Accelerators, c.quota.Accelerators, "accelerators")
	return text
}
