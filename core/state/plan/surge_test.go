package plan

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// surgeRun is a fleet whose five services peak in turn.
type surgeRun struct {
	w        *world
	now      clock.Millis
	length   [5]clock.Millis
	demand   [5]Demand
	serving  [5]int
	waited   float64
	refused  float64
	requests float64
	lent     float64
	breaches int
}

func newSurge(seed uint64, sizes ...int) *surgeRun {
	r := &surgeRun{w: newWorld(seed, 50, 3, users(model.DomainRack, 8, sizes...)), now: clock.Hour}
	r.w.release(Decide(Spread{}, Settings{}, r.w.book, nil).Moves)
	r.w.finish()
	r.w.moves = 0
	for k := range r.demand {
		r.demand[k] = Demand{Pool: Pool(fmt.Sprintf("p%d", k)), ServiceMillis: 200, QueueLimit: 2000}
		r.length[k] = clock.Millis(5+r.w.rnd.IntN(15)) * clock.Second
	}
	return r
}

// ask sets the demand of a service: five times the mean while it peaks, a
// twentieth of it otherwise. The mean is 0.3 of the pool's slots, so that a
// peak is half as much again as the pool holds.
func (r *surgeRun) ask(k, promised int, low int) {
	d := &r.demand[k]
	mean := 0.3 * float64(promised*8)
	d.NeededSlots = mean / 20
	if at := (r.now + clock.Millis(5-k)*12*clock.Second) % clock.Minute; at < r.length[k] {
		d.NeededSlots = 5 * mean
	}
	since := func(t *clock.Millis, on bool) {
		if !on {
			*t = 0
		} else if *t == 0 {
			*t = r.now
		}
	}
	since(&d.HighSince, d.NeededSlots > float64(r.serving[k]*8))
	since(&d.LowSince, d.NeededSlots < float64(promised*8*low)/100)
}

func (r *surgeRun) holdings() (out []Holding) {
	a := r.w.book.counts
	for _, p := range r.w.contracts[0].Pools {
		out = append(out, Holding{Pool: p.Pool, Spare: "spare", Instances: a.instances[p.Pool], Promised: p.Instances, SlotsPerInstance: 8})
	}
	return append(out, Holding{Pool: "spare", Instances: a.instances["spare"], Promised: r.w.contracts[0].Spare, SlotsPerInstance: 8})
}

// second lets one second pass: a decision, its moves, and the queues.
func second[C Chooser](r *surgeRun, c C, w Weights) {
	for k, p := range r.w.contracts[0].Pools {
		r.ask(k, p.Instances, w.LowPercent)
	}
	_, extras := Surge(c, w, r.holdings(), r.demand[:], r.now)
	moves := Decide(Spread{}, Settings{}, r.w.book, extras).Moves
	r.breaches += r.w.release(moves)
	if r.w.book.counts.instances["spare"] < w.MinSpare {
		r.breaches++
	}
	r.lent += float64(max(0, r.w.contracts[0].Spare-r.w.book.counts.instances["spare"]))
	r.now += clock.Second
	if r.now%w.MoveMillis == 0 {
		r.breaches += r.w.finish()
	}
	for k, p := range r.w.contracts[0].Pools {
		r.serving[k] = 0
		for _, i := range r.w.state.Instances {
			if i.Pool == p.Pool && i.Phase == model.PhaseServing {
				r.serving[k]++
			}
		}
		if r.w.book.counts.instances[p.Pool] < p.Instances && !w.Donate {
			r.breaches++
		}
		d := &r.demand[k]
		arrive := d.NeededSlots * 1000 / float64(d.ServiceMillis)
		r.requests += arrive
		d.Waiting = max(0, d.Waiting+arrive-float64(r.serving[k]*8*5))
		r.refused += max(0, d.Waiting-d.QueueLimit)
		d.Waiting = min(d.Waiting, d.QueueLimit)
		r.waited += d.Waiting
	}
}

