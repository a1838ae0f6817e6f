package plan

import (
	"math"

	"camphorridge/core/state/clock"
)

// costs estimates what each action for a pool costs until the peak is over and
// the requests that queued during it are served.
func (s *surge) costs(p Pool) Costs {
	c := Costs{Lend: math.Inf(1), Move: math.Inf(1)}
	remaining := s.remainingPeak(p)
	c.Queue = s.waitCost(p, 0, remaining)
	h := s.holdings[p]
	wanted := int(math.Ceil(s.excess(p) / float64(h.SlotsPerInstance)))
	available := min(s.lendable(h.Spare), s.available(h.Spare))
	for n := 1; n <= min(wanted, available); n++ {
		cost := s.waitCost(p, n, remaining) + float64(n)*(2*s.w.MoveCost+s.w.BufferCost*s.absenceSeconds(remaining))
		if cost < c.Lend {
			c.Lend, c.LendCount = cost, n
		}
	}
	for _, d := range s.donors(p) {
		for n := 1; n <= min(wanted, s.donatable(d)); n++ {
			cost := s.waitCost(p, n, remaining) + float64(n)*2*s.w.MoveCost + s.donorRisk(d, n, remaining)
			if cost < c.Move {
				c.Move, c.MoveCount, c.Donor = cost, n, d
			}
		}
	}
	return c
}

// remainingPeak returns how long the peak is expected to last from now. A peak
// that has lasted PeakMillis or longer is expected to last as long again.
func (s *surge) remainingPeak(p Pool) clock.Millis {
	age := clock.Millis(0)
	if since := s.demand[p].HighSince; since > 0 {
		age = s.now - since
	}
	if age < s.w.PeakMillis {
		return s.w.PeakMillis - age
	}
	return age
}

// absenceSeconds returns for how many seconds an instance that is lent or moved
// now is absent from its pool, given the remaining duration of the peak.
func (s *surge) absenceSeconds(remaining clock.Millis) float64 {
	return float64(max(remaining, s.w.MoveMillis)+s.w.ReturnDelayMillis+s.w.MoveMillis) / 1000
}

// waitCost returns the cost of waiting and refused requests if n instances are
// added after MoveMillis. The queue grows or shrinks with the excess until the peak
// ends; after that all slots of the pool serve the queue.
func (s *surge) waitCost(p Pool, n int, remaining clock.Millis) float64 {
	d, h := s.demand[p], s.holdings[p]
	serviceSeconds := float64(d.ServiceMillis) / 1000
	waiting, waitSeconds, refused := d.Waiting, 0.0, 0.0
	phase := func(excess, seconds float64) {
		if seconds <= 0 {
			return
		}
		end := max(0, waiting+excess/serviceSeconds*seconds)
		if overflow := end - d.QueueLimit; d.QueueLimit > 0 && overflow > 0 {
			refused += overflow
			end = d.QueueLimit
		}
		waitSeconds += (waiting + end) / 2 * seconds
		waiting = end
	}
	excess := s.excess(p)
	leadMillis := min(remaining, s.w.MoveMillis)
	if n == 0 {
		leadMillis = remaining
	}
	phase(excess, float64(leadMillis)/1000)
	phase(excess-float64(n*h.SlotsPerInstance), float64(remaining-leadMillis)/1000)
	if remaining <= leadMillis {
		// The instances would arrive after the peak, when only the queue is
		// left to serve. They are not counted.
		n = 0
	}
	slots := float64(max(1, (h.Instances+n)*h.SlotsPerInstance))
	waitSeconds += waiting * waiting * serviceSeconds / slots / 2
	return waitSeconds*s.w.WaitCost + refused*s.w.RefuseCost
}

// donatable returns how many more promised instances a pool can give up to others
// so that its demand stays within LowPercent of its remaining capacity; at least
// one instance remains. It returns 0 if the demand is unknown or exceeds the slots.
func (s *surge) donatable(p Pool) int {
	h := s.holdings[p]
	d, ok := s.demand[p]
	if !ok || s.excess(p) > 0 {
		return 0
	}
	needed := int(math.Ceil(d.NeededSlots * 100 / float64(max(1, s.w.LowPercent)*h.SlotsPerInstance)))
	return max(0, min(h.Instances, h.Promised)-s.away[p]-max(needed, 1))
}

// donorRisk returns the expected cost of a peak at the donor p while n of its
// instances are absent. Services peak in turn, so the probability of such a peak
// is proportional to the time of absence.
func (s *surge) donorRisk(p Pool, n int, remaining clock.Millis) float64 {
	if s.w.PeakIntervalMillis <= 0 {
		return 0
	}
	absenceMillis := s.absenceSeconds(remaining) * 1000
	probability := min(1, absenceMillis/float64(s.w.PeakIntervalMillis))
	missingSlots := float64(n * s.holdings[p].SlotsPerInstance)
	serviceSeconds := float64(max(s.demand[p].ServiceMillis, 1)) / 1000
	peakSeconds := float64(s.w.PeakMillis) / 1000
	return probability * s.w.WaitCost * missingSlots / serviceSeconds * peakSeconds * peakSeconds / 2
}
