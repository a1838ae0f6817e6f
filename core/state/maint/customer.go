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
	// unservedPermille is the share of requests that were not served.
	unservedPermille int
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
	// tentativeReleases is the number of the customer's releases decided in the
	// current pass.
	tentativeReleases int
	// usedMillis caches the sum that windowUsed computed at the time usedAt, without
	// tentative releases; usedAt is -1 while the cache is invalid.
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
	cs := &customerState{contract: c, unavailable: map[model.InstanceID]unavailability{}, domainCounts: map[string]int{}, usedAt: -1}
	for _, p := range c.Pools {
		cs.pools = append(cs.pools, p.Pool)
	}
	if c.SparePool != "" && !slices.Contains(cs.pools, c.SparePool) {
		cs.pools = append(cs.pools, c.SparePool)
	}
	return cs
}

// domainOf returns the name of the instance's failure domain, of the kind that
// the contract covers.
func (cs *customerState) domainOf(i model.Instance) string {
	switch cs.contract.Covers {
	case model.DomainZone:
		return string(i.Zone)
	case model.DomainRack:
		return string(i.Rack)
	default:
		return string(i.ID)
	}
}

func (cs *customerState) add(i model.Instance, c cause, from clock.Millis) {
	cs.usedAt = -1
	cs.unavailable[i.ID] = unavailability{cause: c, domain: cs.domainOf(i), from: from}
	cs.adjust(cs.domainOf(i), c, 1)
}

func (cs *customerState) remove(id model.InstanceID) {
	if u, ok := cs.unavailable[id]; ok {
		cs.usedAt = -1
		delete(cs.unavailable, id)
		cs.adjust(u.domain, u.cause, -1)
	}
}

func (cs *customerState) adjust(domain string, c cause, n int) {
	cs.total += n
	cs.byCause[c] += n
	if c == causeMove {
		return
	}
	cs.domainCounts[domain] += n
	if cs.domainCounts[domain] == 0 {
		delete(cs.domainCounts, domain)
	}
}

// disruptedInOtherDomain reports whether an instance outside the given domain is
// in maintenance or lost.
func (cs *customerState) disruptedInOtherDomain(domain string) bool {
	return len(cs.domainCounts) > 1 || (len(cs.domainCounts) == 1 && cs.domainCounts[domain] == 0)
}

// lostInOtherDomain reports whether an instance outside the given domain is
// lost. Unlike disruptedInOtherDomain, it ignores instances in maintenance, even if
// they are lost too.
func (cs *customerState) lostInOtherDomain(domain string) bool {
	for _, u := range cs.unavailable {
		if u.cause == causeLoss && u.domain != domain {
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
func (cs *customerState) windowUsed(now, duration clock.Millis, finished func(model.Pool) []Outage) clock.Millis {
	if cs.usedAt != now {
		cs.usedAt, cs.usedMillis = now, 0
		start := now - cs.contract.WindowMillis
		for _, p := range cs.pools {
			for _, o := range finished(p) {
				cs.usedMillis += max(0, o.To-max(o.From, start))
			}
		}
		for _, u := range cs.unavailable {
			past := now - max(u.from, start)
			if u.cause == causeLoss {
				// The end of a loss is unknown: assume that the instance stays out
				// of service for another duration.
				cs.usedMillis += past + duration
				continue
			}
			cs.usedMillis += max(past, duration)
		}
	}
	return cs.usedMillis + clock.Millis(cs.tentativeReleases)*duration
}

// windowFreeAt returns the earliest time at which finished outages totalling
// need have left the budget window, or 0 if the finished outages total less
// than need. Outages that overlap leave the window together, so the time cannot
// be found by adding up one outage after the other. The freed time never
// decreases, so a binary search finds it.
func (cs *customerState) windowFreeAt(now, need clock.Millis, finished func(model.Pool) []Outage) clock.Millis {
	start := now - cs.contract.WindowMillis
	freed := func(by clock.Millis) clock.Millis {
		sum := clock.Millis(0)
		for _, p := range cs.pools {
			for _, o := range finished(p) {
				sum += max(0, min(o.To, by-cs.contract.WindowMillis)-max(o.From, start))
			}
		}
		return sum
	}
	lo, hi := now, now+cs.contract.WindowMillis
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
