package fleet_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/codec"
)

var (
	pools  = []model.Pool{"a", "b"}
	phases = []model.Phase{model.PhaseServing, model.PhaseReleasing, model.PhaseMaintenance, model.PhaseRetired}
)

// pick draws one of the values.
func pick[V any](t *rapid.T, label string, from ...V) V {
	return rapid.SampledFrom(from).Draw(t, label)
}

// anyBase draws the base version of a change: mostly the current version.
func anyBase(t *rapid.T, current model.Version) model.Version {
	return pick(t, "base", current, current, current, 0, current+1)
}

// anyChange draws a change of one of a few objects, so that changes conflict often.
func anyChange(t *rapid.T, s *fleet.State) model.Change {
	c := model.Change{
		Kind:    model.ChangeKind(pick(t, "kind", 0, 1, 2, 3, 4, 5, 5, 5, 5, 6, 6, 7, 7)),
		Time:    max(1, s.Time+clock.Millis(rapid.IntRange(-40, 40).Draw(t, "time"))),
		Request: model.RequestID(pick(t, "request", "", "", "", "", "", "", "r1", "r2", "r3")),
		Author:  pick(t, "author", "ana", "rui"),
	}
	name := pick(t, "name", "x", "y")
	switch c.Kind {
	case model.ChangeContractApply, model.ChangeContractRemove:
		c.Customer = model.Customer(name)
		c.Base = anyBase(t, s.Contracts[c.Customer].Version)
		c.Contract = model.Contract{Customer: c.Customer, Queue: rapid.IntRange(0, 2).Draw(t, "queue")}
	case model.ChangeMaintenanceDeclare, model.ChangeMaintenanceCancel:
		c.Base = anyBase(t, s.Maintenance[name].Version)
		c.Maintenance = model.Maintenance{Name: name}
	case model.ChangeInstances:
		for range rapid.IntRange(1, 2).Draw(t, "steps") {
			c.Instances = append(c.Instances, anyStep(t, s))
		}
	case model.ChangeClaims:
		for range rapid.IntRange(1, 3).Draw(t, "claims") {
			c.Claims = append(c.Claims, model.Claim{Key: anyKey(t), Token: pick(t, "token", "", "t1", "t2", "t3")})
		}
	case model.ChangeOutcomes:
		c.Outcomes = []model.ClaimOutcome{{
			Key: anyKey(t), Token: pick(t, "token", "t1", "t2", "t3"), NotRun: rapid.Bool().Draw(t, "not run"),
			State: pick(t, "state", model.ClaimDone, model.ClaimUnknown), Status: 200,
		}}
	}
	return c
}

func anyKey(t *rapid.T) model.ClaimKey {
	return model.ClaimKey{Customer: "x", Service: "a", Key: pick(t, "key", "k1", "k2")}
}

func anyStep(t *rapid.T, s *fleet.State) model.InstanceStep {
	id := pick[model.InstanceID](t, "instance", "i1", "i2")
	current := s.Instances[id]
	return model.InstanceStep{Base: anyBase(t, current.Version), Instance: model.Instance{
		ID: id, Zone: "z", Pool: pick(t, "pool", "a", "b", current.Pool, current.Pool), Target: pick(t, "target", pools...),
		Phase:     pick(t, "phase", append(phases, current.Phase, model.PhaseServing)...),
		LostSince: pick[clock.Millis](t, "lost", 0, 0, 1),
	}}
}

// checkPools checks that a change lowered no version and changed no retired instance,
// that no instance changed its pool or left it without a release, and that
// OutOfServiceSince is set if and only if the instance is out of service.
func checkPools(t *rapid.T, before, after model.Table) {
	assert.Assert(t, after.Version >= before.Version)
	for _, is := range after.Instances {
		assert.Assert(t, (is.OutOfServiceSince != 0) == is.OutOfService(), "%+v", is)
	}
	for id, was := range before.Instances {
		is := after.Instances[id]
		assert.Assert(t, is.Version >= was.Version)
		if is == was {
			continue
		}
		assert.Assert(t, was.Phase != model.PhaseRetired, "a retired instance took a step to %s", is.Phase)
		if is.Pool != was.Pool {
			assert.Assert(t, was.Phase == model.PhaseReleasing && was.Target == is.Pool, "from %+v to %+v", was, is)
		}
		if is.Phase == model.PhaseMaintenance || is.Phase == model.PhaseRetired {
			assert.Assert(t, was.Phase != model.PhaseServing, "from serving to %s without a release", is.Phase)
		}
	}
}

