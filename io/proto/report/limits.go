package report

import (
	"fmt"
	"strings"

	"camphorridge/core/state/limits"
	"camphorridge/core/state/model"
)

// deriveLimits returns the limits that follow from the contract and the current
// instances.
func deriveLimits(c model.Contract, instances []model.Instance) limits.Set {
	byID := make(map[model.InstanceID]model.Instance, len(instances))
	for _, i := range instances {
		byID[i.ID] = i
	}
	return limits.Derive(limits.MinSlots{}, c, limits.NewFleet(byID, model.Quota{}))
}

// limitsTable returns a table of the limits. Each row names the rule and the
// operands from which the limit is computed.
func limitsTable(s limits.Set) *table {
	t := newTable("LIMIT", "VALUE", "RULE", "FROM")
	for _, l := range s.All() {
		t.add(l.Name, limitValue(l.Value), l.Rule, operandsText(l))
	}
	return t
}

func limitValue(n int64) string {
	if n == limits.Unbounded {
		return "unbounded"
	}
	return fmt.Sprint(n)
}

// operandsText returns the names and values of the operands of a limit.
func operandsText(l limits.Limit) string {
	texts := make([]string, 0, len(l.Operands))
	for _, o := range l.Operands {
		texts = append(texts, fmt.Sprintf("%s %d", o.Name, o.Value))
	}
	return strings.Join(texts, ", ")
}

func limitObject(l limits.Limit) object {
	return object{
		{"limit", l.Name},
		{"value", l.Value},
		{"rule", l.Rule},
		{"from", mapObjects(l.Operands, func(o limits.Operand) object { return object{{o.Name, o.Value}} })},
	}
}
