package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"camphorridge/core/state/clock"
)

// TestExpiringMapBounds guards against a map that after a Put exceeds its limit, holds
// expired keys or lists its keys in another order than that of the Puts, or whose list
// of keys grows with removed keys while an old key stays at its front.
func TestExpiringMapBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewExpiringMap[int, int](5, 100)
		now := clock.Millis(0)
		for n := range 400 {
			now += clock.Millis(rapid.IntRange(0, 3).Draw(t, "pass"))
			k := rapid.IntRange(0, 9).Draw(t, "key")
			if rapid.IntRange(0, 2).Draw(t, "remove") == 0 {
				m.Remove(k)
				continue
			}
			m.Put(k, n, now)
			v, ok := m.Get(k)
			assert.Assert(t, ok && v == n)
			assert.Assert(t, m.Len() <= m.Limit)
			assert.Assert(t, len(m.order) <= 2*m.Len()+staleMargin+1, "%d keys in order for %d held", len(m.order), m.Len())
			last := clock.Millis(-1)
			m.Each(func(_, _ int, at clock.Millis) {
				assert.Assert(t, at >= last && at+m.Lifetime > now)
				last = at
			})
		}
	})
}
