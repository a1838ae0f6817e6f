package lend_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/lend"
	"camphorridge/core/state/model"
	"camphorridge/core/state/route"
)

const (
	slots = 8
	lease = 2 * clock.Second
	hold  = 3 * clock.Second
)

// eager asks for and gives as much as it can, so that the safety of the loans
// does not rest on the policy.
type eager struct{ lend.Idle }

func (eager) Want(p lend.Pressure) int      { return p.Waiting }
func (eager) Give(s lend.UpstreamSlots) int { return s.Lendable }

// run is a request in flight.
type run struct {
	held route.Reservation
	loan *lend.HeldLoan
	id   model.InstanceID
	ends clock.Millis
}

// proc is an entry process. Its clock is off by offset.
type proc struct {
	member  model.Member
	offset  clock.Millis
	number  uint64
	ledger  *lend.Ledger[eager]
	router  *route.Router[route.LeastLoaded]
	runs    []run
	version model.Version
}

// message is an order under way. Once lost, the sender was told that there was
// no answer, and the request may still arrive.
type message struct {
	from, to      *proc
	number        uint64
	order         lend.Message
	asked         clock.Millis
	answer        lend.LoanResponse
	clear         bool
	replied, lost bool
}

// world is four entry processes in two zones and the upstreams of one.
type world struct {
	t *rapid.T
	// rng draws the schedule; rapid draws its seed, as its own draws favour
	// small numbers and would seldom reach a loan.
	rng   *rand.Rand
	now   clock.Millis
	procs []*proc
	net   []*message
	table []model.Instance
	// moved and confirmed tell which releases were confirmed by whom.
	moved     map[model.InstanceID]bool
	confirmed map[model.InstanceID]map[*proc]bool
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: 1_000_000, moved: map[model.InstanceID]bool{}, confirmed: map[model.InstanceID]map[*proc]bool{}}
	for i := range 2 {
		w.table = append(w.table, model.Instance{
			ID: model.InstanceID(fmt.Sprintf("u%d", i)), Zone: "za", Pool: "p", Target: "p",
			Slots: slots, Connections: 64, Version: model.Version(i + 1),
		})
	}
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		w.procs = append(w.procs, &proc{
			member: model.Member{Name: model.Process(name), Zone: model.Zone("z" + name[:1])},
			offset: clock.Millis(w.rng.IntN(200_000) - 100_000),
		})
	}
	for _, p := range w.procs {
		w.start(p)
	}
	return w
}

func (w *world) at(p *proc) clock.Millis { return w.now + p.offset }

// start begins a run of a process; the requests of the run before end with it.
func (w *world) start(p *proc) {
	p.number++
	var all []model.Member
	for _, o := range w.procs {
		all = append(all, o.member)
	}
	if len(all) < 4 {
		panic("the processes are not complete")
	}
	p.runs = nil
	p.ledger = lend.New(lend.Settings{
		Self: p.member.Name, Zone: p.member.Zone, Entries: all, Incarnation: p.number,
		Lease: lease, MaxRequestTime: hold, ReservePercent: 25,
	}, eager{}, w.at(p))
	rank := int(p.member.Name[1] - '1')
	p.router = route.New(route.Settings{Zone: p.member.Zone, Rank: rank, Count: 2, Lending: true, ReservePercent: 25}, route.LeastLoaded{})
	p.version = 0
	w.read(p)
	for _, i := range w.table {
		if p.member.Zone == i.Zone {
			p.router.SetAnnouncement(w.at(p), model.Announcement{
				Instance: i.ID, Zone: i.Zone, Pool: "p", Address: "10.0.0.1:1", Slots: slots, Connections: 64, Incarnation: 1,
			}, true)
		}
	}
	w.sync(p)
}

