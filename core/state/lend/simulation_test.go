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
	slots          = 8
	lease          = 2 * clock.Second
	maxRequestTime = 3 * clock.Second
)

// eagerPolicy requests and lends as many slots as it can, so that the test does
// not rely on the policy for the safety of loans.
type eagerPolicy struct{ lend.Idle }

func (eagerPolicy) SlotsToRequest(p lend.Pressure) int   { return p.Waiting }
func (eagerPolicy) SlotsToLend(s lend.UpstreamSlots) int { return s.Lendable }

// requestRun is a request in flight.
type requestRun struct {
	// A request holds either a reservation of an own slot or a slot of a loan; loan
	// is nil in the first case.
	reservation route.Reservation
	loan        *lend.HeldLoan
	id          model.InstanceID
	ends        clock.Millis
}

// proc is an entry process. Its clock differs from the simulated time by
// offset.
type proc struct {
	member      model.Member
	offset      clock.Millis
	incarnation uint64
	ledger      *lend.Ledger[eagerPolicy]
	router      *route.Router[route.LeastLoaded]
	runs        []requestRun
	version     model.Version
}

// pendingMessage is a message in flight, and after its arrival the response to it.
// replied is set when the message has arrived. lost is set when the sender was told
// that there is no response; the message may still arrive after that.
type pendingMessage struct {
	from, to      *proc
	incarnation   uint64
	message       lend.Message
	sentAt        clock.Millis
	response      lend.LoanResponse
	recallDone    bool
	replied, lost bool
}

// simulation simulates four entry processes in two zones and two upstreams in one
// of the zones.
type simulation struct {
	t *rapid.T
	// rng draws the schedule and is seeded by rapid: values drawn by rapid
	// itself are mostly small and would seldom lead to a loan.
	rng     *rand.Rand
	now     clock.Millis
	procs   []*proc
	network []*pendingMessage
	table   []model.Instance
	// confirmed records which processes confirmed the release of an instance, and
	// moved the instances whose release was confirmed by both processes of the
	// upstreams' zone.
	moved     map[model.InstanceID]bool
	confirmed map[model.InstanceID]map[*proc]bool
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: 1_000_000, moved: map[model.InstanceID]bool{}, confirmed: map[model.InstanceID]map[*proc]bool{}}
	for i := range 2 {
		s.table = append(s.table, model.Instance{
			ID: model.InstanceID(fmt.Sprintf("u%d", i)), Zone: "za", Pool: "p", Target: "p",
			Slots: slots, Connections: 64, Version: model.Version(i + 1),
		})
	}
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		s.procs = append(s.procs, &proc{
			member: model.Member{Name: model.Process(name), Zone: model.Zone("z" + name[:1])},
			offset: clock.Millis(s.rng.IntN(200_000) - 100_000),
		})
	}
	for _, p := range s.procs {
		s.start(p)
	}
	return s
}

// localTime returns the time on the clock of a process.
func (s *simulation) localTime(p *proc) clock.Millis { return s.now + p.offset }

// start starts a new run of a process. The requests of its previous run have ended
// with that run.
func (s *simulation) start(p *proc) {
	p.incarnation++
	var all []model.Member
	for _, other := range s.procs {
		all = append(all, other.member)
	}
	if len(all) < 4 {
		panic("start was called before all processes were created")
	}
	p.runs = nil
	p.ledger = lend.New(lend.Settings{
		Self: p.member.Name, Zone: p.member.Zone, Entries: all, Incarnation: p.incarnation,
		Lease: lease, MaxRequestTime: maxRequestTime, ReservePercent: 25,
	}, eagerPolicy{}, s.localTime(p))
	rank := int(p.member.Name[1] - '1')
	p.router = route.New(route.Settings{Zone: p.member.Zone, Rank: rank, Count: 2, Lending: true, ReservePercent: 25}, route.LeastLoaded{})
	p.version = 0
	s.applyTable(p)
	for _, i := range s.table {
		if p.member.Zone == i.Zone {
			p.router.SetAnnouncement(s.localTime(p), model.Announcement{
				Instance: i.ID, Zone: i.Zone, Pool: "p", Address: "10.0.0.1:1", Slots: slots, Connections: 64, Incarnation: 1,
			}, true)
		}
	}
	s.syncRouter(p)
}

// applyTable applies the current table to a process.
func (s *simulation) applyTable(p *proc) {
	before := p.version
	for _, i := range s.table {
		p.version = max(p.version, i.Version)
	}
	p.router.Version = p.version
	for _, i := range s.table {
		if i.Version > before {
			p.router.SetInstance(s.localTime(p), i, before)
			p.ledger.EndLoansOf(i)
		}
	}
}

