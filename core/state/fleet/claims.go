package fleet

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// applyClaims grants each key to the first attempt that asks for it. The same
// attempt asking again, after a lost answer, is granted again as long as the
// request was not finished. A claim without a token is refused: two attempts
// without one would both be granted.
func (s *State) applyClaims(index model.Version, c model.Change) model.Result {
	s.setIncarnation(c.Process, c.Incarnation)
	r := model.Result{Version: index, Claims: make([]model.ClaimAnswer, 0, len(c.Claims))}
	for _, claim := range c.Claims {
		held, ok := s.Claims.Get(claim.Key)
		switch {
		case claim.Token == "" || claim.Key.Key == "":
			r.Claims = append(r.Claims, model.ClaimAnswer{FirstState: model.ClaimUnknown})
		case !ok:
			s.Claims.Put(claim.Key, HeldClaim{Token: claim.Token, Owner: c.Process, Incarnation: c.Incarnation}, s.Time)
			r.Claims = append(r.Claims, model.ClaimAnswer{Granted: true})
		case held.Token == claim.Token && held.State == model.ClaimRunning:
			r.Claims = append(r.Claims, model.ClaimAnswer{Granted: true})
		default:
			r.Claims = append(r.Claims, model.ClaimAnswer{FirstState: held.State, Status: held.Status})
		}
	}
	return r
}

// setIncarnation notes the incarnation of an entry process. The requests of its
// earlier runs have ended with them, so what is known of those that were
// running becomes unknown. The claims are looked at once for each run.
func (s *State) setIncarnation(p model.Process, run uint64) {
	held, known := s.Incarnations[p]
	if p == "" || run <= held || (!known && len(s.Incarnations) >= MaxIncarnations) {
		return
	}
	s.Incarnations[p] = run
	if !known {
		return
	}
	s.Claims.Each(func(k model.ClaimKey, c HeldClaim, _ clock.Millis) {
		if c.Owner == p && c.Incarnation < run && c.State == model.ClaimRunning {
			c.State = model.ClaimUnknown
			s.Claims.Update(k, c)
		}
	})
}

// applyOutcomes closes claims, or releases those whose request did not run.
// Outcomes of other attempts than the holder are ignored, and so are later
// outcomes of the holder: a request that is known to have run must not be
// released by a message that was delayed or repeated.
func (s *State) applyOutcomes(index model.Version, c model.Change) model.Result {
	for _, o := range c.Outcomes {
		held, ok := s.Claims.Get(o.Key)
		if !ok || held.Token != o.Token || held.State != model.ClaimRunning {
			continue
		}
		if o.NotRun {
			s.Claims.Remove(o.Key)
			continue
		}
		held.State = o.State
		held.Status = o.Status
		s.Claims.Update(o.Key, held)
	}
	return model.Result{Version: index}
}