// claimLog tracks which attempt holds a key, independently of the state machine.
type claimLog struct {
	holder map[model.ClaimKey]string
	closed map[model.ClaimKey]bool
}

// check fails if a key is granted to a claim without a token, while another attempt
// holds it, or after its request has ended.
func (l *claimLog) check(t *rapid.T, c model.Change, r model.Result) {
	for i, a := range r.Claims {
		if k := c.Claims[i]; a.Granted {
			assert.Assert(t, k.Token != "" && !l.closed[k.Key] && (l.holder[k.Key] == "" || l.holder[k.Key] == k.Token))
			l.holder[k.Key] = k.Token
		}
	}
	for _, o := range c.Outcomes {
		if l.holder[o.Key] != o.Token || l.closed[o.Key] {
			continue
		}
		if o.NotRun {
			l.holder[o.Key] = ""
		} else {
			l.closed[o.Key] = true
		}
	}
}

// TestReplicasStayEqual guards against replicas that differ after the same changes
// when one of them is restored from a snapshot at any point, and against a reader
// whose table differs after applying deltas. It also checks each change against the
// rules for pools, versions, resends and claims.
func TestReplicasStayEqual(t *testing.T) {
	var wire codec.Codec
	rapid.Check(t, func(t *rapid.T) {
		s, replica := fleet.New(), fleet.New()
		reader := model.Table{}
		firstResults := map[model.RequestID]model.Result{}
		log := claimLog{holder: map[model.ClaimKey]string{}, closed: map[model.ClaimKey]bool{}}
		for index := model.Version(1); index <= 40; index++ {
			c := anyChange(t, s)
			before := s.Table()
			r := s.Apply(index, c)
			checkPools(t, before, s.Table())
			for _, o := range s.Outages {
				assert.Assert(t, o.From <= o.To, "an outage of negative length: %+v", o)
			}
			if firstResult, resent := firstResults[c.Request]; resent && c.Request != "" {
				assert.DeepEqual(t, r, firstResult)
				assert.DeepEqual(t, s.Table(), before)
			} else {
				firstResults[c.Request] = r
				log.check(t, c, r)
			}
			if rapid.IntRange(0, 4).Draw(t, "restore") == 0 {
				restored, err := wire.DecodeState(wire.EncodeState(replica))
				assert.NilError(t, err)
				replica = restored
			}
			assert.DeepEqual(t, replica.Apply(index, c), r)
			if rapid.Bool().Draw(t, "read") {
				assert.Assert(t, fleet.Merge(&reader, replica.Delta(reader.Version)))
				want := s.Table()
				assert.Equal(t, reader.Version, want.Version)
				assert.Equal(t, fmt.Sprint(reader), fmt.Sprint(want))
			}
		}
		assert.DeepEqual(t, wire.EncodeState(s), wire.EncodeState(replica))
	})
}

// TestRacingChanges guards against applying two changes with the same base version,
// and against a conflict that does not name its winner.
func TestRacingChanges(t *testing.T) {
	apply := func(base model.Version, queue int) model.Change {
		return model.Change{Kind: model.ChangeContractApply, Base: base, Contract: model.Contract{Customer: "x", Queue: queue}}
	}
	declare := func(base model.Version, deadline clock.Millis) model.Change {
		return model.Change{Kind: model.ChangeMaintenanceDeclare, Base: base, Maintenance: model.Maintenance{Name: "m", Deadline: deadline}}
	}
	step := func(base model.Version, phase model.Phase) model.Change {
		return model.Change{Kind: model.ChangeInstances, Instances: []model.InstanceStep{
			{Base: base, Instance: model.Instance{ID: "i", Zone: "z", Pool: "a", Target: "b", Phase: phase}},
		}}
	}
	remove := model.Change{Kind: model.ChangeContractRemove, Base: 1, Customer: "x"}
	cancel := model.Change{Kind: model.ChangeMaintenanceCancel, Base: 1, Maintenance: model.Maintenance{Name: "m"}}
	none := model.Change{}
	cases := []struct {
		name                 string
		setup, winner, loser model.Change
		differs              []string
	}{
		{"new contracts", none, apply(0, 1), apply(0, 2), []string{"queue"}},
		{"contract updates", apply(0, 1), apply(1, 2), apply(1, 3), []string{"queue"}},
		{"update and removal", apply(0, 1), apply(1, 2), remove, nil},
		{"removal and update", apply(0, 1), remove, apply(1, 2), []string{"queue"}},
		{"two removals", apply(0, 1), remove, remove, nil},
		{"declarations", none, declare(0, 1), declare(0, 2), []string{"deadline-ms"}},
		{"two cancels", declare(0, 1), cancel, cancel, nil},
		{"enrolments", none, step(0, model.PhaseServing), step(0, model.PhaseServing), nil},
		{"releases", step(0, model.PhaseServing), step(1, model.PhaseReleasing), step(1, model.PhaseReleasing), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := fleet.New()
			c.setup.Author, c.winner.Author, c.loser.Author = "zoe", "ana", "rui"
			assert.Equal(t, s.Apply(1, c.setup).Kind, model.ResultApplied)
			assert.Equal(t, s.Apply(2, c.winner).Kind, model.ResultApplied)
			r := s.Apply(3, c.loser)
			assert.Equal(t, r.Kind, model.ResultConflict, "%+v", r)
			assert.Equal(t, r.Winner, "ana")
			assert.Equal(t, r.Version, model.Version(2))
			assert.DeepEqual(t, r.DifferingFields, c.differs)
		})
	}
}