// read puts the newest table in force.
func (w *world) read(p *proc) {
	before := p.version
	for _, i := range w.table {
		p.version = max(p.version, i.Version)
	}
	p.router.Version = p.version
	for _, i := range w.table {
		if i.Version > before {
			p.router.SetInstance(w.at(p), i, before)
			p.ledger.EndLoansOf(i)
		}
	}
}

func (w *world) sync(p *proc) {
	p.router.LoansUncertain = p.ledger.Quarantined(w.at(p))
	p.ledger.TakeChanges(func(id model.InstanceID, n int) { p.router.SetLent(id, n) })
}

func (w *world) proc() *proc { return w.procs[w.rng.IntN(len(w.procs))] }

func (w *world) find(name model.Process) *proc {
	for _, p := range w.procs {
		if p.member.Name == name {
			return p
		}
	}
	return nil
}

func (w *world) advance() {
	target := w.now + clock.Millis([]int{1, 20, 50, 50, 100, 200, 400, 1800, 5500, 50}[w.rng.IntN(10)])
	for w.now < target {
		w.now = min(w.now+50, target)
		for _, p := range w.procs {
			for i := len(p.runs) - 1; i >= 0; i-- {
				if p.runs[i].ends <= w.now {
					w.end(p, i)
				}
			}
		}
	}
}

func (w *world) end(p *proc, i int) {
	r := p.runs[i]
	p.runs = append(p.runs[:i], p.runs[i+1:]...)
	if r.loan != nil {
		p.ledger.Release(w.at(p), r.loan, false, false)
		return
	}
	p.router.End(w.at(p), r.held, route.OutcomeOK)
}

// use starts requests as the dispatcher does: the own share first.
func (w *world) use() {
	p := w.proc()
	w.sync(p)
	for range 1 + w.rng.IntN(8) {
		r := run{ends: w.now + clock.Millis(1+w.rng.IntN(int(hold)))}
		if h, ok := p.router.Reserve(w.at(p), "p", ""); ok {
			r.held, r.id = h, h.Upstream.Instance
		} else if l, ok := p.ledger.Acquire(w.at(p), "p", ""); ok {
			r.loan, r.id = l, l.Instance
		} else {
			return
		}
		if w.moved[r.id] {
			w.t.Fatalf("%s starts a request on %s, which has left the pool", p.member.Name, r.id)
		}
		p.runs = append(p.runs, r)
	}
}

func (w *world) finish() {
	if p := w.proc(); len(p.runs) > 0 {
		w.end(p, w.rng.IntN(len(p.runs)))
	}
}

// plan sends what the ledger wants to be sent.
func (w *world) plan() {
	p := w.proc()
	p.ledger.Expire(w.at(p))
	w.sync(p)
	need := lend.PoolDemand{Pool: "p", InstancesByZone: map[model.Zone]int{"za": 2}, Pressure: lend.Pressure{Waiting: w.rng.IntN(10)}}
	for _, o := range p.ledger.DueMessages(w.at(p), []lend.PoolDemand{need}, nil) {
		w.net = append(w.net, &message{from: p, to: w.find(o.To), number: p.number, order: o, asked: w.at(p)})
	}
}

// carry moves a message on: it arrives, its answer arrives, or the sender
// gives it up.
func (w *world) carry() {
	if len(w.net) == 0 {
		return
	}
	i := w.rng.IntN(len(w.net))
	m := w.net[i]
	if !m.lost && w.rng.IntN(10) == 0 {
		m.lost = true
		w.tell(m, false)
		return
	}
	if m.replied || m.lost && w.rng.IntN(2) == 0 {
		w.net = append(w.net[:i], w.net[i+1:]...)
		if m.replied && !m.lost {
			w.tell(m, true)
		}
		return
	}
	w.arrive(m)
	m.replied = true
}

