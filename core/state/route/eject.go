package route

import (
	"slices"

	"camphorridge/core/state/clock"
)

// The rules of ejection.
const (
	// failWeight and connectWeight are the weights of one sample in the score:
	// four failures in a row or one failed connection reach ejectAbove.
	failWeight    = 0.2
	connectWeight = 0.6
	ejectAbove    = 0.5
	// peerMargin is how far the score must be above twice that of the peers,
	// ejected ones included, so that a fault that all upstreams share ejects
	// none of them, or one when it shows as failed connections.
	peerMargin = 0.2
	// An ejection lasts ejectBase, doubled with each in a row, at most
	// ejectMost.
	ejectBase = clock.Second
	ejectMax  = 30 * clock.Second
	// forgiveAfter is the time without an ejection after which the next one is
	// short again.
	forgiveAfter = 60 * clock.Second
	// scoreAfterEjection is the score after an ejection: one failed connection, or
	// three failures in a row, eject again.
	scoreAfterEjection = 0.25
)

// recordOutcome updates the score of an upstream and ejects it when it fails against
// its peers.
func (r *Router[P]) recordOutcome(now clock.Millis, u *Upstream, o Outcome) bool {
	if u.ScoreResetPending && !u.Ejected(now) {
		u.ScoreResetPending, u.Score = false, scoreAfterEjection
	}
	switch o {
	case OutcomeCancelled, OutcomeBusy:
		return false
	case OutcomeOK:
		u.Score -= failWeight * u.Score
		if now-u.EjectedUntil > forgiveAfter {
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

// eject takes an upstream out unless its peers fail as well or the floor
// would be broken: at least half of a pool's upstreams stay in.
func (r *Router[P]) eject(now clock.Millis, u *Upstream) bool {
	g := r.upstreamsByPool[u.Pool]
	in, peers := 0, 0.0
	for _, m := range g.members {
		if m == u {
			continue
		}
		peers += m.Score
		if !m.Ejected(now) {
			in++
		}
	}
	if in == 0 || in < (len(g.members)+1)/2 {
		return false
	}
	if u.Score <= 2*peers/float64(len(g.members)-1)+peerMargin {
		return false
	}
	d := min(ejectBase<<min(u.ConsecutiveEjections, 10), ejectMax)
	u.ConsecutiveEjections++
	u.EjectedUntil = now + d
	u.RoutableSince = u.EjectedUntil
	u.ScoreResetPending = true
	if !slices.Contains(r.ejectionsToReport, u) {
		r.ejectionsToReport = append(r.ejectionsToReport, u)
	}
	return true
}

// restoreMinimum ends ejections, the one that ends soonest first, until half of the
// upstreams are in. It is called after an upstream left the pool, or came back
// to it while its ejection lasts.
func (g *poolUpstreams) restoreMinimum(now clock.Millis) {
	for {
		in := 0
		var next *Upstream
		for _, m := range g.members {
			if !m.Ejected(now) {
				in++
				continue
			}
			if next == nil || m.EjectedUntil < next.EjectedUntil {
				next = m
			}
		}
		if next == nil || in >= (len(g.members)+1)/2 {
			return
		}
		next.EjectedUntil, next.RoutableSince = now, now
	}
}
