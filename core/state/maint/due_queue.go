package maint

import (
	"slices"
	"strings"

	"camphorridge/core/state/model"
)

// dueQueue holds the serving instances of one pool that are due for
// maintenance, by rack.
type dueQueue struct {
	// racks is sorted by zone, then by rack; none is empty.
	racks []*rackQueue
}

// rackQueue holds the due instances of one rack, sorted by deadline, then by ID.
type rackQueue struct {
	zone  model.Zone
	rack  model.Rack
	items []*item
}

// find returns the index of the instance's rack in racks. If ok is false, the rack
// is missing and the index is the one at which to insert it.
func (q *dueQueue) find(i model.Instance) (at int, ok bool) {
	return slices.BinarySearchFunc(q.racks, i, func(r *rackQueue, i model.Instance) int {
		if c := strings.Compare(string(r.zone), string(i.Zone)); c != 0 {
			return c
		}
		return strings.Compare(string(r.rack), string(i.Rack))
	})
}

// byDeadline compares items by deadline, then by ID.
func byDeadline(a, b *item) int {
	if a.deadline != b.deadline {
		if a.deadline < b.deadline {
			return -1
		}
		return 1
	}
	return strings.Compare(string(a.inst.ID), string(b.inst.ID))
}

func (q *dueQueue) add(it *item) {
	at, ok := q.find(it.inst)
	if !ok {
		q.racks = slices.Insert(q.racks, at, &rackQueue{zone: it.inst.Zone, rack: it.inst.Rack})
	}
	r := q.racks[at]
	pos, _ := slices.BinarySearchFunc(r.items, it, byDeadline)
	r.items = slices.Insert(r.items, pos, it)
}

func (q *dueQueue) remove(it *item) {
	at, ok := q.find(it.inst)
	if !ok {
		return
	}
	r := q.racks[at]
	r.items = slices.DeleteFunc(r.items, func(x *item) bool { return x == it })
	if len(r.items) == 0 {
		q.racks = slices.Delete(q.racks, at, at+1)
	}
}

// first returns the item with the earliest deadline; nil if the queue is empty.
func (q *dueQueue) first() *item {
	var best *item
	for _, r := range q.racks {
		if best == nil || byDeadline(r.items[0], best) < 0 {
			best = r.items[0]
		}
	}
	return best
}

// racksByDeadline returns the racks in the order of their earliest deadlines.
// Racks with equal deadlines are sorted by zone, then by rack, so that among them
// all racks of one zone come before those of the next.
func (q *dueQueue) racksByDeadline() []*rackQueue {
	out := slices.Clone(q.racks)
	slices.SortStableFunc(out, func(a, b *rackQueue) int {
		switch x, y := a.items[0].deadline, b.items[0].deadline; {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	return out
}
