package sched

import (
	"slices"

	"camphorridge/core/state/jobs"
)

// room bounds what fits on the available workers of a pool during a pass, so that
// the pass can skip the groups that need more.
type room struct {
	// largest holds for each resource the most that is free on any worker. Only
	// reservations made since the latest update can have lessened it.
	largest jobs.Resources
	// excluded holds reservations that fit on no worker although largest allows
	// them. None of them fits in another one.
	excluded []jobs.Resources
}

func newRoom(p *pool) *room {
	r := &room{}
	r.update(p)
	return r
}

// update sets largest to what is free now.
func (r *room) update(p *pool) {
	r.largest = jobs.Resources{}
	for _, w := range p.available {
		r.add(p.free(w))
	}
}

// add extends largest to what is free on a worker.
func (r *room) add(free jobs.Resources) {
	r.largest = maxResources(r.largest, free)
}

// exclude notes that a reservation fits on no worker.
func (r *room) exclude(reserved jobs.Resources) {
	r.excluded = slices.DeleteFunc(r.excluded, reserved.FitsIn)
	r.excluded = append(r.excluded, reserved)
}

// isTooSmallFor reports whether a reservation, or any larger one, fits on no worker.
func (r *room) isTooSmallFor(reserved jobs.Resources) bool {
	return !reserved.FitsIn(r.largest) || slices.ContainsFunc(r.excluded, func(x jobs.Resources) bool { return x.FitsIn(reserved) })
}

// mayFit reports whether groups with the given needs have to be looked at.
func (r *room) mayFit(n groupNeeds) bool { return n.special || !r.isTooSmallFor(n.smallest) }