// syncRouter passes the state of the loans to the router, as the dispatcher
// does.
func (s *simulation) syncRouter(p *proc) {
	p.router.LoansUncertain = p.ledger.LoansUncertain(s.localTime(p))
	p.ledger.TakeChanges(func(id model.InstanceID, n int) { p.router.SetLent(id, n) })
}

func (s *simulation) randomProcess() *proc { return s.procs[s.rng.IntN(len(s.procs))] }

func (s *simulation) find(name model.Process) *proc {
	for _, p := range s.procs {
		if p.member.Name == name {
			return p
		}
	}
	return nil
}

// advance advances the time by a random amount and ends the requests that are
// done by then.
func (s *simulation) advance() {
	target := s.now + clock.Millis([]int{1, 20, 50, 50, 100, 200, 400, 1800, 5500, 50}[s.rng.IntN(10)])
	for s.now < target {
		s.now = min(s.now+50, target)
		for _, p := range s.procs {
			for i := len(p.runs) - 1; i >= 0; i-- {
				if p.runs[i].ends <= s.now {
					s.endRun(p, i)
				}
			}
		}
	}
}

func (s *simulation) endRun(p *proc, i int) {
	r := p.runs[i]
	p.runs = append(p.runs[:i], p.runs[i+1:]...)
	if r.loan != nil {
		p.ledger.Release(s.localTime(p), r.loan, false, false)
		return
	}
	p.router.End(s.localTime(p), r.reservation, route.OutcomeOK)
}

// startRequests starts requests as the dispatcher does: on own slots first.
func (s *simulation) startRequests() {
	p := s.randomProcess()
	s.syncRouter(p)
	for range 1 + s.rng.IntN(8) {
		r := requestRun{ends: s.now + clock.Millis(1+s.rng.IntN(int(maxRequestTime)))}
		if reservation, ok := p.router.Reserve(s.localTime(p), "p", ""); ok {
			r.reservation, r.id = reservation, reservation.Upstream.Instance
		} else if loan, ok := p.ledger.Acquire(s.localTime(p), "p", ""); ok {
			r.loan, r.id = loan, loan.Instance
		} else {
			return
		}
		if s.moved[r.id] {
			s.t.Fatalf("%s starts a request on %s, which has left the pool", p.member.Name, r.id)
		}
		p.runs = append(p.runs, r)
	}
}

func (s *simulation) finishRandomRun() {
	if p := s.randomProcess(); len(p.runs) > 0 {
		s.endRun(p, s.rng.IntN(len(p.runs)))
	}
}

// sendMessages sends the due messages of a ledger.
func (s *simulation) sendMessages() {
	p := s.randomProcess()
	p.ledger.Expire(s.localTime(p))
	s.syncRouter(p)
	demand := lend.LoanDemand{Pool: "p", InstancesByZone: map[model.Zone]int{"za": 2}, Pressure: lend.Pressure{Waiting: s.rng.IntN(10)}}
	for _, message := range p.ledger.DueMessages(s.localTime(p), []lend.LoanDemand{demand}, nil) {
		s.network = append(s.network, &pendingMessage{from: p, to: s.find(message.To), incarnation: p.incarnation, message: message, sentAt: s.localTime(p)})
	}
}

// deliverMessage takes a random message one step further: the message arrives, its
// response arrives, or the sender gives up waiting for the response.
func (s *simulation) deliverMessage() {
	if len(s.network) == 0 {
		return
	}
	i := s.rng.IntN(len(s.network))
	m := s.network[i]
	if !m.lost && s.rng.IntN(10) == 0 {
		m.lost = true
		s.reportResult(m, false)
		return
	}
	if m.replied || m.lost && s.rng.IntN(2) == 0 {
		s.network = append(s.network[:i], s.network[i+1:]...)
		if m.replied && !m.lost {
			s.reportResult(m, true)
		}
		return
	}
	s.handleMessage(m)
	m.replied = true
}

// handleMessage processes a message at its recipient.
func (s *simulation) handleMessage(m *pendingMessage) {
	now := s.localTime(m.to)
	switch m.message.Kind {
	case lend.MessageRequest:
		m.response = m.to.ledger.Grant(now, m.message.Request, m.to.router.PoolUpstreamSlots(now, "p", 0, nil), func(id model.InstanceID) (lend.UpstreamSlots, bool) {
			return m.to.router.UpstreamSlots(id, func(model.Pool) int { return 0 })
		})
	case lend.MessageReturn:
		m.to.ledger.HandleReturn(m.message.Return)
	case lend.MessageRecall:
		m.recallDone = m.to.ledger.HandleRecall(m.message.Recall)
	}
	s.syncRouter(m.to)
}

