package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// transitions lists the allowed next phases of each phase. An instance that
// leaves its pool, for another pool, for maintenance or to be retired, is always
// released first: only a release makes the entry processes of the zone confirm
// that their requests have ended. Retired is final.
var transitions = [...][]model.Phase{
	model.PhaseServing:     {model.PhaseServing, model.PhaseReleasing},
	model.PhaseReleasing:   {model.PhaseServing, model.PhaseMaintenance, model.PhaseRetired},
	model.PhaseMaintenance: {model.PhaseServing, model.PhaseMaintenance, model.PhaseRetired},
	model.PhaseRetired:     nil,
}

// applyInstanceSteps applies all steps or none, so that a batch that was planned
// on an outdated state changes nothing.
func (s *State) applyInstanceSteps(index model.Version, c model.Change) model.Result {
	seen := make(map[model.InstanceID]bool, len(c.Instances))
	for _, step := range c.Instances {
		id := step.Instance.ID
		if seen[id] {
			// Each step is checked against the state before the batch, so a second
			// step would not see the first.
			return invalid(fmt.Sprintf("two steps for instance %s in one change", id))
		}
		seen[id] = true
		current := s.Instances[id]
		if current.Version != step.Base {
			return s.conflict("instance "+string(id), current.Version, nil)
		}
		if reason := checkStep(current, step.Instance); reason != "" {
			return invalid(reason)
		}
	}
	retired := false
	for _, step := range c.Instances {
		next := s.withTimes(s.Instances[step.Instance.ID], step.Instance, s.Time)
		next.Version = index
		s.Instances[next.ID] = next
		s.Authors["instance "+string(next.ID)] = Author{Name: c.Author, Version: index}
		s.recordTableChange(TableChange{Version: index, Instance: next.ID})
		retired = retired || next.Phase == model.PhaseRetired
	}
	if retired {
		s.dropRetired(index)
	}
	return model.Result{Version: index}
}

// withTimes returns the next state of an instance with PhaseSince and
// OutOfServiceSince set. If the step ends an outage, it also records the outage. now
// is the state's time rather than that of the change: a new leader's clock may be
// behind, and an outage must not end before its start.
func (s *State) withTimes(current, next model.Instance, now clock.Millis) model.Instance {
	next.PhaseSince = current.PhaseSince
	if current.ID == "" || next.Phase != current.Phase {
		next.PhaseSince = now
	}
	next.OutOfServiceSince = current.OutOfServiceSince
	switch {
	case next.OutOfService() && current.OutOfServiceSince == 0:
		next.OutOfServiceSince = now
	case !next.OutOfService() && current.OutOfServiceSince != 0:
		next.OutOfServiceSince = 0
		s.Outages = append(s.Outages, model.Outage{Instance: current.ID, Pool: current.Pool, From: current.OutOfServiceSince, To: now})
		if over := len(s.Outages) - MaxOutages; over > 0 {
			s.Outages = s.Outages[over:]
		}
	}
	return next
}

// checkStep returns the reason why the step is not allowed; empty if it is. The
// checks ensure that an instance belongs to exactly one pool.
func checkStep(current, next model.Instance) string {
	switch {
	case next.ID == "" || next.Pool == "" || next.Zone == "":
		return "the step names no instance, no pool or no zone"
	case next.Phase < 0 || int(next.Phase) >= len(transitions):
		return fmt.Sprintf("instance %s: unknown phase %d", next.ID, next.Phase)
	case next.Slots < 0 || next.Connections < 0:
		return fmt.Sprintf("instance %s has a negative number of slots or connections", next.ID)
	case next.Phase == model.PhaseReleasing && next.Target == "":
		return fmt.Sprintf("the release of instance %s names no target pool", next.ID)
	case current.ID == "":
		return checkEnrolment(next)
	case current.Zone != next.Zone:
		return fmt.Sprintf("instance %s is in zone %s, not %s", current.ID, current.Zone, next.Zone)
	case !slices.Contains(transitions[current.Phase], next.Phase):
		return fmt.Sprintf("instance %s of pool %s is %s and cannot become %s", current.ID, current.Pool, current.Phase, next.Phase)
	case current.Pool != next.Pool && !finishesMove(current, next):
		return fmt.Sprintf("instance %s was not released from pool %s to pool %s", current.ID, current.Pool, next.Pool)
	}
	return ""
}

