package trail

import (
	"cmp"
	"slices"

	"camphorridge/core/state/model"
)

// Merge merges the events of all processes and orders them by stamp, then
// process, then sequence number. The order is causal, because a process observes
// the stamp of a message before it records events caused by the message. An event
// that is contained in several lists appears once.
func Merge(lists ...[]model.Event) []model.Event {
	out := slices.Concat(lists...)
	slices.SortFunc(out, compareEvents)
	return slices.Compact(out)
}

// compareEvents compares two events in the order of Merge.
func compareEvents(a, b model.Event) int {
	return cmp.Or(
		cmp.Compare(a.Stamp.Wall, b.Stamp.Wall),
		cmp.Compare(a.Stamp.Count, b.Stamp.Count),
		cmp.Compare(a.Process, b.Process),
		cmp.Compare(a.Seq, b.Seq),
	)
}
