package plan

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// surgeHarness is a fleet whose five services peak in turn.
type surgeHarness struct {
	fleet      *fleetHarness
	now        clock.Millis
	peakMillis [5]clock.Millis
	demand     [5]Demand
	serving    [5]int
	// waited is in request-seconds and lent in instance-seconds.
	waited     float64
	refused    float64
	requests   float64
	lent       float64
	violations int
}

// newSurgeHarness returns a fleet whose five pools have the given sizes and are
// filled.
func newSurgeHarness(seed uint64, sizes ...int) *surgeHarness {
	h := &surgeHarness{fleet: newFleetHarness(seed, 50, 3, userContracts(model.DomainRack, 8, sizes...)), now: clock.Hour}
	h.fleet.startMoves(AssignFromIndex(Spread{}, Settings{}, h.fleet.index, nil).Moves)
	h.fleet.finishMoves()
	h.fleet.moves = 0
	for k := range h.demand {
		h.demand[k] = Demand{Pool: Pool(fmt.Sprintf("p%d", k)), ServiceMillis: 200, QueueLimit: 2000}
		h.peakMillis[k] = clock.Millis(5+h.fleet.rnd.IntN(15)) * clock.Second
	}
	return h
}

// setDemand sets the demand of a service: five times the mean during its peak,
// a twentieth of the mean otherwise. The mean is 0.3 of the pool's slots, so
// the peak is 1.5 times what the pool can serve.
func (h *surgeHarness) setDemand(k, promised int, lowPercent int) {
	d := &h.demand[k]
	mean := 0.3 * float64(promised*8)
	d.NeededSlots = mean / 20
	if sincePeak := (h.now + clock.Millis(5-k)*12*clock.Second) % clock.Minute; sincePeak < h.peakMillis[k] {
		d.NeededSlots = 5 * mean
	}
	since := func(t *clock.Millis, holds bool) {
		if !holds {
			*t = 0
		} else if *t == 0 {
			*t = h.now
		}
	}
	since(&d.HighSince, d.NeededSlots > float64(h.serving[k]*8))
	since(&d.LowSince, d.NeededSlots < float64(promised*8*lowPercent)/100)
}

func (h *surgeHarness) holdings() (out []Holding) {
	counts := h.fleet.index.counts
	for _, p := range h.fleet.contracts[0].Pools {
		out = append(out, Holding{Pool: p.Pool, Spare: "spare", Instances: counts.instances[p.Pool], Promised: p.Instances, SlotsPerInstance: 8})
	}
	return append(out, Holding{Pool: "spare", Instances: counts.instances["spare"], Promised: h.fleet.contracts[0].Spare, SlotsPerInstance: 8})
}

// advanceSecond simulates one second: a decision, its moves, and the queues.
func advanceSecond[C Chooser](h *surgeHarness, chooser C, weights Weights) {
	for k, p := range h.fleet.contracts[0].Pools {
		h.setDemand(k, p.Instances, weights.LowPercent)
	}
	_, extras := Surge(chooser, weights, h.holdings(), h.demand[:], h.now)
	moves := AssignFromIndex(Spread{}, Settings{}, h.fleet.index, extras).Moves
	h.violations += h.fleet.startMoves(moves)
	if h.fleet.index.counts.instances["spare"] < weights.MinSpare {
		h.violations++
	}
	h.lent += float64(max(0, h.fleet.contracts[0].Spare-h.fleet.index.counts.instances["spare"]))
	h.now += clock.Second
	if h.now%weights.MoveMillis == 0 {
		h.violations += h.fleet.finishMoves()
	}
	for k, p := range h.fleet.contracts[0].Pools {
		h.serving[k] = 0
		for _, i := range h.fleet.state.Instances {
			if i.Pool == p.Pool && i.Phase == model.PhaseServing {
				h.serving[k]++
			}
		}
		if h.fleet.index.counts.instances[p.Pool] < p.Instances && !weights.Donate {
			h.violations++
		}
		d := &h.demand[k]
		arrivals := d.NeededSlots * 1000 / float64(d.ServiceMillis)
		h.requests += arrivals
		d.Waiting = max(0, d.Waiting+arrivals-float64(h.serving[k]*8*5))
		h.refused += max(0, d.Waiting-d.QueueLimit)
		d.Waiting = min(d.Waiting, d.QueueLimit)
		h.waited += d.Waiting
	}
}

