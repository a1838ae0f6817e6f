package plan

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"camphorridge/core/state/model"
)

// draft is an assignment that is being made. It changes the ledger as it goes
// and takes that back at its end.
type draft[P Policy] struct {
	policy    P
	set       Settings
	contracts []model.Contract
	l         *ledger
	moved     []moved
	out       Assignment
}

type moved struct {
	inst model.Instance
	from class
	to   Pool
}

// short lists the pools that lack instances, those that lack most first: when
// there is not enough for all, the worst hit is served first.
func (d *draft[P]) short(spare bool) []Pool {
	pools := slices.DeleteFunc(slices.Sorted(maps.Keys(d.l.need)), func(p Pool) bool {
		return d.l.spares[p] != spare || d.l.surplus(p) >= 0
	})
	slices.SortStableFunc(pools, func(a, b Pool) int { return cmp.Compare(d.l.surplus(a), d.l.surplus(b)) })
	return pools
}

func (d *draft[P]) fill(p Pool, reason string) {
	for d.l.surplus(p) < 0 {
		c, ok := d.source(p)
		if !ok {
			return
		}
		d.move(c, p, fmt.Sprintf("%s %s: %d of %d", p, reason, d.l.have[p], d.l.need[p]))
	}
}

// move takes the first instance of a class to another pool.
func (d *draft[P]) move(c class, to Pool, reason string) {
	i := d.l.racks[c][0]
	d.l.withdraw(c, i)
	d.l.count(c.pool, i, -1)
	d.l.count(to, i, 1)
	d.moved = append(d.moved, moved{inst: i, from: c, to: to})
	d.out.Moves = append(d.out.Moves, Move{Instance: i.ID, From: c.pool, To: to, Reason: reason})
}

func (d *draft[P]) undo() {
	for _, m := range slices.Backward(d.moved) {
		d.l.count(m.to, m.inst, -1)
		d.l.count(m.from.pool, m.inst, 1)
		d.l.offer(m.from, m.inst)
	}
}

// source is the class whose first instance fills the pool best.
func (d *draft[P]) source(to Pool) (class, bool) {
	return d.best(to, func(p Pool) bool {
		return p != to && (d.l.surplus(p) > 0 || d.mayTakeSpare(p, to))
	}, func(class) bool { return true })
}

// best is the class of the allowed pools and places that the policy prefers.
func (d *draft[P]) best(to Pool, pool func(Pool) bool, place func(class) bool) (best class, found bool) {
	var bestOf Candidate
	for _, p := range slices.Sorted(maps.Keys(d.l.order)) {
		if !pool(p) {
			continue
		}
		for _, c := range d.l.order[p] {
			if !place(c) {
				continue
			}
			of := d.l.candidate(c, to)
			if !found || d.policy.Compare(of, bestOf) < 0 {
				best, bestOf, found = c, of, true
			}
		}
	}
	return best, found
}

// mayTakeSpare reports whether the spare pool may serve the pool: it is the
// spare of a customer of the pool, and what other customers still have
// reserved in it stays there. A customer's lost instances count as the part of
// its reserve that was used.
func (d *draft[P]) mayTakeSpare(spare, to Pool) bool {
	if !d.l.spares[spare] || d.l.spares[to] {
		return false
	}
	own, others := false, 0
	for _, c := range d.contracts {
		if c.SparePool != spare {
			continue
		}
		if holds(c, to) {
			own = true
			continue
		}
		gone := 0
		for _, p := range c.Pools {
			gone += d.l.lost[p.Pool]
		}
		others += max(0, c.Spare-gone)
	}
	if d.set.BorrowReserve {
		others = 0
	}
	return own && d.l.have[spare] > others
}

// gaps states what is still missing.
func (d *draft[P]) gaps() {
	l := d.l
	for _, p := range slices.Sorted(maps.Keys(l.need)) {
		if s := l.surplus(p); s < 0 {
			g := Gap{Kind: GapPromised, Pool: p, Need: l.need[p], Have: l.have[p], Reason: "no instance may be moved to it"}
			if l.spares[p] {
				g.Kind = GapSpare
			}
			d.out.Gaps = append(d.out.Gaps, g)
		}
	}
	for p, n := range l.have {
		if !l.spares[p] {
			n = max(0, l.surplus(p))
		}
		d.out.Idle += n
	}
	for _, name := range slices.Sorted(maps.Keys(l.groups)) {
		for _, kind := range kinds {
			if worst, at := l.worst(l.groups[name], kind); worst > 0 {
				d.out.Gaps = append(d.out.Gaps, Gap{
					Kind: GapExposed, Pool: name, Subject: kind.String() + " " + at, Need: worst,
					Reason: fmt.Sprintf("its loss would leave %d promised instances missing", worst),
				})
			}
		}
	}
}
