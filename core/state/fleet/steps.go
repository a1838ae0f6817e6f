package fleet

import (
	"fmt"

	"camphorridge/core/state/model"
)

// stepInstances applies all steps or none, so that a batch that was decided
// on an outdated state changes nothing.
func (s *State) stepInstances(index model.Version, c model.Change) model.Result {
	for _, step := range c.Instances {
		held := s.Instances[step.Instance.ID]
		if held.Version != step.Base {
			return s.conflict("instance "+string(step.Instance.ID), held.Version, nil)
		}
		if err := checkStep(held, step.Instance); err != "" {
			return invalid(err)
		}
	}
	for _, step := range c.Instances {
		next := step.Instance
		next.Version = index
		next.Since = c.Time
		s.Instances[next.ID] = next
		s.Authors["instance "+string(next.ID)] = Author{Name: c.Author, Version: index}
		s.touch(Touch{Version: index, Instance: next.ID})
	}
	return model.Result{Version: index}
}

// checkStep returns the reason why the step would break the rule that an
// instance belongs to exactly one pool; empty when it is allowed.
func checkStep(held, next model.Instance) string {
	switch {
	case next.ID == "" || next.Pool == "":
		return "the step names no instance or no pool"
	case held.ID == "":
		return ""
	case held.Zone != next.Zone:
		return fmt.Sprintf("instance %s is in zone %s, not %s", held.ID, held.Zone, next.Zone)
	case held.Phase == model.PhaseServing && next.Phase == model.PhaseServing && held.Pool != next.Pool,
		held.Phase == model.PhaseServing && next.Phase == model.PhaseMaintenance:
		return fmt.Sprintf("instance %s was not released from pool %s", held.ID, held.Pool)
	case held.Phase == model.PhaseReleasing && next.Phase == model.PhaseReleasing:
		return fmt.Sprintf("instance %s is being released already", held.ID)
	case next.Phase == model.PhaseReleasing && next.Pool != held.Pool:
		return fmt.Sprintf("instance %s is released from pool %s, not %s", held.ID, held.Pool, next.Pool)
	}
	return ""
}

func (s *State) touch(t Touch) {
	s.Version = t.Version
	s.Touches = append(s.Touches, t)
	if over := len(s.Touches) - MaxTouches; over > 0 {
		s.Touches = append([]Touch(nil), s.Touches[over:]...)
	}
}

// Delta returns what changed in the table since a version. Its size follows
// what changed; a reader further behind than the touches reach gets the whole
// table.
func (s *State) Delta(from model.Version) model.Delta {
	if from == s.Version {
		return model.Delta{From: from, To: s.Version}
	}
	if from > s.Version || !s.covers(from) {
		return s.fullDelta()
	}
	d := model.Delta{From: from, To: s.Version}
	seenContract := map[model.Customer]bool{}
	seenInstance := map[model.InstanceID]bool{}
	for i := len(s.Touches) - 1; i >= 0 && s.Touches[i].Version > from; i-- {
		t := s.Touches[i]
		if t.Contract != "" && !seenContract[t.Contract] {
			seenContract[t.Contract] = true
			s.addContract(&d, t.Contract)
		}
		if t.Instance != "" && !seenInstance[t.Instance] {
			seenInstance[t.Instance] = true
			s.addInstance(&d, t.Instance)
		}
	}
	return d
}

func (s *State) addContract(d *model.Delta, name model.Customer) {
	if c, ok := s.Contracts[name]; ok {
		d.Contracts = append(d.Contracts, c)
		return
	}
	d.RemovedContracts = append(d.RemovedContracts, name)
}

func (s *State) addInstance(d *model.Delta, id model.InstanceID) {
	if i, ok := s.Instances[id]; ok {
		d.Instances = append(d.Instances, i)
		return
	}
	d.RemovedInstances = append(d.RemovedInstances, id)
}

// covers reports whether the touches hold every change after from.
func (s *State) covers(from model.Version) bool {
	if len(s.Touches) < MaxTouches {
		return true
	}
	return s.Touches[0].Version <= from
}

func (s *State) fullDelta() model.Delta {
	return FullDelta(s.Version, s.Contracts, s.Instances)
}

// FullDelta returns a delta that replaces a table by the given content.
func FullDelta(v model.Version, contracts map[model.Customer]model.Contract, instances map[model.InstanceID]model.Instance) model.Delta {
	d := model.Delta{To: v, Full: true}
	for _, c := range contracts {
		d.Contracts = append(d.Contracts, c)
	}
	for _, i := range instances {
		d.Instances = append(d.Instances, i)
	}
	return d
}

// Merge applies a delta to a table. It reports false, and changes nothing,
// when the delta would lower the version or does not follow on the table.
func Merge(t *model.Table, d model.Delta) bool {
	if d.To < t.Version || (!d.Full && d.From != t.Version) {
		return false
	}
	if d.Full {
		t.Contracts = make(map[model.Customer]model.Contract, len(d.Contracts))
		t.Instances = make(map[model.InstanceID]model.Instance, len(d.Instances))
	}
	for _, c := range d.Contracts {
		t.Contracts[c.Customer] = c
	}
	for _, i := range d.Instances {
		t.Instances[i.ID] = i
	}
	for _, c := range d.RemovedContracts {
		delete(t.Contracts, c)
	}
	for _, i := range d.RemovedInstances {
		delete(t.Instances, i)
	}
	t.Version = d.To
	return true
}
