package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"camphorridge/core/state/model"
)

// Apply applies the change at the given log index and returns its result. A
// change whose request was answered before is not applied again and gets the
// stored result, as long as Results holds it. The index must be above the state's index.
func (s *State) Apply(index model.Version, c model.Change) model.Result {
	s.Index = index
	s.Time = max(s.Time, c.Time)
	if c.Request != "" {
		if r, ok := s.Results.Get(c.Request); ok {
			return r
		}
	}
	r := s.applyByKind(index, c)
	if c.Request != "" {
		s.Results.Put(c.Request, r, s.Time)
	}
	return r
}

func (s *State) applyByKind(index model.Version, c model.Change) model.Result {
	switch c.Kind {
	case model.ChangeNone:
		return model.Result{Version: index}
	case model.ChangeContractApply:
		return s.applyContract(index, c)
	case model.ChangeContractRemove:
		return s.removeContract(index, c)
	case model.ChangeMaintenanceDeclare:
		return s.declareMaintenance(index, c)
	case model.ChangeMaintenanceCancel:
		return s.cancelMaintenance(index, c)
	case model.ChangeInstances:
		return s.applyInstanceSteps(index, c)
	case model.ChangeClaims:
		return s.applyClaims(index, c)
	case model.ChangeOutcomes:
		return s.applyOutcomes(index, c)
	case model.ChangeProcessGone:
		return s.declareProcessGone(index, c)
	case model.ChangeJobs:
		s.Jobs.Apply(c.Ops, s.Time)
		return model.Result{Version: index}
	default:
		return invalid(fmt.Sprintf("unknown kind of change %d", c.Kind))
	}
}

// declareProcessGone records that all runs of an entry process that started
// before the state's time have ended.
func (s *State) declareProcessGone(index model.Version, c model.Change) model.Result {
	if c.Process == "" {
		return invalid("the change names no process")
	}
	if _, known := s.GoneProcesses[c.Process]; !known && len(s.GoneProcesses) >= MaxGoneProcesses {
		return invalid(fmt.Sprintf("%d processes are remembered as gone already", MaxGoneProcesses))
	}
	s.GoneProcesses[c.Process] = s.Time
	return model.Result{Version: index}
}

func invalid(reason string) model.Result {
	return model.Result{Kind: model.ResultInvalid, Reason: reason}
}

// conflict returns the result of a change that was based on an outdated version
// of the object. It names the author of the change that won.
func (s *State) conflict(object string, current model.Version, differs []string) model.Result {
	a, known := s.Authors[object]
	reason := fmt.Sprintf("%s is at version %d", object, current)
	if current == 0 {
		reason = object + " does not exist"
		if known {
			reason = object + " was removed"
		}
	}
	return model.Result{
		Kind:            model.ResultConflict,
		Version:         max(current, a.Version),
		Winner:          a.Name,
		DifferingFields: differs,
		Reason:          reason,
	}
}

// removalConflict returns the result of removing an object that does not exist:
// a conflict with the earlier removal if that is still recorded, otherwise
// invalid.
func (s *State) removalConflict(object string) model.Result {
	if _, known := s.Authors[object]; known {
		return s.conflict(object, 0, nil)
	}
	return invalid(object + " does not exist")
}

// recordRemoval records the author of a removal. When Authors holds more than
// MaxRemoved objects that no longer exist, it drops all of them but the latest
// MaxRemoved/2, so that the cost of sorting them is spread over many removals.
func (s *State) recordRemoval(object, author string, index model.Version) {
	s.Authors[object] = Author{Name: author, Version: index}
	over := len(s.Authors) - len(s.Contracts) - len(s.Instances) - len(s.Maintenance) - MaxRemoved
	if over <= 0 {
		return
	}
	removed := make([]string, 0, MaxRemoved+over)
	for o := range s.Authors {
		if !s.exists(o) {
			removed = append(removed, o)
		}
	}
	slices.SortFunc(removed, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.Authors[a].Version, s.Authors[b].Version), cmp.Compare(a, b))
	})
	for _, o := range removed[:len(removed)-MaxRemoved/2] {
		delete(s.Authors, o)
	}
}

