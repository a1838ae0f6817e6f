package maint

import (
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// customerState tracks the unavailable instances of one customer against the
// limits of its contract.
type customerState struct {
	contract model.Contract
	// pools lists the promised pools and the spare pool.
	pools []model.Pool
	// pressure is the permille of requests that were refused or late.
	pressure int
	// unavailable holds the customer's instances that are out of service.
	unavailable map[model.InstanceID]unavailability
	// domainCounts counts the instances that are in maintenance or lost, by
	// failure domain of the covered kind. Instances that are moving between
	// pools are left out: a move takes seconds and needs no reboot, so it counts
	// as unavailable but does not block maintenance in other domains.
	domainCounts map[string]int
	// byCause counts the unavailable instances by cause, total counts all of
	// them. Like domainCounts, both include the tentative releases of the
	// current pass.
	byCause [causeCount]int
	total   int
	// tentativeReleases is the number of releases decided in the current pass.
	tentativeReleases int
	// usedMillis caches the window sum computed at time usedAt; usedAt is -1
	// while the cache is invalid.
	usedAt     clock.Millis
	usedMillis clock.Millis
}

// cause is the reason why an instance is out of service.
type cause int

const (
	causeMaintenance cause = iota
	causeMove
	causeLoss
	causeCount
)

// unavailability describes one instance that is out of service.
type unavailability struct {
	cause  cause
	domain string
	// from is the time since which the instance has been out of service.
	from clock.Millis
}

func newCustomerState(c model.Contract) *customerState {
	a := &customerState{contract: c, unavailable: map[model.InstanceID]unavailability{}, domainCounts: map[string]int{}, usedAt: -1}
	for _, p := range c.Pools {
		a.pools = append(a.pools, p.Pool)
	}
	if c.SparePool != "" && !slices.Contains(a.pools, c.SparePool) {
		a.pools = append(a.pools, c.SparePool)
	}
	return a
}

// domainOf returns the name of the instance's failure domain, of the kind that
// the contract covers.
func (a *customerState) domainOf(i model.Instance) string {
	switch a.contract.Covers {
	case model.DomainZone:
		return string(i.Zone)
	case model.DomainRack:
		return string(i.Rack)
	default:
		return string(i.ID)
	}
}

func (a *customerState) add(i model.Instance, c cause, from clock.Millis) {
	a.usedAt = -1
	a.unavailable[i.ID] = unavailability{cause: c, domain: a.domainOf(i), from: from}
	a.adjust(a.domainOf(i), c, 1)
}

func (a *customerState) remove(id model.InstanceID) {
	if o, ok := a.unavailable[id]; ok {
		a.usedAt = -1
		delete(a.unavailable, id)
		a.adjust(o.domain, o.cause, -1)
	}
}

func (a *customerState) adjust(domain string, c cause, n int) {
	a.total += n
	a.byCause[c] += n
	if c == causeMove {
		return
	}
	a.domainCounts[domain] += n
	if a.domainCounts[domain] == 0 {
		delete(a.domainCounts, domain)
	}
}

// inOtherDomain reports whether an instance outside the given domain is in
// maintenance or lost.
func (a *customerState) inOtherDomain(domain string) bool {
	return len(a.domainCounts) > 1 || (len(a.domainCounts) == 1 && a.domainCounts[domain] == 0)
}

// lostInOtherDomain reports whether an instance outside the given domain is
// lost. Unlike inOtherDomain, it ignores planned maintenance.
func (a *customerState) lostInOtherDomain(domain string) bool {
	for _, o := range a.unavailable {
		if o.cause == causeLoss && o.domain != domain {
			return true
		}
	}
	return false
}

// windowUsed returns the time out of service in the budget window that ends
// now, plus the time that the open outages and tentative releases are expected
// to add. duration is the expected duration of one maintenance, finished returns
// the finished outages of a pool. A window that ends later contains no more past
// outages than this one, so a release that fits this window also fits all later
// ones.
func (a *customerState) windowUsed(now, duration clock.Millis, finished func(model.Pool) []Outage) clock.Millis {
	if a.usedAt != now {
		a.usedAt, a.usedMillis = now, 0
		start := now - a.contract.WindowMillis
		for _, p := range a.pools {
			for _, o := range finished(p) {
				a.usedMillis += max(0, o.To-max(o.From, start))
			}
		}
		for _, o := range a.unavailable {
			past := now - max(o.from, start)
			if o.cause == causeLoss {
				a.usedMillis += past + duration
				continue
			}
			a.usedMillis += max(past, duration)
		}
	}
	return a.usedMillis + clock.Millis(a.tentativeReleases)*duration
}

// windowFreeAt returns the earliest time at which finished outages totalling
// need have left the budget window, or 0 if the finished outages total less
// than need. Concurrent outages leave the window concurrently, so the time is
// found by binary search.
func (a *customerState) windowFreeAt(now, need clock.Millis, finished func(model.Pool) []Outage) clock.Millis {
	start := now - a.contract.WindowMillis
	freed := func(by clock.Millis) clock.Millis {
		sum := clock.Millis(0)
		for _, p := range a.pools {
			for _, o := range finished(p) {
				sum += max(0, min(o.To, by-a.contract.WindowMillis)-max(o.From, start))
			}
		}
		return sum
	}
	lo, hi := now, now+a.contract.WindowMillis
	if freed(hi) < need {
		return 0
	}
	for lo+1 < hi {
		if mid := lo + (hi-lo)/2; freed(mid) < need {
			lo = mid
		} else {
			hi = mid
		}
	}
	return hi
}
