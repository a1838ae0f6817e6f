package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// Parameters of the simulated waves. simOrderMillis is the longest time from an
// order until the platform carries it out or its answer counts as lost; faults
// end after simFaultyMillis, and the wave must be completed simWaveMillis later.
const (
	simMachines                  = 12
	simMaxDown                   = 3
	simOrderMillis  clock.Millis = 2000
	simMoveMillis   clock.Millis = 1500
	simFaultyMillis              = 30 * clock.Second
	simWaveMillis                = 60 * clock.Second
)

// simMachine is a machine of the simulated platform.
type simMachine struct {
	id jobs.MachineID
	// awayUntil is the end of its current move or maintenance.
	awayUntil, nextHeartbeat clock.Millis
	// maintaining is set during its maintenance and maintained from its start.
	maintaining, maintained bool
	incarnation             jobs.Incarnation
}

// simOrder is a maintenance order in flight to the platform.
type simOrder struct {
	action              Action
	from                *testScheduler
	executeAt, answerAt clock.Millis
	executed            bool
	answer              Answer
}

// waveSimulation runs a wave against a platform that also moves machines and is
// slow, refuses orders or loses answers, under changing leaders.
type waveSimulation struct {
	rand       *rand.Rand
	now        clock.Millis
	committed  *jobs.State
	leader     *testScheduler
	machines   []*simMachine
	orders     []*simOrder
	heartbeats []Heartbeat
	seq        int64
	err        error
}

func newWaveSimulation(seed uint64) *waveSimulation {
	sim := &waveSimulation{rand: rand.New(rand.NewPCG(seed, 2)), now: 100_000, committed: jobs.New()}
	sim.elect()
	w := jobs.Wave{Number: 1, MaxDown: simMaxDown, Deadline: 10 * clock.Second}
	for n := range simMachines {
		m := &simMachine{id: jobs.MachineID(fmt.Sprint("m", n)), incarnation: 1}
		sim.machines = append(sim.machines, m)
		w.Machines = append(w.Machines, m.id)
	}
	sim.leader.DeclareWave(w, sim.now)
	sim.committed.Apply(sim.leader.Pass(sim.now).Ops, sim.now)
	return sim
}

func (sim *waveSimulation) elect() {
	settings := Defaults()
	settings.BacklogTargetMillis = 0
	sim.leader = New(settings, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, sim.committed.Clone(), sim.now)
}

// delay returns a random delay: usually short, sometimes up to longest.
func (sim *waveSimulation) delay(longest clock.Millis) clock.Millis {
	if sim.rand.IntN(4) > 0 {
		longest = min(longest, 60)
	}
	return clock.Millis(sim.rand.Int64N(int64(longest)))
}

func (sim *waveSimulation) step(faults bool) {
	sim.now += stepMillis
	for _, m := range sim.machines {
		sim.stepMachine(m, faults)
	}
	late := sim.heartbeats[:0]
	for _, h := range sim.heartbeats {
		if h.ReceivedAt > sim.now {
			late = append(late, h)
			continue
		}
		sim.leader.Heartbeat(h, sim.now)
	}
	sim.heartbeats = late
	if faults && sim.rand.IntN(300) == 0 {
		sim.elect()
	}
	sim.stepOrders()
	p := sim.leader.Pass(sim.now)
	sim.committed.Apply(p.Ops, sim.now)
	for _, a := range actionsOf(p, ActionMaintain) {
		sim.send(a, faults)
	}
	if err := goingDownError(sim.leader); err != nil && sim.err == nil {
		sim.err = fmt.Errorf("at %d ms: %w", sim.now, err)
	}
}

// stepMachine returns a machine from its move or maintenance, moves it, or sends
// a heartbeat of its worker.
func (sim *waveSimulation) stepMachine(m *simMachine, faults bool) {
	if m.awayUntil > sim.now {
		return
	}
	if m.awayUntil > 0 {
		m.awayUntil, m.maintaining, m.nextHeartbeat = 0, false, sim.now
		m.incarnation++
	}
	if faults && sim.rand.IntN(150) == 0 {
		m.awayUntil = sim.now + simMoveMillis
		return
	}
	if m.nextHeartbeat > sim.now {
		return
	}
	m.nextHeartbeat = sim.now + 300
	sim.seq++
	sim.heartbeats = append(sim.heartbeats, Heartbeat{
		Worker: jobs.WorkerID("w-" + m.id), Incarnation: m.incarnation, Machine: m.id, Pool: "p", Seq: sim.seq, ReceivedAt: sim.now + sim.delay(900),
	})
}

func (sim *waveSimulation) send(a Action, faults bool) {
	o := &simOrder{action: a, from: sim.leader, executeAt: sim.now + 1 + sim.delay(simOrderMillis)}
	o.answerAt = o.executeAt + 1 + sim.delay(simOrderMillis)
	switch {
	case !faults:
	case sim.rand.IntN(10) == 0:
		o.executed, o.answer = true, AnswerRefusedForNow
	case sim.rand.IntN(10) == 0 || o.answerAt > sim.now+simOrderMillis:
		o.answer, o.answerAt = AnswerUnknown, sim.now+simOrderMillis
	}
	sim.orders = append(sim.orders, o)
}

// stepOrders carries out orders and delivers answers to the leader that gave the
// order if it still leads.
func (sim *waveSimulation) stepOrders() {
	rest := sim.orders[:0]
	for _, o := range sim.orders {
		if !o.executed && o.executeAt <= sim.now {
			sim.execute(o)
		}
		if o.answerAt > sim.now {
			rest = append(rest, o)
		} else if o.from == sim.leader {
			sim.leader.HandleOutcome(o.action, Outcome{Answer: o.answer}, sim.now)
		}
	}
	sim.orders = rest
}

func (sim *waveSimulation) execute(o *simOrder) {
	o.executed = true
	down := 0
	var machine *simMachine
	for _, m := range sim.machines {
		if m.maintaining {
			down++
		}
		if m.id == o.action.Machine {
			machine = m
		}
	}
	switch {
	case machine.maintained:
	case machine.awayUntil > 0:
		if o.answer == AnswerDone {
			o.answer = AnswerRefusedForNow
		}
	default:
		machine.maintained, machine.maintaining, machine.awayUntil = true, true, sim.now+Defaults().MaintenanceMillis
		if down >= simMaxDown && sim.err == nil {
			sim.err = fmt.Errorf("at %d ms: %s goes down beside %d others", sim.now, machine.id, down)
		}
	}
}

// TestSimulatedWave runs seeded random waves with moves, slow, refused and lost
// orders, late heartbeats and changes of leader. It guards against more than
// MaxDown machines being down, against a wave that never completes and against a worker
// that counts as going down without an open order.
func TestSimulatedWave(t *testing.T) {
	n := uint64(400)
	if testing.Short() {
		n = 40
	}
	for seed := range n {
		sim := newWaveSimulation(seed)
		for end := sim.now + simFaultyMillis; sim.now < end; {
			sim.step(true)
		}
		for end := sim.now + simWaveMillis; sim.now < end && !sim.committed.Waves[1].Completed(); {
			sim.step(false)
		}
		assert.NilError(t, sim.err, "seed %d", seed)
		assert.Assert(t, sim.committed.Waves[1].Completed(), "seed %d", seed)
	}
}
