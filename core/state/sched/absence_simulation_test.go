package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// waveMachine is a machine of a simulated platform.
type waveMachine struct {
	id jobs.MachineID
	// gone is set once the platform has taken the machine away for good, and
	// started once its maintenance has started. No worker runs before upAt.
	gone    bool
	started bool
	upAt    clock.Millis
	// omitted is set if the latest list lacked the machine and nothing said so.
	omitted     bool
	incarnation jobs.Incarnation
}

// waveOutcome is an answer in transit to the leader that requested it.
type waveOutcome struct {
	to        *testScheduler
	action    Action
	outcome   Outcome
	arrivesAt clock.Millis
}

// absenceSimulation runs a wave against a platform that refuses orders, loses
// answers, takes machines away and omits machines from its lists, and against
// changes of leader.
type absenceSimulation struct {
	rand      *rand.Rand
	now       clock.Millis
	seq       int64
	leader    *testScheduler
	machines  []*waveMachine
	answers   []waveOutcome
	faultsOff bool
}

func newAbsenceSimulation(seed uint64) *absenceSimulation {
	sim := &absenceSimulation{rand: rand.New(rand.NewPCG(seed, 2)), now: 100_000}
	wave := jobs.Wave{Number: 1, MaxDown: 2, Deadline: 20_000}
	for n := range 6 {
		sim.machines = append(sim.machines, &waveMachine{id: jobs.MachineID(fmt.Sprint("m", n)), incarnation: 1})
		wave.Machines = append(wave.Machines, sim.machines[n].id)
	}
	sim.elect(jobs.New())
	sim.leader.DeclareWave(wave, sim.now)
	return sim
}

func (sim *absenceSimulation) elect(state *jobs.State) {
	settings := Defaults()
	settings.BacklogTargetMillis = 0
	sim.leader = New(settings, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, state, sim.now)
}

// chance returns true once in n calls on average, and never without faults.
func (sim *absenceSimulation) chance(n int) bool { return !sim.faultsOff && sim.rand.IntN(n) == 0 }

func (sim *absenceSimulation) step() {
	sim.now += 100
	if sim.chance(80) {
		sim.elect(sim.leader.State.Clone())
	}
	for _, m := range sim.machines {
		sim.stepMachine(m)
	}
	for _, a := range sim.leader.Pass(sim.now).Actions {
		arrivesAt := sim.now
		if !sim.faultsOff {
			arrivesAt += clock.Millis(sim.rand.IntN(1500))
		}
		sim.answers = append(sim.answers, waveOutcome{sim.leader, a, sim.answer(a), arrivesAt})
	}
	sim.answers = slices.DeleteFunc(sim.answers, func(o waveOutcome) bool {
		if o.arrivesAt > sim.now {
			return false
		}
		if o.to == sim.leader {
			o.to.HandleOutcome(o.action, o.outcome, sim.now)
		}
		return true
	})
}

// stepMachine injects the faults of a machine and sends its worker's heartbeat.
func (sim *absenceSimulation) stepMachine(m *waveMachine) {
	if sim.chance(1500) {
		m.gone = true
	}
	if sim.chance(200) {
		m.upAt = sim.now + clock.Millis(sim.rand.IntN(15_000))
		m.incarnation++
	}
	if m.gone || sim.now < m.upAt || sim.rand.IntN(4) > 0 {
		return
	}
	sim.seq++
	sim.leader.Heartbeat(Heartbeat{
		Worker: jobs.WorkerID("w-" + m.id), Incarnation: m.incarnation, Machine: m.id, Pool: "p", Seq: sim.seq, ReceivedAt: sim.now,
	}, sim.now)
}

// answer carries out an action.
func (sim *absenceSimulation) answer(a Action) Outcome {
	switch {
	case a.Kind == ActionListMachines:
		return sim.list()
	case sim.chance(10):
		return Outcome{Answer: AnswerRefusedForGood}
	}
	m := sim.machines[slices.IndexFunc(sim.machines, func(m *waveMachine) bool { return m.id == a.Machine })]
	if m.gone {
		return Outcome{Answer: []Answer{AnswerRefusedForNow, AnswerRefusedForGood}[sim.rand.IntN(2)]}
	}
	if sim.chance(2) || (sim.now < m.upAt && !m.started) {
		return Outcome{Answer: AnswerRefusedForNow}
	}
	if !m.started {
		m.started = true
		m.upAt = sim.now + Defaults().MaintenanceMillis
		m.incarnation++
	}
	if sim.chance(4) {
		return Outcome{Answer: AnswerUnknown}
	}
	return Outcome{Answer: AnswerDone}
}

// list returns the list of machines. It fails, says that it may lack machines,
// or lacks a machine that the list before it named.
func (sim *absenceSimulation) list() Outcome {
	if sim.chance(8) {
		return Outcome{Answer: AnswerUnknown}
	}
	o := Outcome{Machines: []Machine{{ID: "other", Pool: "p", Available: true}}, Incomplete: sim.chance(4)}
	for _, m := range sim.machines {
		omit := sim.chance(3) && (o.Incomplete || !m.omitted)
		m.omitted = omit
		if !m.gone && !omit {
			o.Machines = append(o.Machines, Machine{ID: m.id, Pool: "p", Available: true})
		}
	}
	return o
}

// unstarted returns a machine that stays and whose maintenance has not started;
// nil for none.
func (sim *absenceSimulation) unstarted() *waveMachine {
	for _, m := range sim.machines {
		if !m.gone && !m.started {
			return m
		}
	}
	return nil
}

// TestCompletedWaveLeavesNoMachineOut runs seeded random sequences of refused
// and unanswered orders, lists that lack machines, machines that crash or are
// taken away, and changes of leader. It guards against a wave that completes
// before the maintenance of a machine that stays has started, and against one
// that never completes.
func TestCompletedWaveLeavesNoMachineOut(t *testing.T) {
	seeds := 1000
	if testing.Short() {
		seeds /= 10
	}
	for seed := range uint64(seeds) {
		sim := newAbsenceSimulation(seed)
		for i := 0; i < 1500 && !sim.leader.State.Waves[1].Completed(); i++ {
			sim.faultsOff = i >= 300
			sim.step()
			assert.NilError(t, goingDownError(sim.leader), "seed %d", seed)
		}
		assert.Assert(t, sim.leader.State.Waves[1].Completed(), "seed %d: the wave has not completed", seed)
		if m := sim.unstarted(); m != nil {
			t.Fatalf("seed %d: the wave has completed, but the maintenance of %s has not started", seed, m.id)
		}
	}
}
