package intake

import "sync/atomic"

// Budget counts reserved bytes. A reservation never waits.
type Budget struct {
	// Capacity is the number of bytes that may be reserved. A reservation of more counts
	// as Capacity, so that a single large request is served while nothing else is
	// reserved.
	Capacity int64
	used     atomic.Int64
}

// reserve reserves n bytes. It returns the number of bytes that it has reserved, and
// false if there is no room.
func (b *Budget) reserve(n int64) (int64, bool) {
	n = min(n, b.Capacity)
	if b.used.Add(n) > b.Capacity {
		b.used.Add(-n)
		return 0, false
	}
	return n, true
}

func (b *Budget) release(n int64) { b.used.Add(-n) }

// Used returns the number of reserved bytes. It may exceed Capacity for a moment, by
// reservations that are being refused.
func (b *Budget) Used() int64 { return b.used.Load() }

// Budgets holds the budgets of a class of listeners.
type Budgets struct {
	// Small is for bodies of at most SmallBytes that arrive within SmallTime. All classes
	// share it.
	Small *Budget
	// Large is for all other bodies, and for small ones while Small is used up.
	Large *Budget
}

// charge is what one body has reserved.
type charge struct {
	budgets Budgets
	small   int64
	large   int64
	// nominal is the number of bytes that were asked for. It exceeds the others if a
	// reservation was limited to the capacity of its budget.
	nominal int64
}

// grow reserves up to n bytes in all. A body that outgrows SmallBytes moves to the large
// budget. It returns false, and keeps what was reserved, if there is no room.
func (c *charge) grow(n int64) bool {
	if n <= c.nominal {
		return true
	}
	if n <= SmallBytes && c.large == 0 {
		if got, ok := c.budgets.Small.reserve(n - c.small); ok {
			c.small += got
			c.nominal = n
			return true
		}
	}
	return c.move(n)
}

// move reserves n bytes of the large budget in place of what is reserved.
func (c *charge) move(n int64) bool {
	if more := min(n, c.budgets.Large.Capacity) - c.large; more > 0 {
		got, ok := c.budgets.Large.reserve(more)
		if !ok {
			return false
		}
		c.large += got
	}
	c.nominal = max(n, c.nominal)
	c.budgets.Small.release(c.small)
	c.small = 0
	return true
}

func (c *charge) release() {
	c.budgets.Small.release(c.small)
	c.budgets.Large.release(c.large)
	c.small, c.large, c.nominal = 0, 0, 0
}
