package roles

import (
	"strings"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/limits"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/conf"
)

// contractChecker checks contracts against the fleet before they are proposed.
type contractChecker struct {
	clock    clock.Clock
	settings limits.Settings
}

func newContractChecker(cfg conf.Control, c clock.Clock) *contractChecker {
	return &contractChecker{clock: c, settings: limits.Settings{
		MaintenanceMillis: cfg.Maintenance.MaintenanceMillis,
		PeriodMillis:      clock.Millis(cfg.Maintenance.PeriodDays) * clock.Day,
	}}
}

// check returns the reason why a change must be refused, or else a note that lists
// the shortfalls of a contract that can be accepted. Both are empty if the contract
// has no shortfall, and for changes that apply no contract.
func (k *contractChecker) check(s *fleet.State, c model.Change) (refusal, note string) {
	if c.Kind != model.ChangeContractApply {
		return "", ""
	}
	input := limits.Input{
		Contract: c.Contract,
		Fleet:    limits.NewFleet(s.Instances, model.Quota{}),
		Now:      k.clock.Now(),
	}
	for _, o := range s.Contracts {
		input.Others = append(input.Others, o)
	}
	for _, m := range s.Maintenance {
		input.Declarations = append(input.Declarations, m)
	}
	verdict := limits.Evaluate(limits.RefuseImpossible{}, limits.MinSlots{}, k.settings, input)
	if err := verdict.Err(); err != nil {
		return err.Error(), ""
	}
	texts := make([]string, 0, len(verdict.Shortfalls))
	for _, f := range verdict.Shortfalls {
		texts = append(texts, f.Text)
	}
	return "", strings.Join(texts, "; ")
}
