package codec

import (
	"errors"
	"testing"

	"camphorridge/core/state/model"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// name replaces an empty required name.
func name[S ~string](s *S) {
	if *s == "" {
		*s = "n"
	}
}

// within maps any number to an enumeration whose last value is last.
func within[E ~int](e *E, last E) { *e = E(uint(*e) % uint(last+1)) }

// some generates a slice of up to 3 items, nil when it is empty.
func some[V any](t *rapid.T, g func(*rapid.T) V) []V {
	var out []V
	for range rapid.IntRange(0, 3).Draw(t, "n") {
		out = append(out, g(t))
	}
	return out
}

func anyContract(t *rapid.T) model.Contract {
	c := rapid.Make[model.Contract]().Draw(t, "contract")
	name(&c.Customer)
	within(&c.Covers, model.DomainZone)
	c.Pools = some(t, func(t *rapid.T) model.PoolShare {
		p := rapid.Make[model.PoolShare]().Draw(t, "share")
		name(&p.Pool)
		return p
	})
	return c
}

func anyInstance(t *rapid.T) model.Instance {
	i := rapid.Make[model.Instance]().Draw(t, "instance")
	name(&i.ID)
	name(&i.Zone)
	name(&i.Pool)
	within(&i.Phase, model.PhaseRetired)
	return i
}

func anyKey(t *rapid.T) model.ClaimKey {
	k := rapid.Make[model.ClaimKey]().Draw(t, "key")
	// A key from a request header need not be UTF-8.
	k.Key = string(rapid.SliceOfN(rapid.Byte(), 1, 8).Draw(t, "bytes"))
	name(&k.Customer)
	name(&k.Service)
	return k
}

func anyChange(t *rapid.T) model.Change {
	all := rapid.Make[model.Change]().Draw(t, "change")
	c := model.Change{Kind: all.Kind, Time: all.Time, Request: all.Request, Author: all.Author, Base: all.Base}
	within(&c.Kind, model.ChangeProcessGone)
	switch c.Kind {
	case model.ChangeContractApply:
		c.Contract = anyContract(t)
	case model.ChangeContractRemove:
		c.Customer = all.Customer
		name(&c.Customer)
	case model.ChangeMaintenanceDeclare, model.ChangeMaintenanceCancel:
		c.Maintenance = all.Maintenance
		name(&c.Maintenance.Name)
	case model.ChangeInstances:
		c.Instances = some(t, func(t *rapid.T) model.InstanceStep {
			return model.InstanceStep{Base: model.Version(rapid.Uint64().Draw(t, "base")), Instance: anyInstance(t)}
		})
	case model.ChangeClaims:
		c.Claims = some(t, func(t *rapid.T) model.Claim {
			return model.Claim{Key: anyKey(t), Token: "t", Owner: "e1"}
		})
	case model.ChangeOutcomes:
		c.Outcomes = some(t, func(t *rapid.T) model.ClaimOutcome {
			o := rapid.Make[model.ClaimOutcome]().Draw(t, "outcome")
			o.Key = anyKey(t)
			name(&o.Token)
			within(&o.State, model.ClaimUnknown)
			return o
		})
	case model.ChangeProcessGone:
		c.Process = all.Process
		name(&c.Process)
	}
	return c
}

func anyResult(t *rapid.T) model.Result {
	r := rapid.Make[model.Result]().Draw(t, "result")
	within(&r.Kind, model.ResultInvalid)
	r.DifferingFields = some(t, func(t *rapid.T) string { return rapid.String().Draw(t, "field") })
	r.Claims = some(t, func(t *rapid.T) model.ClaimAnswer {
		a := rapid.Make[model.ClaimAnswer]().Draw(t, "answer")
		within(&a.FirstState, model.ClaimUnknown)
		return a
	})
	return r
}

// TestRoundTrip fails when a domain field is not carried over the wire.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := anyChange(t)
		c2, err := ChangeFromWire(ChangeToWire(c))
		assert.NilError(t, err)
		assert.DeepEqual(t, c2, c)

		r := anyResult(t)
		r2, err := ResultFromWire(ResultToWire(r))
		assert.NilError(t, err)
		assert.DeepEqual(t, r2, r)

		d := model.Delta{From: 3, To: 9, Full: true, Contracts: some(t, anyContract), Instances: some(t, anyInstance)}
		d.RemovedContracts, d.RemovedInstances = []model.Customer{"c"}, []model.InstanceID{"i"}
		d2, err := DeltaFromWire(DeltaToWire(d))
		assert.NilError(t, err)
		assert.DeepEqual(t, d2, d)

		a := rapid.Make[model.Announcement]().Draw(t, "announcement")
		name(&a.Instance)
		name(&a.Zone)
		name(&a.Pool)
		name(&a.Address)
		within(&a.State, model.AnnounceLeaving)
		a2, err := AnnouncementFromWire(AnnouncementToWire(a))
		assert.NilError(t, err)
		assert.DeepEqual(t, a2, a)

		s := rapid.Make[model.Stamp]().Draw(t, "stamp")
		assert.Equal(t, StampFromWire(StampToWire(s)), s)
	})
}

// TestRefusals guards against decoding a message that a decision could not
// handle: an undefined enumeration value or an object without a name.
func TestRefusals(t *testing.T) {
	valid := model.Instance{ID: "i", Zone: "z", Pool: "p"}
	step := func(i model.Instance) model.Change {
		return model.Change{Kind: model.ChangeInstances, Instances: []model.InstanceStep{{Instance: i}}}
	}
	badPhase := valid
	badPhase.Phase = model.PhaseRetired + 1
	noPool := valid
	noPool.Pool = ""
	key := model.ClaimKey{Customer: "c", Service: "s", Key: "k"}
	cases := []struct {
		name   string
		change model.Change
		kind   Kind
	}{
		{"kind above the last", model.Change{Kind: model.ChangeJobs + 1}, KindRange},
		{"kind below 0", model.Change{Kind: -1}, KindRange},
		{"phase above the last", step(badPhase), KindRange},
		{"step without a pool", step(noPool), KindMissing},
		{"contract without a customer", model.Change{Kind: model.ChangeContractApply}, KindMissing},
		{"removal without a customer", model.Change{Kind: model.ChangeContractRemove}, KindMissing},
		{"maintenance without a name", model.Change{Kind: model.ChangeMaintenanceCancel}, KindMissing},
		{"claim without a token", model.Change{Kind: model.ChangeClaims, Claims: []model.Claim{{Key: key}}}, KindMissing},
		{"outcome with an undefined state", model.Change{
			Kind:     model.ChangeOutcomes,
			Outcomes: []model.ClaimOutcome{{Key: key, Token: "t", State: 9}},
		}, KindRange},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ChangeFromWire(ChangeToWire(c.change))
			var e *Error
			assert.Assert(t, errors.As(err, &e), "got %v", err)
			assert.Equal(t, e.Kind, c.kind)
		})
	}
	_, err := ChangeFromWire(nil)
	assert.NilError(t, err, "a missing change is the empty one")
}
