package trail

import (
	"cmp"
	"slices"

	"camphorridge/core/state/model"
)

// Merge returns the events of all processes in one order: by stamp, then
// process, then sequence number. The order is causal, since a process
// observes the stamp of a message before it records what follows from it.
// An event that several lists contain appears once.
func Merge(lists ...[]model.Event) []model.Event {
	out := slices.Concat(lists...)
	slices.SortFunc(out, compare)
	return slices.Compact(out)
}

func compare(a, b model.Event) int {
	return cmp.Or(
		cmp.Compare(a.Stamp.Wall, b.Stamp.Wall),
		cmp.Compare(a.Stamp.Count, b.Stamp.Count),
		cmp.Compare(a.Process, b.Process),
		cmp.Compare(a.Seq, b.Seq),
	)
}