// TestRefusedSteps guards against steps that move an instance without a release or
// return a retired one to service, and against two steps for the same instance in
// one batch.
func TestRefusedSteps(t *testing.T) {
	at := func(pool, target model.Pool, phase model.Phase) model.Instance {
		return model.Instance{ID: "i", Zone: "z", Pool: pool, Target: target, Phase: phase}
	}
	const serving, releasing, maintenance, retired = model.PhaseServing, model.PhaseReleasing, model.PhaseMaintenance, model.PhaseRetired
	cases := []struct {
		name  string
		steps []model.Instance
		next  model.Instance
	}{
		{"move without a release", []model.Instance{at("a", "a", serving)}, at("b", "b", serving)},
		{"move to another pool than the target", []model.Instance{at("a", "a", serving), at("a", "b", releasing)}, at("c", "c", serving)},
		{"pool swapped in the release", []model.Instance{at("a", "a", serving)}, at("b", "b", releasing)},
		{"release without a target", []model.Instance{at("a", "a", serving)}, at("a", "", releasing)},
		{"second release", []model.Instance{at("a", "a", serving), at("a", "b", releasing)}, at("a", "c", releasing)},
		{"maintenance without a release", []model.Instance{at("a", "a", serving)}, at("a", "a", maintenance)},
		{"maintenance in another pool", []model.Instance{at("a", "a", serving), at("a", "b", releasing)}, at("b", "b", maintenance)},
		{"return to another pool", []model.Instance{at("a", "a", serving), at("a", "a", releasing), at("a", "a", maintenance)}, at("b", "b", serving)},
		{"release out of maintenance", []model.Instance{at("a", "a", maintenance)}, at("a", "b", releasing)},
		{"retired while serving", []model.Instance{at("a", "a", serving)}, at("a", "a", retired)},
		{"return of a retired one", []model.Instance{at("a", "a", maintenance), at("a", "a", retired)}, at("a", "a", serving)},
		{"enrolled as releasing", nil, at("a", "b", releasing)},
		{"phase that does not exist", []model.Instance{at("a", "a", serving)}, at("a", "a", retired+1)},
		{"phase below 0", []model.Instance{at("a", "a", serving)}, at("a", "a", -1)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := fleet.New()
			apply := func(i model.Instance) model.Result {
				return s.Apply(s.Index+1, model.Change{
					Kind: model.ChangeInstances, Instances: []model.InstanceStep{{Base: s.Instances["i"].Version, Instance: i}},
				})
			}
			for _, i := range c.steps {
				assert.Equal(t, apply(i).Kind, model.ResultApplied)
			}
			before := s.Table()
			assert.Equal(t, apply(c.next).Kind, model.ResultInvalid)
			assert.DeepEqual(t, s.Table(), before)
		})
	}
	s := fleet.New()
	twice := model.InstanceStep{Instance: at("a", "a", serving)}
	r := s.Apply(1, model.Change{Kind: model.ChangeInstances, Instances: []model.InstanceStep{twice, twice}})
	assert.Equal(t, r.Kind, model.ResultInvalid)
	assert.Equal(t, len(s.Instances), 0)
}

