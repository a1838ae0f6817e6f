package plan

import (
	"math"

	"camphorridge/core/state/clock"
)

// costs estimates what each action costs until the peak is over and the
// requests that it left waiting are served.
func (s *surge) costs(p Pool) Costs {
	c := Costs{Lend: math.Inf(1), Move: math.Inf(1)}
	left := s.remaining(p)
	c.Queue = s.waitCost(p, 0, left)
	h := s.hold[p]
	want := int(math.Ceil(s.excess(p) / float64(h.SlotsPerInstance)))
	room := min(s.lendable(h.Spare), s.within(h.Spare))
	for n := 1; n <= min(want, room); n++ {
		cost := s.waitCost(p, n, left) + float64(n)*(2*s.w.MoveCost+s.w.BufferCost*s.absence(left))
		if cost < c.Lend {
			c.Lend, c.LendCount = cost, n
		}
	}
	for _, d := range s.donors(p) {
		for n := 1; n <= min(want, s.slack(d)); n++ {
			cost := s.waitCost(p, n, left) + float64(n)*2*s.w.MoveCost + s.risk(d, n, left)
			if cost < c.Move {
				c.Move, c.MoveCount, c.Donor = cost, n, d
			}
		}
	}
	return c
}

// remaining is how long the peak is expected to last. One that has lasted
// longer than peaks do is expected to last as long again.
func (s *surge) remaining(p Pool) clock.Millis {
	age := clock.Millis(0)
	if since := s.demand[p].HighSince; since > 0 {
		age = s.now - since
	}
	if age < s.w.PeakMillis {
		return s.w.PeakMillis - age
	}
	return age
}

// absence is how many seconds a lent instance is away from the spare.
func (s *surge) absence(left clock.Millis) float64 {
	return float64(max(left, s.w.MoveMillis)+s.w.ReturnDelayMillis+s.w.MoveMillis) / 1000
}

// waitCost is the cost of waiting and refusals when n instances are added
// after MoveMillis. The queue grows with the excess until the peak ends and is
// then served by the pool's slots.
func (s *surge) waitCost(p Pool, n int, left clock.Millis) float64 {
	d, h := s.demand[p], s.hold[p]
	service := float64(d.ServiceMillis) / 1000
	waiting, area, refused := d.Waiting, 0.0, 0.0
	phase := func(excess, seconds float64) {
		if seconds <= 0 {
			return
		}
		end := max(0, waiting+excess/service*seconds)
		if over := end - d.QueueLimit; d.QueueLimit > 0 && over > 0 {
			refused += over
			end = d.QueueLimit
		}
		area += (waiting + end) / 2 * seconds
		waiting = end
	}
	excess := s.excess(p)
	lead := min(left, s.w.MoveMillis)
	if n == 0 {
		lead = left
	}
	phase(excess, float64(lead)/1000)
	phase(excess-float64(n*h.SlotsPerInstance), float64(left-lead)/1000)
	if left <= lead {
		// The instances arrive after the peak and help to serve the queue only.
		n = 0
	}
	slots := float64(max(1, (h.Instances+n)*h.SlotsPerInstance))
	area += waiting * waiting * service / slots / 2
	return area*s.w.WaitCost + refused*s.w.RefuseCost
}

// slack is the number of instances that a donor can give up while its demand
// stays within LowPercent of what is left.
func (s *surge) slack(p Pool) int {
	h := s.hold[p]
	d, ok := s.demand[p]
	if !ok || s.excess(p) > 0 {
		return 0
	}
	left := int(math.Ceil(d.NeededSlots * 100 / float64(max(1, s.w.LowPercent)*h.SlotsPerInstance)))
	return max(0, min(h.Instances, h.Promised)-s.away[p]-max(left, 1))
}

// risk is the expected cost of a peak at the donor while its instances are
// away: services peak in turn, so it has a peak with a chance in proportion to
// the time away.
func (s *surge) risk(p Pool, n int, left clock.Millis) float64 {
	if s.w.PeakIntervalMillis <= 0 {
		return 0
	}
	away := s.absence(left) * 1000
	chance := min(1, away/float64(s.w.PeakIntervalMillis))
	short := float64(n * s.hold[p].SlotsPerInstance)
	service := float64(max(s.demand[p].ServiceMillis, 1)) / 1000
	peak := float64(s.w.PeakMillis) / 1000
	return chance * s.w.WaitCost * short / service * peak * peak / 2
}
