package sched

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// Times of moves.
const (
	// surgePeriod separates two looks at the load of the pools.
	surgePeriod clock.Millis = 200
	// listRetry separates two readings of the list of machines when the first
	// failed, and listPeriod two that succeeded.
	listRetry  = clock.Second
	listPeriod = 20 * clock.Second
	// moveLost is how long a move may take until the machine is looked for
	// again.
	moveLost = 5 * clock.Second
	// moveRetry keeps a machine from being tried again at once after a refusal.
	moveRetry = clock.Second
	// unplacedMillis is how long a lasting task waits until its pool wants
	// another machine for it: as long as a heartbeat may be held back.
	unplacedMillis clock.Millis = 800
	// notePeriod separates two reports of the load.
	notePeriod = 2 * clock.Second
)

// machines is what is known of the machines beside their workers.
type machines struct {
	// standby holds the machines that are off, by the standby pool they are in.
	standby map[jobs.MachineID]jobs.PoolName
	// moves holds the machines on their way, and spent those that refused a
	// move, until a time.
	moves map[jobs.MachineID]move
	spent map[jobs.MachineID]clock.Millis
	// room is the size of a machine by its pool.
	room jobs.Resources
	// listing is set while a list is on its way; listed is when the last came.
	listing bool
	// unlisted is set when a reading of the list failed.
	unlisted bool
	asked    clock.Millis
	listed   clock.Millis
	// worked is set once work that ends was handed in.
	worked bool
	// next is the time of the next look, and noted that of the last line.
	next  clock.Millis
	noted clock.Millis
}

// move is a machine on its way to a pool.
type move struct {
	to jobs.PoolName
	// life is that of the machine's worker at the order; 0 for none.
	life jobs.Incarnation
	at   clock.Millis
}

func newMachines() machines {
	return machines{
		standby: map[jobs.MachineID]jobs.PoolName{}, moves: map[jobs.MachineID]move{}, spent: map[jobs.MachineID]clock.Millis{},
	}
}

// demand is the load of one pool.
type demand struct {
	name jobs.PoolName
	// have counts the machines of the pool and those on their way to it, and
	// want is the number that starts its waiting work in time.
	have int
	want int
	// idle lists the machines that run nothing, the longest first, and busy
	// those that run tasks that end, the least busy first.
	idle []*worker
	busy []*worker
}

// surge moves machines to pools whose waiting work does not start in time:
// those that are off, and idle ones of other pools. Machines that stay idle go
// off. It answers loads that rise to several times their mean for seconds, by
// turns, while a move takes about a second and a half.
func (b *Scheduler[O, J]) surge(now clock.Millis) {
	if b.set.BacklogTargetMillis == 0 || now < b.fleet.next || now < b.began+b.set.TakeoverDelayMillis {
		return
	}
	b.fleet.next = now + surgePeriod
	standby := b.standbyPool()
	if standby == "" || !b.list(now) {
		return
	}
	for m, v := range b.fleet.moves {
		if now-v.at > moveLost {
			delete(b.fleet.moves, m)
			b.stay(b.machines[m], v.life)
		}
	}
	loads := b.loads(now)
	b.noteLoads(loads, now)
	lack := 0
	for _, d := range loads {
		for n := d.want - d.have; n > 0; n-- {
			if !b.bring(d, loads, now) {
				lack += n
				break
			}
		}
	}
	b.part(loads, lack)
	if b.worked() {
		b.dismiss(loads, standby, now)
	}
}

// worked reports whether work that ends was handed in. Before that a fleet that
// has only started would be turned off just ahead of its first load.
func (b *Scheduler[O, J]) worked() bool {
	if !b.fleet.worked {
		for _, r := range b.State.Jobs {
			b.fleet.worked = b.fleet.worked || !lasting(&r.Job)
		}
	}
	return b.fleet.worked
}

// noteLoads adds a line for each pool to the plan every few seconds.
func (b *Scheduler[O, J]) noteLoads(loads []*demand, now clock.Millis) {
	if now < b.fleet.noted+notePeriod {
		return
	}
	b.fleet.noted = now
	for _, d := range loads {
		serving := 0
		for _, w := range b.workers {
			if w.pool == d.name && w.serves() {
				serving++
			}
		}
		b.noteFleet(DecisionPoolLoad, fmt.Sprintf(
			"pool %s has %d machines of %d wanted, %d idle, %d with lasting tasks, %d ms of work waits",
			d.name, d.have, d.want, len(d.idle), serving, b.pool(d.name).work()/1000))
	}
}

// serves reports whether lasting tasks run on the worker.
func (w *worker) serves() bool {
	for _, r := range w.runs {
		if r.step.LongRunning {
			return true
		}
	}
	return false
}

// standbyPool names the pool whose machines are off; empty for none.
func (b *Scheduler[O, J]) standbyPool() jobs.PoolName {
	for _, p := range b.State.Config.Pools {
		if p.Standby {
			return p.Name
		}
	}
	return ""
}

