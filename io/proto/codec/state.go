package codec

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/wirepb"
)

// StateToWire maps the replicated state. Maps are written in the order of
// their keys, and results and claims in the order in which they will be
// forgotten, so that equal states give equal messages.
func StateToWire(s *fleet.State) *wirepb.FleetSnapshot {
	w := &wirepb.FleetSnapshot{
		Index:       uint64(s.Index),
		Version:     uint64(s.Version),
		TimeMs:      int64(s.Time),
		Contracts:   list(sorted(s.Contracts), ContractToWire),
		Instances:   list(sorted(s.Instances), InstanceToWire),
		Maintenance: list(sorted(s.Maintenance), MaintenanceToWire),
		Touches:     list(s.TableChanges, touchToWire),
		Outages:     list(s.Outages, OutageToWire),
		Jobs:        JobsToWire(s.Jobs),
	}
	for _, p := range slices.Sorted(maps.Keys(s.Incarnations)) {
		w.Runs = append(w.Runs, &wirepb.ProcessRun{Process: text(p), Incarnation: s.Incarnations[p]})
	}
	for _, p := range slices.Sorted(maps.Keys(s.GoneProcesses)) {
		w.Gone = append(w.Gone, &wirepb.GoneProcess{Process: text(p), TimeMs: int64(s.GoneProcesses[p])})
	}
	s.Results.Each(func(k model.RequestID, r model.Result, t clock.Millis) {
		w.Results = append(w.Results, &wirepb.RememberedResult{Request: text(k), Result: ResultToWire(r), TimeMs: int64(t)})
	})
	s.Claims.Each(func(k model.ClaimKey, c fleet.HeldClaim, t clock.Millis) {
		w.Claims = append(w.Claims, &wirepb.RememberedClaim{
			Key:    ClaimKeyToWire(k),
			Token:  text(c.Token),
			Owner:  text(c.Owner),
			Run:    c.Incarnation,
			State:  int32(c.State),
			Status: int64(c.Status),
			TimeMs: int64(t),
		})
	})
	for _, object := range slices.Sorted(maps.Keys(s.Authors)) {
		a := s.Authors[object]
		w.Authors = append(w.Authors, &wirepb.Tombstone{Name: text(object), Version: uint64(a.Version), Author: text(a.Name)})
	}
	return w
}

// OutageToWire maps an outage.
func OutageToWire(o model.Outage) *wirepb.Outage {
	return &wirepb.Outage{Instance: text(o.Instance), Pool: text(o.Pool), FromMs: int64(o.From), ToMs: int64(o.To)}
}

// OutageFromWire maps an outage; its instance is required, and it must not end
// before its start.
func OutageFromWire(w *wirepb.Outage) (model.Outage, error) {
	if err := required("outage", "instance", w.GetInstance()); err != nil {
		return model.Outage{}, err
	}
	if w.GetToMs() < w.GetFromMs() {
		return model.Outage{}, stateError(KindRange, "an outage from %d to %d ms", w.GetFromMs(), w.GetToMs())
	}
	return model.Outage{
		Instance: model.InstanceID(w.GetInstance()), Pool: model.Pool(w.GetPool()),
		From: clock.Millis(w.GetFromMs()), To: clock.Millis(w.GetToMs()),
	}, nil
}

