package jobs

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func drawResources(t *rapid.T, name string) Resources {
	n := rapid.IntRange(-100, 100)
	return Resources{MilliCores: n.Draw(t, name+"-cores"), MemoryMiB: n.Draw(t, name+"-memory"), Accelerators: n.Draw(t, name+"-accelerators")}
}

// TestResourcesArithmetic guards against a sum or comparison that omits a
// resource: the free resources of a worker would drift with each task that
// ends.
func TestResourcesArithmetic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawResources(t, "a"), drawResources(t, "b")
		assert.Equal(t, a.Plus(b).Minus(b), a)
		assert.Equal(t, a.Plus(b), b.Plus(a))
		assert.Equal(t, a.FitsIn(b), a.Minus(b).FitsIn(Resources{}))
	})
	for _, one := range []Resources{{MilliCores: 1}, {MemoryMiB: 1}, {Accelerators: 1}} {
		assert.Equal(t, (Resources{}).Plus(one), one)
		assert.Assert(t, !one.FitsIn(Resources{}))
		assert.Assert(t, one.FitsIn(one))
	}
}