// exists reports whether an object exists. object is a key of Authors.
func (s *State) exists(object string) bool {
	kind, name, _ := strings.Cut(object, " ")
	var ok bool
	switch kind {
	case "contract":
		_, ok = s.Contracts[model.Customer(name)]
	case "instance":
		_, ok = s.Instances[model.InstanceID(name)]
	case "maintenance":
		_, ok = s.Maintenance[name]
	}
	return ok
}

func (s *State) applyContract(index model.Version, c model.Change) model.Result {
	name := c.Contract.Customer
	if name == "" {
		return invalid("the contract names no customer")
	}
	current := s.Contracts[name]
	object := "contract " + string(name)
	if current.Version != c.Base {
		return s.conflict(object, current.Version, contractDiff(current, c.Contract))
	}
	next := c.Contract
	next.Version = index
	s.Contracts[name] = next
	s.Authors[object] = Author{Name: c.Author, Version: index}
	s.recordTableChange(TableChange{Version: index, Contract: name})
	return model.Result{Version: index, Reason: c.Note}
}

func (s *State) removeContract(index model.Version, c model.Change) model.Result {
	current, ok := s.Contracts[c.Customer]
	object := "contract " + string(c.Customer)
	if !ok {
		return s.removalConflict(object)
	}
	if current.Version != c.Base {
		return s.conflict(object, current.Version, nil)
	}
	delete(s.Contracts, c.Customer)
	s.recordRemoval(object, c.Author, index)
	s.recordTableChange(TableChange{Version: index, Contract: c.Customer})
	return model.Result{Version: index}
}

func (s *State) declareMaintenance(index model.Version, c model.Change) model.Result {
	m := c.Maintenance
	if m.Name == "" {
		return invalid("the maintenance has no name")
	}
	current := s.Maintenance[m.Name]
	object := "maintenance " + m.Name
	if current.Version != c.Base {
		return s.conflict(object, current.Version, maintenanceDiff(current, m))
	}
	m.Version = index
	m.DeclaredAt = s.Time
	s.Maintenance[m.Name] = m
	s.Authors[object] = Author{Name: c.Author, Version: index}
	return model.Result{Version: index}
}

func (s *State) cancelMaintenance(index model.Version, c model.Change) model.Result {
	current, ok := s.Maintenance[c.Maintenance.Name]
	object := "maintenance " + c.Maintenance.Name
	if !ok {
		return s.removalConflict(object)
	}
	if current.Version != c.Base {
		return s.conflict(object, current.Version, nil)
	}
	delete(s.Maintenance, c.Maintenance.Name)
	s.recordRemoval(object, c.Author, index)
	return model.Result{Version: index}
}

// contractDiff returns the names of the settings in which two contracts differ.
func contractDiff(a, b model.Contract) []string {
	var d []string
	add := func(name string, differs bool) {
		if differs {
			d = append(d, name)
		}
	}
	add("covers", a.Covers != b.Covers)
	add("pools", !slices.Equal(a.Pools, b.Pools))
	add("concurrency", a.Concurrency != b.Concurrency)
	add("queue", a.Queue != b.Queue)
	add("retry-percent", a.RetryPercent != b.RetryPercent)
	add("max-unavailable", a.MaxUnavailable != b.MaxUnavailable)
	add("budget-ms", a.BudgetMillis != b.BudgetMillis)
	add("window-ms", a.WindowMillis != b.WindowMillis)
	add("spare", a.Spare != b.Spare)
	add("spare-pool", a.SparePool != b.SparePool)
	add("quota", a.Quota != b.Quota)
	return d
}

func maintenanceDiff(a, b model.Maintenance) []string {
	var d []string
	if a.Selector != b.Selector {
		d = append(d, "selector")
	}
	if a.Deadline != b.Deadline {
		d = append(d, "deadline-ms")
	}
	return d
}