// list asks for the list of machines when it is old, and reports whether one
// has come, or failed to come, in this term.
func (b *Scheduler[O, J]) list(now clock.Millis) bool {
	f := &b.fleet
	wait := listPeriod
	if f.listed == 0 {
		wait = listRetry
	}
	if !f.listing && (f.asked == 0 || now-f.asked >= wait) {
		f.listing, f.asked = true, now
		b.out.Actions = append(b.out.Actions, Action{Kind: ActionListMachines})
	}
	return f.listed != 0 || f.unlisted
}

// machinesListed takes the list of machines.
func (b *Scheduler[O, J]) machinesListed(o Outcome, now clock.Millis) {
	f := &b.fleet
	f.listing = false
	if o.Answer != AnswerDone {
		// Machines that are off are not known, but those of the pools are.
		f.unlisted = true
		b.noteFleet(DecisionListFailed, o.String())
		return
	}
	f.listed = now
	off := map[jobs.PoolName]bool{}
	for _, p := range b.State.Config.Pools {
		off[p.Name] = p.Standby
	}
	clear(f.standby)
	listed := make(map[jobs.MachineID]bool, len(o.Machines))
	for _, m := range o.Machines {
		listed[m.ID] = true
		if f.room.MilliCores < m.Capacity.MilliCores {
			f.room = m.Capacity
		}
		if _, moving := f.moves[m.ID]; off[m.Pool] && m.Up && !moving {
			f.standby[m.ID] = m.Pool
		}
	}
	if len(listed) > 0 {
		b.dropMissing(listed, now)
	}
}

// loads measures the pools that have queues, those with the most lacking
// machines first.
func (b *Scheduler[O, J]) loads(now clock.Millis) []*demand {
	by := map[jobs.PoolName]*demand{}
	for _, p := range b.State.Config.Pools {
		if !p.Standby {
			by[p.Name] = &demand{name: p.Name}
		}
	}
	busy := map[jobs.PoolName]clock.Millis{}
	for _, id := range slices.Sorted(maps.Keys(b.workers)) {
		w := b.workers[id]
		d := by[w.pool]
		if d == nil || !w.known || w.draining || w.leaving || w.until < now {
			continue
		}
		b.fleet.room.MilliCores = max(b.fleet.room.MilliCores, w.room.MilliCores)
		d.have++
		if w.held || w.aside > now {
			d.have--
			continue
		}
		busy[w.pool] += w.load(now, b.set.BacklogTargetMillis)
		if len(w.runs)+len(w.strays) == 0 {
			if w.idle == 0 {
				w.idle = now
			}
			d.idle = append(d.idle, w)
			w.parting = false
		} else {
			w.idle = 0
			if !w.serves() {
				d.busy = append(d.busy, w)
			}
		}
	}
	for _, v := range b.fleet.moves {
		if d := by[v.to]; d != nil {
			d.have++
		}
	}
	if b.fleet.room.MilliCores == 0 {
		return nil
	}
	each := b.fleet.room.MilliCores
	for name, d := range by {
		p := b.pool(name)
		p.average()
		need := int(busy[name] + p.work()/b.set.BacklogTargetMillis + clock.Millis(p.rate))
		d.want = (need + each - 1) / each
		if n := b.pool(name).unplaced(now); n > 0 {
			d.want = max(d.want, d.have+n)
		}
		slices.SortStableFunc(d.busy, func(x, y *worker) int {
			return cmp.Or(-compareBool(x.parting, y.parting), cmp.Compare(x.used.MilliCores, y.used.MilliCores))
		})
		slices.SortStableFunc(d.idle, func(x, y *worker) int { return cmp.Compare(x.idle, y.idle) })
	}
	return slices.SortedFunc(maps.Values(by), func(x, y *demand) int {
		return cmp.Or(cmp.Compare(y.want-y.have, x.want-x.have), cmp.Compare(x.name, y.name))
	})
}

// unplaced is the number of machines that lasting tasks lack which no present
// one could take, most of all because only so many tasks of a step may be on one
// worker.
func (p *pool) unplaced(now clock.Millis) int {
	n := 0
	for _, g := range p.groups {
		if g.step.LongRunning && !g.rec.Status.Final() && len(g.waiting) > 0 && now-g.since > unplacedMillis {
			each := max(g.step.MaxPerWorker, 1)
			n = max(n, (len(g.waiting)+each-1)/each)
		}
	}
	return n
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}

// ending is the work of some tasks of a step that ends, in thousandths of a
// processor times milliseconds; 0 for tasks that last or fill.
func ending(s *jobs.Step, tasks int, each clock.Millis) clock.Millis {
	if s.LongRunning || s.BestEffort {
		return 0
	}
	return clock.Millis(tasks*s.Resources.MilliCores) * each
}

// load is the room that the worker's tasks need within a time: all of it for
// lasting tasks, and for others what is left of their work.
func (w *worker) load(now, within clock.Millis) clock.Millis {
	sum := clock.Millis(0)
	for _, r := range w.runs {
		if r.step.LongRunning {
			sum += clock.Millis(counted(r.step).MilliCores)
			continue
		}
		sum += ending(r.step, 1, max(r.started+r.step.Estimate-now, 0)) / within
	}
	return sum
}

// rateWeight is the part of the latest look in the average of what arrives.
const rateWeight = 0.3

