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

// StateToWire converts the replicated state to its message. The elements of a map
// are written in the order of their keys, and results and claims in the order in
// which they expire, so that equal states give equal messages.
func StateToWire(s *fleet.State) *wirepb.FleetSnapshot {
	w := &wirepb.FleetSnapshot{
		Index:       uint64(s.Index),
		Version:     uint64(s.Version),
		TimeMs:      int64(s.Time),
		Contracts:   mapAll(valuesByKey(s.Contracts), ContractToWire),
		Instances:   mapAll(valuesByKey(s.Instances), InstanceToWire),
		Maintenance: mapAll(valuesByKey(s.Maintenance), MaintenanceToWire),
		Touches:     mapAll(s.TableChanges, tableChangeToWire),
		Outages:     mapAll(s.Outages, OutageToWire),
		Jobs:        JobStateToWire(s.Jobs),
	}
	for _, p := range slices.Sorted(maps.Keys(s.Incarnations)) {
		w.Runs = append(w.Runs, &wirepb.ProcessRun{Process: validUTF8(p), Incarnation: s.Incarnations[p]})
	}
	for _, p := range slices.Sorted(maps.Keys(s.GoneProcesses)) {
		w.Gone = append(w.Gone, &wirepb.GoneProcess{Process: validUTF8(p), TimeMs: int64(s.GoneProcesses[p])})
	}
	s.Results.Each(func(k model.RequestID, r model.Result, t clock.Millis) {
		w.Results = append(w.Results, &wirepb.RememberedResult{Request: validUTF8(k), Result: ResultToWire(r), TimeMs: int64(t)})
	})
	s.Claims.Each(func(k model.ClaimKey, c fleet.ClaimRecord, t clock.Millis) {
		w.Claims = append(w.Claims, &wirepb.RememberedClaim{
			Key:    ClaimKeyToWire(k),
			Token:  validUTF8(c.Token),
			Owner:  validUTF8(c.Owner),
			Run:    c.Incarnation,
			State:  int32(c.State),
			Status: int64(c.Status),
			TimeMs: int64(t),
		})
	})
	s.Released.Each(func(token string, _ struct{}, t clock.Millis) {
		w.Released = append(w.Released, &wirepb.ReleasedClaim{Token: validUTF8(token), TimeMs: int64(t)})
	})
	for _, object := range slices.Sorted(maps.Keys(s.Authors)) {
		a := s.Authors[object]
		w.Authors = append(w.Authors, &wirepb.Tombstone{Name: validUTF8(object), Version: uint64(a.Version), Author: validUTF8(a.Name)})
	}
	return w
}

// OutageToWire converts the outage of an instance to its message.
func OutageToWire(o model.Outage) *wirepb.Outage {
	return &wirepb.Outage{Instance: validUTF8(o.Instance), Pool: validUTF8(o.Pool), FromMs: int64(o.From), ToMs: int64(o.To)}
}

// OutageFromWire converts a message to the outage of an instance. It returns an
// error if the instance is empty or the outage ends before it starts.
func OutageFromWire(w *wirepb.Outage) (model.Outage, error) {
	if err := required("outage", "instance", w.GetInstance()); err != nil {
		return model.Outage{}, err
	}
	if w.GetToMs() < w.GetFromMs() {
		return model.Outage{}, stateError(KindRange, "an outage ends before it starts: from %d to %d ms", w.GetFromMs(), w.GetToMs())
	}
	return model.Outage{
		Instance: model.InstanceID(w.GetInstance()), Pool: model.Pool(w.GetPool()),
		From: clock.Millis(w.GetFromMs()), To: clock.Millis(w.GetToMs()),
	}, nil
}

