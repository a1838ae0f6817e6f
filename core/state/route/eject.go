package route

import (
	"slices"

	"camphorridge/core/state/clock"
)

// Parameters of outlier ejection.
const (
	// failWeight and connectWeight are the weights of one failed request and of
	// one failed connection in the score. Four failures in a row or one failed
	// connection raise the score above ejectAbove.
	failWeight    = 0.2
	connectWeight = 0.6
	ejectAbove    = 0.5
	// peerMargin is the margin by which the score must exceed twice the mean score
	// of the peers, ejected ones included. A fault that all upstreams share then
	// ejects none of them, or only one if it causes failed connections.
	peerMargin = 0.2
	// An ejection lasts ejectBase, doubled for each consecutive ejection, up to
	// ejectMax.
	ejectBase = clock.Second
	ejectMax  = 30 * clock.Second
	// ejectResetAfter is the time that must pass after the end of an ejection until a
	// success resets the duration of the next one to ejectBase.
	ejectResetAfter = 60 * clock.Second
	// scoreAfterEjection is the score after an ejection. From it, one failed
	// connection or two failures in a row raise the score above ejectAbove again.
	scoreAfterEjection = 0.25
)

// recordOutcome updates the score of an upstream and ejects it if it fails more
// than its peers. It reports whether the upstream was ejected.
func (r *Router[P]) recordOutcome(now clock.Millis, u *Upstream, o Outcome) bool {
	if u.ScoreResetPending && !u.Ejected(now) {
		u.ScoreResetPending, u.Score = false, scoreAfterEjection
	}
	switch o {
	case OutcomeCancelled, OutcomeBusy:
		return false
	case OutcomeOK:
		u.Score -= failWeight * u.Score
		if now-u.EjectedUntil > ejectResetAfter {
			u.ConsecutiveEjections = 0
		}
		return false
	case OutcomeConnect:
		u.Score += connectWeight * (1 - u.Score)
	case OutcomeError, OutcomeUnknown, OutcomeTimeout:
		u.Score += failWeight * (1 - u.Score)
	}
	if u.Score <= ejectAbove || u.Ejected(now) {
		return false
	}
	return r.eject(now, u)
}

// eject ejects an upstream, unless its peers fail as well or fewer than half of the
// pool's upstreams would stay in service. It reports whether the upstream was
// ejected.
func (r *Router[P]) eject(now clock.Millis, u *Upstream) bool {
	pu := r.upstreamsByPool[u.Pool]
	inService, peers := 0, 0.0
	for _, m := range pu.members {
		if m == u {
			continue
		}
		peers += m.Score
		if !m.Ejected(now) {
			inService++
		}
	}
	if inService == 0 || inService < (len(pu.members)+1)/2 {
		return false
	}
	if u.Score <= 2*peers/float64(len(pu.members)-1)+peerMargin {
		return false
	}
	d := min(ejectBase<<min(u.ConsecutiveEjections, 10), ejectMax)
	u.ConsecutiveEjections++
	u.EjectedUntil = now + d
	u.SlowStartFrom = u.EjectedUntil
	u.ScoreResetPending = true
	if !slices.Contains(r.ejectionsToReport, u) {
		r.ejectionsToReport = append(r.ejectionsToReport, u)
	}
	return true
}

// restoreMinimum ends ejections, the one that would end soonest first, until half
// of the pool's upstreams are in service. It is called after an upstream left the
// pool, and after one joined it, which may still be ejected.
func (pu *poolUpstreams) restoreMinimum(now clock.Millis) {
	for {
		inService := 0
		var next *Upstream
		for _, m := range pu.members {
			if !m.Ejected(now) {
				inService++
				continue
			}
			if next == nil || m.EjectedUntil < next.EjectedUntil {
				next = m
			}
		}
		if next == nil || inService >= (len(pu.members)+1)/2 {
			return
		}
		next.EjectedUntil, next.SlowStartFrom = now, now
	}
}