// Guards against a surge that takes promised instances or the spare that has
// to stay, and against instances that move to and fro within one peak.
func TestSurgeKeepsPromisesAndSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newSurge(rapid.Uint64().Draw(t, "seed"), 8, 9, 8, 8, 9)
		w := RolloutFirst()
		w.MinSpare = rapid.IntRange(0, 8).Draw(t, "keep")
		w.ReturnDelayMillis = clock.Millis(rapid.IntRange(0, 30).Draw(t, "hold")) * clock.Second
		minutes := 3
		for range 60 * minutes {
			second(r, Eager{}, w)
		}
		if r.breaches > 0 {
			t.Fatalf("%d breaches", r.breaches)
		}
		if most := 2 * (8 - w.MinSpare) * 5 * (minutes + 1); r.w.moves > most {
			t.Fatalf("%d moves in %d minutes; one loan of each instance for each peak is %d", r.w.moves, minutes, most)
		}
	})
}

// Guards against a decision that does not follow the preferences, and against
// a reason that names no cost.
func TestPreferencesDecide(t *testing.T) {
	holdings := []Holding{{"p", "spare", 8, 8, 8}, {"spare", "", 8, 8, 8}}
	demand := Demand{Pool: "p", NeededSlots: 96, ServiceMillis: 200, QueueLimit: 2000, HighSince: 1000}
	for _, c := range []struct {
		name   string
		w      Weights
		action Action
		extras int
	}{{"time first", RolloutFirst(), ActionLend, 1}, {"buffer first", BufferFirst(), ActionQueue, 0}} {
		choices, extras := Surge(Cheapest{}, c.w, holdings, []Demand{demand}, 2000)
		assert.Equal(t, choices[0].Action, c.action, "%s: %v", c.name, choices[0])
		assert.Equal(t, len(extras), c.extras)
		assert.Assert(t, choices[0].Costs.Queue > 0 && choices[0].Reason != "")
	}
	// A peak that goes on far longer than peaks do is worth lending for under
	// either preference.
	choices, _ := Surge(Cheapest{}, BufferFirst(), holdings, []Demand{demand}, 10*clock.Minute)
	assert.Equal(t, choices[0].Action, ActionLend)
	// What is in place stays until demand has been low for long enough.
	holdings[0].Instances, holdings[1].Instances = 10, 6
	demand.NeededSlots, demand.HighSince, demand.LowSince = 10, 0, 5000
	choices, extras := Surge(Cheapest{}, RolloutFirst(), holdings, []Demand{demand}, 6000)
	assert.Equal(t, choices[0].Action, ActionKeep)
	assert.DeepEqual(t, extras, []Extra{{Pool: "p", From: "spare", Count: 2}})
	choices, extras = Surge(Cheapest{}, RolloutFirst(), holdings, []Demand{demand}, 15000)
	assert.Equal(t, choices[0].Action, ActionReturn)
	assert.Equal(t, len(extras), 0)
}

// Guards against donors that give while they need their instances, with a
// preference that lets pools give up promised ones.
func TestDonorsKeepWhatTheyUse(t *testing.T) {
	w := RolloutFirst()
	w.Donate, w.MinSpare = true, 8
	holdings := []Holding{{"p", "spare", 8, 8, 8}, {"q", "spare", 8, 8, 8}, {"spare", "", 8, 8, 8}}
	for _, c := range []struct {
		busy   float64
		action Action
	}{{3, ActionMove}, {60, ActionQueue}} {
		choices, _ := Surge(Cheapest{}, w, holdings, []Demand{
			{Pool: "p", NeededSlots: 96, ServiceMillis: 200, HighSince: 1000},
			{Pool: "q", NeededSlots: c.busy, ServiceMillis: 200},
		}, 2000)
		assert.Equal(t, choices[0].Action, c.action, "%v", choices[0])
	}
}
