package limits

import (
	"slices"

	"camphorridge/core/state/model"
)

// Share is the part of total that self may use. The holders' parts differ by
// at most one and sum up to total: remainders go to the first names in
// ascending order. Names listed twice count once; a name that is not a holder
// gets 0.
func Share(total int, holders []model.Process, self model.Process) int {
	names := slices.Clone(holders)
	slices.Sort(names)
	names = slices.Compact(names)
	at, ok := slices.BinarySearch(names, self)
	if !ok || total <= 0 {
		return 0
	}
	part := total / len(names)
	if at < total%len(names) {
		part++
	}
	return part
}
