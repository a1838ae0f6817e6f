package maint

import (
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// account is what one customer's contract allows and has used.
type account struct {
	contract model.Contract
	// pools lists the promised pools and the spare pool.
	pools    []model.Pool
	pressure int
	// out holds the customer's instances that are out of service.
	out map[model.InstanceID]absence
	// domains counts the maintained and the lost ones by covered failure
	// domain. A move takes seconds and its end does not depend on a reboot, so
	// it counts as unavailable but does not hold up a whole domain's
	// maintenance.
	domains map[string]int
	// by counts out by cause and count in total. All of them include the
	// tentative releases of a pass.
	by    [causes]int
	count int
	// tentative is the number of releases decided in the current pass.
	tentative int
	// spentAt and spent cache the window's sum during one pass.
	spentAt clock.Millis
	spent   clock.Millis
}

// cause is why an instance is out of service.
type cause int

const (
	causeMaintenance cause = iota
	causeMove
	causeLoss
	causes
)

// absence is an instance out of service.
type absence struct {
	cause  cause
	domain string
	from   clock.Millis
}

func newAccount(c model.Contract) *account {
	a := &account{contract: c, out: map[model.InstanceID]absence{}, domains: map[string]int{}, spentAt: -1}
	for _, p := range c.Pools {
		a.pools = append(a.pools, p.Pool)
	}
	if c.SparePool != "" && !slices.Contains(a.pools, c.SparePool) {
		a.pools = append(a.pools, c.SparePool)
	}
	return a
}

// domainOf names the failure domain of the kind that the contract covers.
func (a *account) domainOf(i model.Instance) string {
	switch a.contract.Covers {
	case model.DomainZone:
		return string(i.Zone)
	case model.DomainRack:
		return string(i.Rack)
	default:
		return string(i.ID)
	}
}

func (a *account) add(i model.Instance, c cause, from clock.Millis) {
	a.spentAt = -1
	a.out[i.ID] = absence{cause: c, domain: a.domainOf(i), from: from}
	a.shift(a.domainOf(i), c, 1)
}

func (a *account) remove(id model.InstanceID) {
	if o, ok := a.out[id]; ok {
		a.spentAt = -1
		delete(a.out, id)
		a.shift(o.domain, o.cause, -1)
	}
}

func (a *account) shift(domain string, c cause, n int) {
	a.count += n
	a.by[c] += n
	if c == causeMove {
		return
	}
	a.domains[domain] += n
	if a.domains[domain] == 0 {
		delete(a.domains, domain)
	}
}

// elsewhere reports whether an instance of another domain is maintained or lost.
func (a *account) elsewhere(domain string) bool {
	return len(a.domains) > 1 || (len(a.domains) == 1 && a.domains[domain] == 0)
}

// lostElsewhere is like elsewhere, for unplanned losses only.
func (a *account) lostElsewhere(domain string) bool {
	for _, o := range a.out {
		if o.cause == causeLoss && o.domain != domain {
			return true
		}
	}
	return false
}

// used returns the time out of service in the window that ends now, together
// with what the open outages are expected to add. Windows that end later hold
// no more of the past, so a release that fits here fits in each of them.
func (a *account) used(now, step clock.Millis, closed func(model.Pool) []Outage) clock.Millis {
	if a.spentAt != now {
		a.spentAt, a.spent = now, 0
		start := now - a.contract.WindowMillis
		for _, p := range a.pools {
			for _, o := range closed(p) {
				a.spent += max(0, o.To-max(o.From, start))
			}
		}
		for _, o := range a.out {
			past := now - max(o.from, start)
			if o.cause == causeLoss {
				a.spent += past + step
				continue
			}
			a.spent += max(past, step)
		}
	}
	return a.spent + clock.Millis(a.tentative)*step
}

// frees returns when the passing of time alone has freed need in the window;
// 0 when the closed outages do not suffice. Outages that ran side by side
// leave the window side by side, so the time is searched for.
func (a *account) frees(now, need clock.Millis, closed func(model.Pool) []Outage) clock.Millis {
	start := now - a.contract.WindowMillis
	freed := func(by clock.Millis) clock.Millis {
		sum := clock.Millis(0)
		for _, p := range a.pools {
			for _, o := range closed(p) {
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