// reportResult passes the result of a message to its sender, unless the sender has
// restarted. ok says that there is a response.
func (s *simulation) reportResult(m *pendingMessage, ok bool) {
	if m.incarnation != m.from.incarnation {
		return
	}
	l := m.from.ledger
	switch m.message.Kind {
	case lend.MessageRequest:
		l.HandleResponse(s.localTime(m.from), m.message, m.sentAt, m.response, ok)
		for _, i := range s.table {
			if i.Version <= m.from.version {
				l.EndLoansOf(i)
			}
		}
	case lend.MessageReturn:
		l.HandleReturnResult(m.message, ok)
	case lend.MessageRecall:
		if ok && m.recallDone {
			l.HandleRecallAck(m.to.member.Name)
		}
	}
	s.syncRouter(m.from)
}

func (s *simulation) restartProcess() { s.start(s.randomProcess()) }

// changeInstance starts the release of a random instance, or returns it to the pool
// if its release was confirmed.
func (s *simulation) changeInstance() {
	i := &s.table[s.rng.IntN(len(s.table))]
	switch {
	case i.Phase == model.PhaseServing:
		i.Phase = model.PhaseReleasing
		s.confirmed[i.ID] = map[*proc]bool{}
	case s.moved[i.ID]:
		i.Phase = model.PhaseServing
		s.moved[i.ID] = false
	default:
		return
	}
	i.Version = max(s.table[0].Version, s.table[1].Version) + 1
}

func (s *simulation) applyTableAnywhere() { s.applyTable(s.randomProcess()) }

// check verifies after each step that no upstream runs more requests than it has
// slots and that no request runs on an instance that has left the pool, and updates
// confirmed and moved.
func (s *simulation) check() {
	running := map[model.InstanceID]int{}
	for _, p := range s.procs {
		for _, r := range p.runs {
			running[r.id]++
			if s.moved[r.id] {
				s.t.Fatalf("%s runs a request on %s, which has left the pool", p.member.Name, r.id)
			}
		}
	}
	for id, n := range running {
		if n > slots {
			s.t.Fatalf("more requests run than there are slots: %d on %s", n, id)
		}
	}
	for _, i := range s.table {
		if i.Phase != model.PhaseReleasing || s.moved[i.ID] {
			continue
		}
		all := true
		for _, p := range s.procs[:2] {
			if p.router.DrainedVersion() >= i.Version {
				s.confirmed[i.ID][p] = true
			}
			all = all && s.confirmed[i.ID][p]
		}
		s.moved[i.ID] = all
	}
}

// TestLoansKeepSlotsAndPools guards against an upstream that runs more requests than
// it has slots, and against a request on an instance that has left its pool, while
// messages are lost or late and processes restart.
func TestLoansKeepSlotsAndPools(t *testing.T) {
	var used, movedSteps int64
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for _, p := range s.procs {
			// No process had an earlier run.
			for _, other := range s.procs {
				p.ledger.HandleRecallAck(other.member.Name)
			}
			s.syncRouter(p)
		}
		steps := []func(){
			s.advance, s.startRequests, s.startRequests, s.startRequests, s.finishRandomRun, s.sendMessages, s.sendMessages, s.sendMessages,
			s.deliverMessage, s.deliverMessage, s.deliverMessage, s.deliverMessage, s.deliverMessage, s.deliverMessage, s.deliverMessage, s.applyTableAnywhere, s.applyTableAnywhere,
		}
		for range 1500 {
			steps[s.rng.IntN(len(steps))]()
			switch s.rng.IntN(300) {
			case 0:
				s.restartProcess()
			case 1, 2, 3, 4, 5, 6:
				s.changeInstance()
			}
			s.check()
			for _, moved := range s.moved {
				if moved {
					movedSteps++
				}
			}
		}
		for _, p := range s.procs {
			used += p.ledger.Counts.Used
		}
	})
	t.Logf("%d requests ran on loans; %d times a step found an instance out of its pool", used, movedSteps)
	if used == 0 || movedSteps == 0 {
		t.Fatal("no request ran on a loan, or no instance left its pool, so that nothing was checked")
	}
}
