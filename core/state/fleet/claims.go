package fleet

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// applyClaims grants each key to the first attempt that claims it. If the same
// attempt claims it again, for example because the answer was lost, the claim is
// granted again as long as the request has not finished. Claims without a token
// are refused, because two attempts without one could not be told apart and
// would both be granted. Claims without a key are refused too, and those of attempts
// that were given up: nobody would release the key.
func (s *State) applyClaims(index model.Version, c model.Change) model.Result {
	s.setIncarnation(c.Process, c.Incarnation)
	r := model.Result{Version: index, Claims: make([]model.ClaimAnswer, 0, len(c.Claims))}
	for _, claim := range c.Claims {
		current, ok := s.Claims.Get(claim.Key)
		_, released := s.Released.Get(claim.Token)
		switch {
		case claim.Token == "" || claim.Key.Key == "" || released:
			r.Claims = append(r.Claims, model.ClaimAnswer{FirstState: model.ClaimUnknown})
		case !ok:
			s.Claims.Put(claim.Key, ClaimRecord{Token: claim.Token, Owner: c.Process, Incarnation: c.Incarnation}, s.Time)
			r.Claims = append(r.Claims, model.ClaimAnswer{Granted: true})
		case current.Token == claim.Token && current.State == model.ClaimRunning:
			r.Claims = append(r.Claims, model.ClaimAnswer{Granted: true})
		default:
			r.Claims = append(r.Claims, model.ClaimAnswer{FirstState: current.State, Status: current.Status})
		}
	}
	return r
}

// setIncarnation records the incarnation of an entry process. When it has grown,
// the requests of earlier incarnations have ended with their process, so the
// state of their running claims becomes unknown. All claims are scanned once for
// each new incarnation of a process whose earlier incarnation is recorded. When
// MaxIncarnations processes are recorded, those of further processes are ignored.
func (s *State) setIncarnation(p model.Process, incarnation uint64) {
	current, known := s.Incarnations[p]
	if p == "" || incarnation <= current || (!known && len(s.Incarnations) >= MaxIncarnations) {
		return
	}
	s.Incarnations[p] = incarnation
	if !known {
		return
	}
	s.Claims.Each(func(k model.ClaimKey, c ClaimRecord, _ clock.Millis) {
		if c.Owner == p && c.Incarnation < incarnation && c.State == model.ClaimRunning {
			c.State = model.ClaimUnknown
			s.Claims.Update(k, c)
		}
	})
}

// applyOutcomes closes claims, or releases them if the request did not run. It
// ignores outcomes of attempts that do not hold the claim, and outcomes for a
// claim that is already closed: a delayed or repeated message must not release
// the claim of a request that ran. An attempt whose request did not run can't claim a
// key any more, because its claim may be held up and arrive after the outcome.
func (s *State) applyOutcomes(index model.Version, c model.Change) model.Result {
	for _, o := range c.Outcomes {
		if o.NotRun && o.Token != "" {
			s.Released.Put(o.Token, struct{}{}, s.Time)
		}
		current, ok := s.Claims.Get(o.Key)
		if !ok || current.Token != o.Token || current.State != model.ClaimRunning {
			continue
		}
		if o.NotRun {
			s.Claims.Remove(o.Key)
			continue
		}
		current.State = o.State
		current.Status = o.Status
		s.Claims.Update(o.Key, current)
	}
	return model.Result{Version: index}
}
