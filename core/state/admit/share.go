package admit

import (
	"slices"

	"camphorridge/core/state/model"
)

// Share returns the part of total that belongs to the process of the given rank
// among count processes. The shares of all ranks add up to total; the remainder
// goes to the lowest ranks. The share is 0 for a rank out of range.
func Share(total, rank, count int) int {
	if total <= 0 || count <= 0 || rank < 0 || rank >= count {
		return 0
	}
	share := total / count
	if rank < total%count {
		share++
	}
	return share
}

// Rank returns the position of self among the sorted names, from 0, and the number
// of distinct names. The rank is -1 if self is not among them.
func Rank(names []model.Process, self model.Process) (rank, count int) {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	return slices.Index(sorted, self), len(sorted)
}