// StateFromWire maps the replicated state. Its parts must be in the order in
// which StateToWire writes them where that order has a meaning.
func StateFromWire(w *wirepb.FleetSnapshot) (*fleet.State, error) {
	s := fleet.New()
	s.Index = model.Version(w.GetIndex())
	s.Version = model.Version(w.GetVersion())
	s.Time = clock.Millis(w.GetTimeMs())
	if s.Version > s.Index {
		return nil, stateError(KindRange, "the table's version %d is above the index %d", s.Version, s.Index)
	}
	if err := objectsFromWire(s, w); err != nil {
		return nil, err
	}
	if err := resultsFromWire(s, w); err != nil {
		return nil, err
	}
	if err := claimsFromWire(s, w); err != nil {
		return nil, err
	}
	var last uint64
	for _, t := range w.GetTouches() {
		if t.GetVersion() < last || t.GetVersion() > w.GetVersion() {
			return nil, stateError(KindRange, "touch %d after %d at version %d", t.GetVersion(), last, s.Version)
		}
		last = t.GetVersion()
		s.TableChanges = append(s.TableChanges, fleet.TableChange{
			Version:  model.Version(last),
			Contract: model.Customer(t.GetContract()),
			Instance: model.InstanceID(t.GetInstance()),
		})
	}
	outages, err := listFrom(w.GetOutages(), OutageFromWire)
	if err != nil {
		return nil, err
	}
	s.Outages = outages
	for _, r := range w.GetRuns() {
		if r.GetProcess() == "" {
			return nil, stateError(KindMissing, "a run has no process")
		}
		s.Incarnations[model.Process(r.GetProcess())] = r.GetIncarnation()
	}
	for _, g := range w.GetGone() {
		if g.GetProcess() == "" {
			return nil, stateError(KindMissing, "a process that is gone has no name")
		}
		s.GoneProcesses[model.Process(g.GetProcess())] = clock.Millis(g.GetTimeMs())
	}
	for _, a := range w.GetAuthors() {
		if a.GetName() == "" {
			return nil, stateError(KindMissing, "an author's object has no name")
		}
		s.Authors[a.GetName()] = fleet.Author{Name: a.GetAuthor(), Version: model.Version(a.GetVersion())}
	}
	s.Jobs, err = JobsFromWire(w.GetJobs())
	return s, err
}

func stateError(kind Kind, format string, args ...any) error {
	return &Error{Op: "state", Kind: kind, Err: fmt.Errorf(format, args...)}
}

func objectsFromWire(s *fleet.State, w *wirepb.FleetSnapshot) error {
	contracts, err := listFrom(w.GetContracts(), ContractFromWire)
	if err != nil {
		return err
	}
	instances, err := listFrom(w.GetInstances(), InstanceFromWire)
	if err != nil {
		return err
	}
	maintenance, err := listFrom(w.GetMaintenance(), MaintenanceFromWire)
	if err != nil {
		return err
	}
	for _, c := range contracts {
		s.Contracts[c.Customer] = c
	}
	for _, i := range instances {
		s.Instances[i.ID] = i
	}
	for _, m := range maintenance {
		s.Maintenance[m.Name] = m
	}
	return nil
}

// resultsFromWire puts the results back in the order in which they were
// remembered, because a memory forgets in the order of its Puts.
func resultsFromWire(s *fleet.State, w *wirepb.FleetSnapshot) error {
	var last clock.Millis
	for n, m := range w.GetResults() {
		r, err := ResultFromWire(m.GetResult())
		if err != nil {
			return err
		}
		t := clock.Millis(m.GetTimeMs())
		if m.GetRequest() == "" {
			return stateError(KindMissing, "a result has no request identity")
		}
		if n > 0 && t < last {
			return stateError(KindRange, "a result of %d ms follows one of %d ms", t, last)
		}
		last = t
		s.Results.Put(model.RequestID(m.GetRequest()), r, t)
	}
	return nil
}

func claimsFromWire(s *fleet.State, w *wirepb.FleetSnapshot) error {
	var last clock.Millis
	for n, m := range w.GetClaims() {
		k, err := ClaimKeyFromWire(m.GetKey())
		if err != nil {
			return err
		}
		state, err := enum("claim", "state", m.GetState(), model.ClaimUnknown)
		if err != nil {
			return err
		}
		t := clock.Millis(m.GetTimeMs())
		if n > 0 && t < last {
			return stateError(KindRange, "a claim of %d ms follows one of %d ms", t, last)
		}
		last = t
		s.Claims.Put(k, fleet.HeldClaim{
			Token: m.GetToken(), Owner: model.Process(m.GetOwner()), Incarnation: m.GetRun(),
			State: state, Status: int(m.GetStatus()),
		}, t)
	}
	return nil
}

func touchToWire(t fleet.TableChange) *wirepb.Touch {
	return &wirepb.Touch{Version: uint64(t.Version), Contract: text(t.Contract), Instance: text(t.Instance)}
}

// sorted returns the values of a map in the order of its keys.
func sorted[K cmp.Ordered, V any](m map[K]V) []V {
	out := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}
