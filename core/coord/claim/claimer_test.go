package claim

import (
	"context"
	"errors"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// failingGroup refuses outcomes until it is told to accept them.
type failingGroup struct {
	mu       sync.Mutex
	accepts  bool
	refused  chan struct{}
	outcomes []model.ClaimOutcome
}

func (g *failingGroup) Propose(_ context.Context, c model.Change) (model.Result, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.Kind != model.ChangeOutcomes {
		return model.Result{}, nil
	}
	if !g.accepts {
		g.refused <- struct{}{}
		return model.Result{}, errors.New("no leader")
	}
	g.outcomes = append(g.outcomes, c.Outcomes...)
	return model.Result{}, nil
}

// TestStopProposesWaitingOutcomes guards against keys that stay claimed because the
// process was stopped while it waited to propose their outcomes again.
func TestStopProposesWaitingOutcomes(t *testing.T) {
	g := &failingGroup{refused: make(chan struct{}, 1)}
	c := New("e1", 1, g, clock.NewFake(0).Clock())
	ended := make(chan error, 1)
	go func() { ended <- c.Run() }()
	c.Finish(model.ClaimOutcome{Token: "first", NotRun: true})
	<-g.refused
	c.Finish(model.ClaimOutcome{Token: "second", NotRun: true})
	g.mu.Lock()
	g.accepts = true
	g.mu.Unlock()
	c.Stop()
	assert.NilError(t, <-ended)
	assert.DeepEqual(t, g.outcomes, []model.ClaimOutcome{{Token: "first", NotRun: true}, {Token: "second", NotRun: true}})
}