// TestSurgeKeepsPromisesAndSettles guards against extra instances that are taken
// from the promised ones or from MinSpare, and against instances that move back
// and forth within one peak.
func TestSurgeKeepsPromisesAndSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newSurgeHarness(rapid.Uint64().Draw(t, "seed"), 8, 9, 8, 8, 9)
		weights := RolloutFirst()
		weights.MinSpare = rapid.IntRange(0, 8).Draw(t, "min spare")
		weights.ReturnDelayMillis = clock.Millis(rapid.IntRange(0, 30).Draw(t, "return delay")) * clock.Second
		minutes := 3
		for range 60 * minutes {
			advanceSecond(h, Eager{}, weights)
		}
		if h.violations > 0 {
			t.Fatalf("%d violations of promises, MinSpare or the state machine", h.violations)
		}
		if maxMoves := 2 * (8 - weights.MinSpare) * 5 * (minutes + 1); h.fleet.moves > maxMoves {
			t.Fatalf("%d moves in %d minutes; lending and returning each spare instance once for each peak takes %d", h.fleet.moves, minutes, maxMoves)
		}
	})
}

// TestWeightsDetermineAction guards against a choice that does not follow the
// weights, and against one without costs or a reason.
func TestWeightsDetermineAction(t *testing.T) {
	holdings := []Holding{{"p", "spare", 8, 8, 8}, {"spare", "", 8, 8, 8}}
	demand := Demand{Pool: "p", NeededSlots: 96, ServiceMillis: 200, QueueLimit: 2000, HighSince: 1000}
	for _, c := range []struct {
		name    string
		weights Weights
		action  Action
		extras  int
	}{{"rollout first", RolloutFirst(), ActionLend, 1}, {"buffer first", BufferFirst(), ActionQueue, 0}} {
		choices, extras := Surge(Cheapest{}, c.weights, holdings, []Demand{demand}, 2000)
		assert.Equal(t, choices[0].Action, c.action, "%s: %v", c.name, choices[0])
		assert.Equal(t, len(extras), c.extras)
		assert.Assert(t, choices[0].Costs.Queue > 0 && choices[0].Reason != "")
	}
	// For a peak that lasts far longer than usual, lending costs less than
	// queueing even with the weights that rarely lend.
	choices, _ := Surge(Cheapest{}, BufferFirst(), holdings, []Demand{demand}, 10*clock.Minute)
	assert.Equal(t, choices[0].Action, ActionLend)
	// Extra instances stay until demand has been low for ReturnDelayMillis.
	holdings[0].Instances, holdings[1].Instances = 10, 6
	demand.NeededSlots, demand.HighSince, demand.LowSince = 10, 0, 5000
	choices, extras := Surge(Cheapest{}, RolloutFirst(), holdings, []Demand{demand}, 6000)
	assert.Equal(t, choices[0].Action, ActionKeep)
	assert.DeepEqual(t, extras, []Extra{{Pool: "p", From: "spare", Count: 2}})
	choices, extras = Surge(Cheapest{}, RolloutFirst(), holdings, []Demand{demand}, 15000)
	assert.Equal(t, choices[0].Action, ActionReturn)
	assert.Equal(t, len(extras), 0)
}

// TestDonorsKeepWhatTheyUse guards against donors that give up promised instances
// that they need themselves.
func TestDonorsKeepWhatTheyUse(t *testing.T) {
	weights := RolloutFirst()
	weights.Donate, weights.MinSpare = true, 8
	holdings := []Holding{{"p", "spare", 8, 8, 8}, {"q", "spare", 8, 8, 8}, {"spare", "", 8, 8, 8}}
	for _, c := range []struct {
		busy   float64
		action Action
	}{{3, ActionMove}, {60, ActionQueue}} {
		choices, _ := Surge(Cheapest{}, weights, holdings, []Demand{
			{Pool: "p", NeededSlots: 96, ServiceMillis: 200, HighSince: 1000},
			{Pool: "q", NeededSlots: c.busy, ServiceMillis: 200},
		}, 2000)
		assert.Equal(t, choices[0].Action, c.action, "%v", choices[0])
	}
}