// TestBounds guards against a state that grows without bound over many removals,
// replacements and table changes.
func TestBounds(t *testing.T) {
	s := fleet.New()
	put := func(c model.Change) { assert.Equal(t, s.Apply(s.Index+1, c).Kind, model.ResultApplied) }
	for n := range fleet.MaxRemoved + 2 {
		m := model.Maintenance{Name: fmt.Sprint(n)}
		put(model.Change{Kind: model.ChangeMaintenanceDeclare, Maintenance: m})
		put(model.Change{Kind: model.ChangeMaintenanceCancel, Base: s.Index, Maintenance: m})
	}
	assert.Assert(t, len(s.Authors) <= fleet.MaxRemoved)
	assert.Assert(t, len(s.Authors) >= fleet.MaxRemoved/2)
	for _, phase := range []model.Phase{model.PhaseMaintenance, model.PhaseRetired} {
		for n := range fleet.MaxRetired + 300 {
			i := model.Instance{ID: model.InstanceID(fmt.Sprint(n)), Zone: "z", Pool: "a", Phase: phase}
			put(model.Change{Kind: model.ChangeInstances, Instances: []model.InstanceStep{{Base: s.Instances[i.ID].Version, Instance: i}}})
		}
	}
	for range fleet.MaxTableChanges {
		put(model.Change{Kind: model.ChangeContractApply, Base: s.Contracts["x"].Version, Contract: model.Contract{Customer: "x"}})
	}
	retired := 0
	for _, i := range s.Instances {
		if i.Phase == model.PhaseRetired {
			retired++
		}
	}
	assert.Equal(t, retired, fleet.MaxRetired)
	assert.Equal(t, len(s.TableChanges), fleet.MaxTableChanges)
	reader := model.Table{}
	assert.Assert(t, s.Delta(1).Full, "a reader behind the recorded changes gets the whole table")
	assert.Assert(t, fleet.Merge(&reader, s.Delta(1)))
	assert.Equal(t, len(reader.Instances), len(s.Instances))
	assert.Assert(t, !fleet.Merge(&reader, model.Delta{To: 1, Full: true}), "the version of a table never decreases")
}

// TestNewIncarnationEndsEarlierClaims guards against a claim that stays running
// after its process has died, and against a claim of the present incarnation that
// becomes unknown.
func TestNewIncarnationEndsEarlierClaims(t *testing.T) {
	s := fleet.New()
	key := func(k string) model.ClaimKey { return model.ClaimKey{Customer: "acme", Service: "merge", Key: k} }
	claim := func(index model.Version, k string, incarnation uint64) model.ClaimAnswer {
		r := s.Apply(index, model.Change{
			Kind: model.ChangeClaims, Process: "e1", Incarnation: incarnation,
			Claims: []model.Claim{{Key: key(k), Token: "t" + k}},
		})
		return r.Claims[0]
	}
	assert.Assert(t, claim(1, "a", 10).Granted)
	s.Apply(2, model.Change{Kind: model.ChangeClaims, Process: "e1", Incarnation: 11})
	assert.Assert(t, claim(3, "b", 11).Granted)
	held, _ := s.Claims.Get(key("a"))
	assert.Equal(t, held.State, model.ClaimUnknown)
	held, _ = s.Claims.Get(key("b"))
	assert.Equal(t, held.State, model.ClaimRunning)
	assert.Assert(t, !claim(4, "a", 10).Granted, "a request of an earlier incarnation must not run again")
}

// TestReleasedClaimIsNotGranted guards against a key that stays claimed as running for a
// day although its request never ran: a network partition holds up the claim, its caller
// gives up, and the claim arrives after the outcome "not run", or a second time after it.
func TestReleasedClaimIsNotGranted(t *testing.T) {
	s := fleet.New()
	key := model.ClaimKey{Customer: "x", Service: "s", Key: "k"}
	claim := func(token string) model.ClaimAnswer {
		r := s.Apply(s.Index+1, model.Change{Kind: model.ChangeClaims, Claims: []model.Claim{{Key: key, Token: token}}})
		return r.Claims[0]
	}
	release := func(token string) {
		s.Apply(s.Index+1, model.Change{Kind: model.ChangeOutcomes, Outcomes: []model.ClaimOutcome{{Key: key, Token: token, NotRun: true}}})
	}
	release("first")
	assert.Assert(t, !claim("first").Granted)
	assert.Assert(t, claim("second").Granted)
	release("second")
	assert.Assert(t, !claim("second").Granted)
	assert.Assert(t, !claim("first").Granted)
	assert.Assert(t, claim("third").Granted)
}