func checkEnrolment(next model.Instance) string {
	if next.Phase != model.PhaseServing && next.Phase != model.PhaseMaintenance {
		return fmt.Sprintf("instance %s cannot be enrolled as %s", next.ID, next.Phase)
	}
	return ""
}

// finishesMove reports whether the step ends a release in its target pool. No
// other step may change the pool of an instance.
func finishesMove(current, next model.Instance) bool {
	return current.Phase == model.PhaseReleasing && next.Phase == model.PhaseServing && next.Pool == current.Target
}

// dropRetired removes the instances that were retired first while there are more
// than MaxRetired. Their IDs may be enrolled again, because each instance left
// its pool by a confirmed release.
func (s *State) dropRetired(index model.Version) {
	var retired []model.Instance
	for _, i := range s.Instances {
		if i.Phase == model.PhaseRetired {
			retired = append(retired, i)
		}
	}
	over := len(retired) - MaxRetired
	if over <= 0 {
		return
	}
	slices.SortFunc(retired, func(a, b model.Instance) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.ID, b.ID))
	})
	for _, i := range retired[:over] {
		delete(s.Instances, i.ID)
		delete(s.Authors, "instance "+string(i.ID))
		s.recordTableChange(TableChange{Version: index, Instance: i.ID})
	}
}

func (s *State) recordTableChange(t TableChange) {
	s.Version = t.Version
	s.TableChanges = append(s.TableChanges, t)
	if over := len(s.TableChanges) - MaxTableChanges; over > 0 {
		// Reslicing drops the front without a copy. When the array is full, append
		// moves the rest to a new one.
		s.TableChanges = s.TableChanges[over:]
	}
}

// Delta returns the changes of the table since a version. Its size is
// proportional to the number of changed objects. A reader that is further behind
// than TableChanges reaches gets the whole table.
func (s *State) Delta(from model.Version) model.Delta {
	if from == s.Version {
		return model.Delta{From: from, To: s.Version}
	}
	if from > s.Version || !s.hasChangesSince(from) {
		return s.fullDelta()
	}
	d := model.Delta{From: from, To: s.Version}
	seenContract := map[model.Customer]bool{}
	seenInstance := map[model.InstanceID]bool{}
	for i := len(s.TableChanges) - 1; i >= 0 && s.TableChanges[i].Version > from; i-- {
		t := s.TableChanges[i]
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

// hasChangesSince reports whether TableChanges holds every change after from.
func (s *State) hasChangesSince(from model.Version) bool {
	if len(s.TableChanges) < MaxTableChanges {
		return true
	}
	return s.TableChanges[0].Version <= from
}

func (s *State) fullDelta() model.Delta {
	return FullDelta(s.Version, s.Contracts, s.Instances)
}

// FullDelta returns a delta that replaces a table with the given content.
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

// Merge applies a delta to a table. It returns false and changes nothing if the
// delta would lower the table's version or, unless it is full, does not start at it.
func Merge(t *model.Table, d model.Delta) bool {
	if d.To < t.Version || (!d.Full && d.From != t.Version) {
		return false
	}
	if d.Full {
		t.Contracts = make(map[model.Customer]model.Contract, len(d.Contracts))
		t.Instances = make(map[model.InstanceID]model.Instance, len(d.Instances))
	}
	if t.Contracts == nil {
		t.Contracts = map[model.Customer]model.Contract{}
	}
	if t.Instances == nil {
		t.Instances = map[model.InstanceID]model.Instance{}
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
