package roles

import (
	"strings"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/limits"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/conf"
)

// checker judges contracts against the fleet before they are proposed.
type checker struct {
	clock clock.Clock
	set   limits.Settings
}

func newChecker(cfg conf.Control, c clock.Clock) *checker {
	return &checker{clock: c, set: limits.Settings{
		MaintenanceMillis: cfg.Maintenance.MaintenanceMillis,
		PeriodMillis:      clock.Millis(cfg.Maintenance.PeriodDays) * clock.Day,
	}}
}

// check returns why a change is refused, or what falls short of a contract
// that is accepted all the same.
func (k *checker) check(s *fleet.State, c model.Change) (refusal, note string) {
	if c.Kind != model.ChangeContractApply {
		return "", ""
	}
	q := limits.Input{
		Contract: c.Contract,
		Fleet:    limits.NewFleet(s.Instances, model.Quota{}),
		Now:      k.clock.Now(),
	}
	for _, o := range s.Contracts {
		q.Others = append(q.Others, o)
	}
	for _, m := range s.Maintenance {
		q.Declarations = append(q.Declarations, m)
	}
	v := limits.Evaluate(limits.RefuseImpossible{}, limits.MinSlots{}, k.set, q)
	if err := v.Err(); err != nil {
		return err.Error(), ""
	}
	texts := make([]string, 0, len(v.Shortfalls))
	for _, f := range v.Shortfalls {
		texts = append(texts, f.Text)
	}
	return "", strings.Join(texts, "; ")
}