// average folds what arrived since the last look into the rate.
func (p *pool) average() {
	p.rate += rateWeight * (float64(p.arrived/surgePeriod) - p.rate)
	p.arrived = 0
}

// work sums the waiting work of a pool that can still be on time, in
// thousandths of a processor times milliseconds.
func (p *pool) work() clock.Millis {
	sum := clock.Millis(0)
	for _, g := range p.groups {
		if g.step.BestEffort || g.rec.Status.Final() || g.rank.Class == classLate {
			continue
		}
		length := g.step.Estimate
		if g.step.LongRunning {
			// A lasting task holds its room for good.
			length = clock.Second
		}
		sum += clock.Millis(len(g.waiting)*g.step.Resources.MilliCores) * length
	}
	return sum
}

// bring moves one machine to a pool: one that is off, or else the one that is
// idle for longest in a pool with more than it needs.
func (b *Scheduler[O, J]) bring(d *demand, loads []*demand, now clock.Millis) bool {
	for _, m := range slices.Sorted(maps.Keys(b.fleet.standby)) {
		if b.fleet.spent[m] <= now && !b.inWave(m) {
			delete(b.fleet.standby, m)
			b.move(m, 0, d, now)
			return true
		}
	}
	for i := len(loads) - 1; i >= 0; i-- {
		from := loads[i]
		if from == d || from.have-from.want <= b.set.ReserveMachines {
			continue
		}
		for k, w := range from.idle {
			if b.fleet.spent[w.machine] > now || w.machine == "" {
				continue
			}
			from.idle = slices.Delete(from.idle, k, k+1)
			from.have--
			w.leaving = true
			b.move(w.machine, w.life, d, now)
			return true
		}
	}
	return false
}

// part keeps new tasks off the machines of pools with more than they need, as
// many as others lack: tasks of a second or two would otherwise keep each of
// them a little busy for as long as the pool has any work.
func (b *Scheduler[O, J]) part(loads []*demand, lack int) {
	for i := len(loads) - 1; i >= 0; i-- {
		d := loads[i]
		spare := d.have - d.want - b.set.ReserveMachines
		for _, w := range d.busy {
			w.parting = lack > 0 && spare > 0
			b.dirty[b.pool(w.pool)] = true
			if w.parting {
				lack--
				spare--
			}
		}
	}
}

// dismiss sends machines that stay idle to the standby pool.
func (b *Scheduler[O, J]) dismiss(loads []*demand, standby jobs.PoolName, now clock.Millis) {
	off := &demand{name: standby}
	for _, d := range loads {
		for _, w := range d.idle {
			if w.leaving || w.machine == "" || d.have-d.want <= b.set.ReserveMachines || now-w.idle < b.set.IdleMillis || b.fleet.spent[w.machine] > now {
				continue
			}
			d.have--
			w.leaving = true
			b.move(w.machine, w.life, off, now)
		}
	}
}

// inWave reports whether a machine may be down for a wave; it is not moved
// meanwhile.
func (b *Scheduler[O, J]) inWave(m jobs.MachineID) bool {
	for _, v := range b.waves {
		if _, away := v.away[m]; away || v.flying[m] {
			return true
		}
	}
	return false
}

func (b *Scheduler[O, J]) move(m jobs.MachineID, life jobs.Incarnation, to *demand, now clock.Millis) {
	to.have++
	b.fleet.moves[m] = move{to: to.name, life: life, at: now}
	b.out.Actions = append(b.out.Actions, Action{Kind: ActionMove, Machine: m, Pool: to.name})
}

// moved takes the platform's answer to a move.
func (b *Scheduler[O, J]) moved(a Action, o Outcome, now clock.Millis) {
	v, ok := b.fleet.moves[a.Machine]
	if !ok || v.to != a.Pool {
		return
	}
	w := b.machines[a.Machine]
	same := w != nil && w.life == v.life
	if o.Answer != AnswerDone {
		b.noteFleet(DecisionMachineNotMoved, fmt.Sprintf("%s to %s: %s", a.Machine, a.Pool, o))
	}
	switch o.Answer {
	case AnswerDone:
		b.noteFleet(DecisionMachineMoved, string(a.Machine)+" to "+string(a.Pool))
		if same {
			b.remove(w, "its machine is moved", now)
		}
		if a.Pool == b.standbyPool() {
			delete(b.fleet.moves, a.Machine)
			b.fleet.standby[a.Machine] = a.Pool
			b.fleet.spent[a.Machine] = now + b.set.MoveMillis
		}
	case AnswerUnknown:
		b.fleet.spent[a.Machine] = now + moveLost
	default:
		delete(b.fleet.moves, a.Machine)
		b.fleet.spent[a.Machine] = now + moveRetry
		if same {
			w.leaving = false
		}
	}
}

// arrived notes that a moved machine has a worker again.
func (b *Scheduler[O, J]) arrived(w *worker) {
	if v, ok := b.fleet.moves[w.machine]; ok && v.life != w.life && v.to == w.pool {
		delete(b.fleet.moves, w.machine)
	}
	delete(b.fleet.standby, w.machine)
}
