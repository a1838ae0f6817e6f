package codec

import (
	"errors"
	"testing"

	"camphorridge/core/state/model"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fillName gives *s a value if it is empty, for fields that must not be empty.
func fillName[S ~string](s *S) {
	if *s == "" {
		*s = "n"
	}
}

// wrapEnum maps *e to one of the defined values, 0 to last.
func wrapEnum[E ~int](e *E, last E) { *e = E(uint(*e) % uint(last+1)) }

// upToThree generates a slice of 0 to 3 items with g. An empty slice is nil.
func upToThree[V any](t *rapid.T, g func(*rapid.T) V) []V {
	var out []V
	for range rapid.IntRange(0, 3).Draw(t, "n") {
		out = append(out, g(t))
	}
	return out
}

func anyContract(t *rapid.T) model.Contract {
	c := rapid.Make[model.Contract]().Draw(t, "contract")
	fillName(&c.Customer)
	wrapEnum(&c.Covers, model.DomainZone)
	c.Pools = upToThree(t, func(t *rapid.T) model.PoolShare {
		p := rapid.Make[model.PoolShare]().Draw(t, "share")
		fillName(&p.Pool)
		return p
	})
	return c
}

func anyInstance(t *rapid.T) model.Instance {
	i := rapid.Make[model.Instance]().Draw(t, "instance")
	fillName(&i.ID)
	fillName(&i.Zone)
	fillName(&i.Pool)
	wrapEnum(&i.Phase, model.PhaseRetired)
	return i
}

func anyClaimKey(t *rapid.T) model.ClaimKey {
	k := rapid.Make[model.ClaimKey]().Draw(t, "key")
	// A key comes from a request header and need not be UTF-8.
	k.Key = string(rapid.SliceOfN(rapid.Byte(), 1, 8).Draw(t, "bytes"))
	fillName(&k.Customer)
	fillName(&k.Service)
	return k
}

// anyChange generates a change of any kind but ChangeJobs, which
// TestJobsChangeRoundTrip covers. The note, and the process and the incarnation of
// ChangeClaims, stay empty.
func anyChange(t *rapid.T) model.Change {
	all := rapid.Make[model.Change]().Draw(t, "change")
	c := model.Change{Kind: all.Kind, Time: all.Time, Request: all.Request, Author: all.Author, Base: all.Base}
	wrapEnum(&c.Kind, model.ChangeProcessGone)
	switch c.Kind {
	case model.ChangeContractApply:
		c.Contract = anyContract(t)
	case model.ChangeContractRemove:
		c.Customer = all.Customer
		fillName(&c.Customer)
	case model.ChangeMaintenanceDeclare, model.ChangeMaintenanceCancel:
		c.Maintenance = all.Maintenance
		fillName(&c.Maintenance.Name)
	case model.ChangeInstances:
		c.Instances = upToThree(t, func(t *rapid.T) model.InstanceStep {
			return model.InstanceStep{Base: model.Version(rapid.Uint64().Draw(t, "base")), Instance: anyInstance(t)}
		})
	case model.ChangeClaims:
		c.Claims = upToThree(t, func(t *rapid.T) model.Claim {
			return model.Claim{Key: anyClaimKey(t), Token: "t", Owner: "e1"}
		})
	case model.ChangeOutcomes:
		c.Outcomes = upToThree(t, func(t *rapid.T) model.ClaimOutcome {
			o := rapid.Make[model.ClaimOutcome]().Draw(t, "outcome")
			o.Key = anyClaimKey(t)
			fillName(&o.Token)
			wrapEnum(&o.State, model.ClaimUnknown)
			return o
		})
	case model.ChangeProcessGone:
		c.Process = all.Process
		fillName(&c.Process)
	}
	return c
}

func anyResult(t *rapid.T) model.Result {
	r := rapid.Make[model.Result]().Draw(t, "result")
	wrapEnum(&r.Kind, model.ResultInvalid)
	r.DifferingFields = upToThree(t, func(t *rapid.T) string { return rapid.String().Draw(t, "field") })
	r.Claims = upToThree(t, func(t *rapid.T) model.ClaimAnswer {
		a := rapid.Make[model.ClaimAnswer]().Draw(t, "answer")
		wrapEnum(&a.FirstState, model.ClaimUnknown)
		return a
	})
	return r
}

// TestRoundTrip checks that no field of the domain types is lost when a value is
// converted to its message and back.
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

		d := model.Delta{From: 3, To: 9, Full: true, Contracts: upToThree(t, anyContract), Instances: upToThree(t, anyInstance)}
		d.RemovedContracts, d.RemovedInstances = []model.Customer{"c"}, []model.InstanceID{"i"}
		d2, err := DeltaFromWire(DeltaToWire(d))
		assert.NilError(t, err)
		assert.DeepEqual(t, d2, d)

		a := rapid.Make[model.Announcement]().Draw(t, "announcement")
		fillName(&a.Instance)
		fillName(&a.Zone)
		fillName(&a.Pool)
		fillName(&a.Address)
		wrapEnum(&a.State, model.AnnounceLeaving)
		a2, err := AnnouncementFromWire(AnnouncementToWire(a))
		assert.NilError(t, err)
		assert.DeepEqual(t, a2, a)

		s := rapid.Make[model.Stamp]().Draw(t, "stamp")
		assert.Equal(t, StampFromWire(StampToWire(s)), s)
	})
}

// TestInvalidChangesAreRejected checks that messages with an undefined enumeration
// value or an empty required field are not decoded. The rest of the system does not
// check either again.
func TestInvalidChangesAreRejected(t *testing.T) {
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
		{"kind above the last defined", model.Change{Kind: model.ChangeJobs + 1}, KindRange},
		{"kind below 0", model.Change{Kind: -1}, KindRange},
		{"phase above the last defined", step(badPhase), KindRange},
		{"instance without a pool", step(noPool), KindMissing},
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
	assert.NilError(t, err, "a nil message decodes to the empty change")
}
