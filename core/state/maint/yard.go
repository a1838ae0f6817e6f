package maint

import (
	"slices"
	"strings"

	"camphorridge/core/state/model"
)

// yard holds the instances of one pool that are due and serving, by rack.
type yard struct {
	// racks is sorted by zone, then by rack; none is empty.
	racks []*shelf
}

// shelf holds the due instances of one rack, sorted by deadline, then by name.
type shelf struct {
	zone  model.Zone
	rack  model.Rack
	items []*item
}

func (y *yard) find(i model.Instance) (at int, ok bool) {
	return slices.BinarySearchFunc(y.racks, i, func(s *shelf, i model.Instance) int {
		if c := strings.Compare(string(s.zone), string(i.Zone)); c != 0 {
			return c
		}
		return strings.Compare(string(s.rack), string(i.Rack))
	})
}

func byDeadline(a, b *item) int {
	if a.deadline != b.deadline {
		if a.deadline < b.deadline {
			return -1
		}
		return 1
	}
	return strings.Compare(string(a.inst.ID), string(b.inst.ID))
}

func (y *yard) add(it *item) {
	at, ok := y.find(it.inst)
	if !ok {
		y.racks = slices.Insert(y.racks, at, &shelf{zone: it.inst.Zone, rack: it.inst.Rack})
	}
	s := y.racks[at]
	pos, _ := slices.BinarySearchFunc(s.items, it, byDeadline)
	s.items = slices.Insert(s.items, pos, it)
}

func (y *yard) remove(it *item) {
	at, ok := y.find(it.inst)
	if !ok {
		return
	}
	s := y.racks[at]
	s.items = slices.DeleteFunc(s.items, func(x *item) bool { return x == it })
	if len(s.items) == 0 {
		y.racks = slices.Delete(y.racks, at, at+1)
	}
}

// first returns the item with the earliest deadline; nil when the yard is
// empty.
func (y *yard) first() *item {
	var best *item
	for _, s := range y.racks {
		if best == nil || byDeadline(s.items[0], best) < 0 {
			best = s.items[0]
		}
	}
	return best
}

// order returns the shelves by their earliest deadline, then by place, so that
// the racks and zones of one deadline are worked off one after the other.
func (y *yard) order() []*shelf {
	out := slices.Clone(y.racks)
	slices.SortStableFunc(out, func(a, b *shelf) int {
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
