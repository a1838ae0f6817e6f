package report

import (
	"fmt"
	"strings"

	"camphorridge/core/state/limits"
	"camphorridge/core/state/model"
)

// derive returns the limits that a contract leads to with the present
// instances.
func derive(c model.Contract, instances []model.Instance) limits.Set {
	byID := make(map[model.InstanceID]model.Instance, len(instances))
	for _, i := range instances {
		byID[i.ID] = i
	}
	return limits.Derive(limits.MinSlots{}, c, limits.NewFleet(byID, model.Quota{}))
}

// limitsTable shows how each limit follows from the contract.
func limitsTable(s limits.Set) *table {
	t := newTable("LIMIT", "VALUE", "RULE", "FROM")
	for _, l := range s.All() {
		t.add(l.Name, limitValue(l.Value), l.Rule, figures(l))
	}
	return t
}

func limitValue(n int64) string {
	if n == limits.Unbounded {
		return "unbounded"
	}
	return fmt.Sprint(n)
}

func figures(l limits.Limit) string {
	texts := make([]string, 0, len(l.Operands))
	for _, f := range l.Operands {
		texts = append(texts, fmt.Sprintf("%s %d", f.Name, f.Value))
	}
	return strings.Join(texts, ", ")
}

func limitObject(l limits.Limit) object {
	return object{
		{"limit", l.Name},
		{"value", l.Value},
		{"rule", l.Rule},
		{"from", list(l.Operands, func(f limits.Operand) object { return object{{f.Name, f.Value}} })},
	}
}