func (w *world) arrive(m *message) {
	now := w.at(m.to)
	switch m.order.Kind {
	case lend.MessageRequest:
		m.answer = m.to.ledger.Grant(now, m.order.Request, m.to.router.PoolUpstreamSlots(now, "p", 0, nil), func(id model.InstanceID) (lend.UpstreamSlots, bool) {
			return m.to.router.UpstreamSlots(id, func(model.Pool) int { return 0 })
		})
	case lend.MessageReturn:
		m.to.ledger.HandleReturn(m.order.Return)
	case lend.MessageRecall:
		m.clear = m.to.ledger.HandleRecall(m.order.Recall)
	}
	w.sync(m.to)
}

// tell reports the end of an order to its sender, if it still runs.
func (w *world) tell(m *message, ok bool) {
	if m.number != m.from.number {
		return
	}
	l := m.from.ledger
	switch m.order.Kind {
	case lend.MessageRequest:
		l.HandleResponse(w.at(m.from), m.order, m.asked, m.answer, ok)
		for _, i := range w.table {
			if i.Version <= m.from.version {
				l.EndLoansOf(i)
			}
		}
	case lend.MessageReturn:
		l.HandleReturnResult(m.order, ok)
	case lend.MessageRecall:
		if ok && m.clear {
			l.HandleRecallAck(m.to.member.Name)
		}
	}
	w.sync(m.from)
}

func (w *world) restart() { w.start(w.proc()) }

// change releases an instance, or lets one return whose release was confirmed.
func (w *world) change() {
	i := &w.table[w.rng.IntN(len(w.table))]
	switch {
	case i.Phase == model.PhaseServing:
		i.Phase = model.PhaseReleasing
		w.confirmed[i.ID] = map[*proc]bool{}
	case w.moved[i.ID]:
		i.Phase = model.PhaseServing
		w.moved[i.ID] = false
	default:
		return
	}
	i.Version = max(w.table[0].Version, w.table[1].Version) + 1
}

func (w *world) readTable() { w.read(w.proc()) }

// check holds after each step.
func (w *world) check() {
	running := map[model.InstanceID]int{}
	for _, p := range w.procs {
		for _, r := range p.runs {
			running[r.id]++
			if w.moved[r.id] {
				w.t.Fatalf("%s runs a request on %s, which has left the pool", p.member.Name, r.id)
			}
		}
	}
	for id, n := range running {
		if n > slots {
			w.t.Fatalf("%d requests run on %s", n, id)
		}
	}
	for _, i := range w.table {
		if i.Phase != model.PhaseReleasing || w.moved[i.ID] {
			continue
		}
		all := true
		for _, p := range w.procs[:2] {
			if p.router.DrainedVersion() >= i.Version {
				w.confirmed[i.ID][p] = true
			}
			all = all && w.confirmed[i.ID][p]
		}
		w.moved[i.ID] = all
	}
}

// TestLoansKeepSlotsAndPools guards against an upstream with more requests than
// slots, and against a request on an instance that has left its pool, whatever
// is lost, late or restarted.
func TestLoansKeepSlotsAndPools(t *testing.T) {
	var used, moves int64
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for _, p := range w.procs {
			// No process has run before.
			for _, o := range w.procs {
				p.ledger.HandleRecallAck(o.member.Name)
			}
			w.sync(p)
		}
		steps := []func(){
			w.advance, w.use, w.use, w.use, w.finish, w.plan, w.plan, w.plan,
			w.carry, w.carry, w.carry, w.carry, w.carry, w.carry, w.carry, w.readTable, w.readTable,
		}
		for range 1500 {
			steps[w.rng.IntN(len(steps))]()
			switch w.rng.IntN(300) {
			case 0:
				w.restart()
			case 1, 2, 3, 4, 5, 6:
				w.change()
			}
			w.check()
			for _, m := range w.moved {
				if m {
					moves++
				}
			}
		}
		for _, p := range w.procs {
			used += p.ledger.Counts.Used
		}
	})
	t.Logf("%d requests ran on loans, %d steps saw an instance out of its pool", used, moves)
	if used == 0 || moves == 0 {
		t.Fatal("the schedules reach no loan or no release")
	}
}