// StateFromWire converts a message to the replicated state. It returns an error
// if an element is not valid, if the version of the table is above the log index, if
// results or claims are not in the order of their times, or if the table changes are
// not in the order of their versions or exceed the version of the table.
func StateFromWire(w *wirepb.FleetSnapshot) (*fleet.State, error) {
	s := fleet.New()
	s.Index = model.Version(w.GetIndex())
	s.Version = model.Version(w.GetVersion())
	s.Time = clock.Millis(w.GetTimeMs())
	if s.Version > s.Index {
		return nil, stateError(KindRange, "table version %d is above the log index %d", s.Version, s.Index)
	}
	if err := restoreObjects(s, w); err != nil {
		return nil, err
	}
	if err := restoreResults(s, w); err != nil {
		return nil, err
	}
	if err := restoreClaims(s, w); err != nil {
		return nil, err
	}
	if err := restoreReleased(s, w); err != nil {
		return nil, err
	}
	var lastVersion uint64
	for _, t := range w.GetTouches() {
		if t.GetVersion() < lastVersion || t.GetVersion() > w.GetVersion() {
			return nil, stateError(KindRange, "a table change has version %d; allowed: %d, the version of the change before it, to %d, the version of the table", t.GetVersion(), lastVersion, s.Version)
		}
		lastVersion = t.GetVersion()
		s.TableChanges = append(s.TableChanges, fleet.TableChange{
			Version:  model.Version(lastVersion),
			Contract: model.Customer(t.GetContract()),
			Instance: model.InstanceID(t.GetInstance()),
		})
	}
	outages, err := tryMapAll(w.GetOutages(), OutageFromWire)
	if err != nil {
		return nil, err
	}
	s.Outages = outages
	for _, r := range w.GetRuns() {
		if r.GetProcess() == "" {
			return nil, stateError(KindMissing, "an incarnation has no process name")
		}
		s.Incarnations[model.Process(r.GetProcess())] = r.GetIncarnation()
	}
	for _, g := range w.GetGone() {
		if g.GetProcess() == "" {
			return nil, stateError(KindMissing, "a process declared gone has no name")
		}
		s.GoneProcesses[model.Process(g.GetProcess())] = clock.Millis(g.GetTimeMs())
	}
	for _, a := range w.GetAuthors() {
		if a.GetName() == "" {
			return nil, stateError(KindMissing, "an object with an author has no name")
		}
		s.Authors[a.GetName()] = fleet.Author{Name: a.GetAuthor(), Version: model.Version(a.GetVersion())}
	}
	s.Jobs, err = JobStateFromWire(w.GetJobs())
	return s, err
}

// stateError returns an Error for the replicated state.
func stateError(kind Kind, format string, args ...any) error {
	return &Error{Op: "state", Kind: kind, Err: fmt.Errorf(format, args...)}
}

// restoreObjects adds the contracts, the instances and the declared maintenance in
// the message to s.
func restoreObjects(s *fleet.State, w *wirepb.FleetSnapshot) error {
	contracts, err := tryMapAll(w.GetContracts(), ContractFromWire)
	if err != nil {
		return err
	}
	instances, err := tryMapAll(w.GetInstances(), InstanceFromWire)
	if err != nil {
		return err
	}
	maintenance, err := tryMapAll(w.GetMaintenance(), MaintenanceFromWire)
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

// restoreResults adds the results to s in the order of the message, oldest first,
// because the entries of an ExpiringMap expire in the order in which Put adds them.
func restoreResults(s *fleet.State, w *wirepb.FleetSnapshot) error {
	var lastTime clock.Millis
	for n, m := range w.GetResults() {
		r, err := ResultFromWire(m.GetResult())
		if err != nil {
			return err
		}
		t := clock.Millis(m.GetTimeMs())
		if m.GetRequest() == "" {
			return stateError(KindMissing, "a result has no request id")
		}
		if n > 0 && t < lastTime {
			return stateError(KindRange, "a result with time %d ms follows one with time %d ms", t, lastTime)
		}
		lastTime = t
		s.Results.Put(model.RequestID(m.GetRequest()), r, t)
	}
	return nil
}

// restoreClaims adds the claims to s in the order of the message, for the same
// reason as restoreResults.
func restoreClaims(s *fleet.State, w *wirepb.FleetSnapshot) error {
	var lastTime clock.Millis
	for n, m := range w.GetClaims() {
		k, err := ClaimKeyFromWire(m.GetKey())
		if err != nil {
			return err
		}
		state, err := enumFromWire("claim", "state", m.GetState(), model.ClaimUnknown)
		if err != nil {
			return err
		}
		t := clock.Millis(m.GetTimeMs())
		if n > 0 && t < lastTime {
			return stateError(KindRange, "a claim with time %d ms follows one with time %d ms", t, lastTime)
		}
		lastTime = t
		s.Claims.Put(k, fleet.ClaimRecord{
			Token: m.GetToken(), Owner: model.Process(m.GetOwner()), Incarnation: m.GetRun(),
			State: state, Status: int(m.GetStatus()),
		}, t)
	}
	return nil
}

// restoreReleased adds the tokens of released claims to s in the order of the message.
func restoreReleased(s *fleet.State, w *wirepb.FleetSnapshot) error {
	var lastTime clock.Millis
	for n, m := range w.GetReleased() {
		t := clock.Millis(m.GetTimeMs())
		if n > 0 && t < lastTime {
			return stateError(KindRange, "a released claim with time %d ms follows one with time %d ms", t, lastTime)
		}
		lastTime = t
		s.Released.Put(m.GetToken(), struct{}{}, t)
	}
	return nil
}

func tableChangeToWire(t fleet.TableChange) *wirepb.Touch {
	return &wirepb.Touch{Version: uint64(t.Version), Contract: validUTF8(t.Contract), Instance: validUTF8(t.Instance)}
}

// valuesByKey returns the values of m in ascending order of their keys.
func valuesByKey[K cmp.Ordered, V any](m map[K]V) []V {
	out := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}
