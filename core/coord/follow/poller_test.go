package follow

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// silentControl is a source whose control members never answer, so that each call to
// one lasts until its timeout. The neighbours answer with a table.
type silentControl struct {
	clock *clock.Fake
	// tableVersion is the version of the neighbours' table.
	tableVersion model.Version
}

func (s silentControl) Watch(_ context.Context, _ model.Member, _ model.Version, wait clock.Millis) (model.Delta, error) {
	s.clock.Advance(wait + watchMargin)
	return model.Delta{}, errors.New("silent")
}

func (s silentControl) Table(_ context.Context, _ model.Member, from model.Version) (model.Delta, bool, error) {
	return model.Delta{From: from, To: s.tableVersion, Full: true}, true, nil
}

// TestSilentControlTakesNoLonger guards against a restarted process that applies the
// neighbour's table much later when control members don't respond than when they refuse
// the connection at once.
func TestSilentControlTakesNoLonger(t *testing.T) {
	clk := clock.NewFake(1_000_000)
	self := model.Member{Name: "e1", Zone: "za"}
	controls := []model.Member{{Name: "c1", Zone: "za"}, {Name: "c2", Zone: "zb"}, {Name: "c3", Zone: "zc"}}
	entries := []model.Member{self, {Name: "e2", Zone: "za"}}
	p := NewPoller(self, controls, entries, silentControl{clock: clk, tableVersion: 7}, func(model.Delta) error { return nil }, clk.Clock())
	start := clk.Now()
	for p.Version() == 0 {
		assert.Assert(t, clk.Now()-start <= 10*clock.Second, "no table after %d ms", clk.Now()-start)
		assert.Assert(t, !p.round(context.Background()))
		clk.Advance(retryDelay)
	}
	assert.Assert(t, clk.Now()-start >= fallbackDelay, "the neighbour's table was applied after only %d ms", clk.Now()-start)
	assert.Equal(t, p.Version(), model.Version(7))
}
