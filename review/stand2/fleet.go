package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// fleet holds the minions, and checks the rules on what they run.
type fleet struct {
	sys     *system
	mu      sync.Mutex
	over    bool
	minions []*minion
	jobs    map[string]*job
	// running holds the minions that run a task.
	running map[string][]*minion
	// doneNoted holds the tasks whose end as done is taken note of.
	doneNoted map[string]bool
	// endedByOrder holds the tasks that last and were ended by an order, until they start
	// again. lastEnds holds when a run of each task last ended.
	endedByOrder map[string]bool
	lastEnds     map[string]time.Time
	// delay, if set, is called before each heartbeat is sent.
	delay func(m *minion)
}

func newFleet(s *system) *fleet {
	return &fleet{sys: s, jobs: map[string]*job{}, running: map[string][]*minion{}, doneNoted: map[string]bool{}, endedByOrder: map[string]bool{}, lastEnds: map[string]time.Time{}}
}

// add adds a machine and starts its minion.
func (f *fleet) add(m *minion) {
	m.sys = f.sys
	f.mu.Lock()
	f.minions = append(f.minions, m)
	f.mu.Unlock()
	m.start()
}

func (f *fleet) all() []*minion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.minions)
}

// stop ends all minions for good.
func (f *fleet) stop() {
	f.mu.Lock()
	f.over = true
	f.mu.Unlock()
	for _, m := range f.all() {
		m.crash("the case is over")
	}
}

// put sends a heartbeat.
func (f *fleet) put(client *http.Client, target string, m *minion, body string) (*reply, error) {
	if f.delay != nil {
		f.delay(m)
	}
	ctx, cancel := context.WithTimeout(context.Background(), beatTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+target+"/camphorridge/instances/"+m.id, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(q)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	r := &reply{}
	if resp.StatusCode/100 != 2 {
		return nil, errors.New(resp.Status)
	}
	return r, json.NewDecoder(resp.Body).Decode(r)
}

// know adds a job that is about to be handed in.
func (f *fleet) know(id string, p *plan, attempts int) *job {
	f.mu.Lock()
	defer f.mu.Unlock()
	j := &job{id: id, plan: p, attempts: attempts, handedIn: time.Now(), done: map[string]bool{}, fails: map[string]int{}, starts: map[string]int{}}
	f.jobs[id] = j
	return j
}

func (f *fleet) startsOf(t taskName) int {
	if j := f.jobs[t.job]; j != nil {
		return j.starts[t.String()]
	}
	return 0
}

// began checks the start of a run. The caller holds the lock.
func (f *fleet) began(m *minion, r *taskRun) {
	name := r.name.String()
	f.sys.rec.note("minion %s starts %s run %d", m.id, name, r.number)
	for _, other := range f.running[name] {
		if other.up {
			f.sys.rec.broken("TWICE", "%s run %d starts on %s while it runs on %s", name, r.number, m.id, other.id)
		}
	}
	if f.doneNoted[name] {
		f.sys.rec.broken("TWICE", "%s run %d starts on %s after its end as done was taken note of", name, r.number, m.id)
	}
	f.running[name] = append(f.running[name], m)
	delete(f.endedByOrder, name)
	if cpu, mem := m.load(); !m.guards && (cpu > m.cpu || mem > m.mem) {
		f.sys.rec.broken("LIMIT", "%s brings %s to %d of %d cpu and %d of %d memory", name, m.id, cpu, m.cpu, mem, m.mem)
	}
	j := f.jobs[r.name.job]
	if j == nil {
		f.sys.rec.broken("UNASKED", "%s was handed in by nobody", name)
		return
	}
	j.starts[name]++
	f.checkStart(m, r, j)
}

// load returns what the runs of a minion need. The caller holds the lock.
func (m *minion) load() (cpu, mem int) {
	for _, r := range m.runs {
		cpu, mem = cpu+r.step.CPU, mem+r.step.Mem
	}
	return cpu, mem
}

// checkStart checks a start against the job. The caller holds the lock.
func (f *fleet) checkStart(m *minion, r *taskRun, j *job) {
	name, now := r.name.String(), time.Now()
	if !j.cancelled.IsZero() && now.Sub(j.cancelled) > cancelBound {
		f.sys.rec.broken("UNASKED", "%s starts %v after the cancel of its job", name, now.Sub(j.cancelled))
	}
	for _, dependency := range r.step.After {
		for n := range j.plan.Steps[dependency].Count {
			t := taskName{r.name.job, r.name.times, dependency, n}
			if !j.done[t.String()] {
				f.sys.rec.broken("ORDER", "%s starts before %s is done", name, t)
				break
			}
		}
	}
	if j.plan.Times > 0 {
		due := time.UnixMilli(j.plan.FirstRun + int64(r.name.times)*j.plan.Interval)
		if now.Before(due.Add(-earlyBound)) {
			f.sys.rec.broken("ORDER", "%s starts %v before its time", name, due.Sub(now))
		}
	}
	if r.step.Label != "" && !slices.Contains(m.labels, r.step.Label) {
		f.sys.rec.broken("ROUTE", "%s starts on %s, which lacks the label %s", name, m.id, r.step.Label)
	}
	same := 0
	for _, other := range m.runs {
		if other.name.group() == r.name.group() {
			same++
		}
	}
	if r.step.PerMinion > 0 && same > r.step.PerMinion {
		f.sys.rec.broken("ROUTE", "%d tasks of %s run on %s", same, r.name.group(), m.id)
	}
	if fails := j.fails[f.failKey(r)]; !r.step.Lasts && fails >= j.attempts {
		f.sys.rec.broken("BUDGET", "%s starts after %d failed runs", name, fails)
	}
}

// failKey is the name under which the failed runs of a task count.
func (f *fleet) failKey(r *taskRun) string {
	if r.step.Gang {
		return r.name.group()
	}
	return r.name.String()
}

// ended notes the end of a run. The caller holds the lock.
func (f *fleet) ended(m *minion, r *taskRun, how string) {
	name := r.name.String()
	f.sys.rec.note("minion %s: %s run %d ends %s", m.id, name, r.number, how)
	for i, x := range f.running[name] {
		if x == m {
			f.running[name] = slices.Delete(f.running[name], i, i+1)
			break
		}
	}
	j := f.jobs[r.name.job]
	if j == nil {
		return
	}
	j.lastEnd = time.Now()
	f.lastEnds[name] = j.lastEnd
	switch how {
	case "done":
		j.done[name] = true
		if r.step.Gang {
			for n := range r.step.Count {
				j.done[taskName{r.name.job, r.name.times, r.name.step, n}.String()] = true
			}
		}
	case "alone":
		if j.cancelled.IsZero() {
			f.sys.rec.note("ALONE %s", name)
		}
	}
}

// noted notes that an end was taken note of. The caller holds the lock.
func (f *fleet) noted(m *minion, e end, lapses int) {
	if e.lapses != lapses {
		return
	}
	name, j := e.task.String(), f.jobs[e.task.job]
	switch {
	case j == nil:
	case e.how == "done" && !j.plan.Steps[e.task.step].Lasts:
		f.doneNoted[name] = true
		if j.starts[name] > e.starts && !j.plan.Steps[e.task.step].Gang {
			f.sys.rec.broken("TWICE", "%s was started again after run %d had ended as done on %s, and that end is taken note of", name, e.run, m.id)
		}
	case e.how == "failed" && j.plan.Steps[e.task.step].Gang:
		j.fails[e.task.group()]++
	case e.how == "failed":
		j.fails[name]++
	}
}

// gangIsPresent reports whether all tasks of a gang's run are there. The caller holds the
// lock.
func (f *fleet) gangIsPresent(r *taskRun) bool {
	n := 0
	f.eachOfGang(r, func(*minion, *taskRun) { n++ })
	return n >= r.step.Count
}

// eachOfGang calls visit with each run of the gang that is not being stopped.
func (f *fleet) eachOfGang(r *taskRun, visit func(*minion, *taskRun)) {
	for _, m := range f.minions {
		if !m.up {
			continue
		}
		for n := range r.step.Count {
			t := taskName{r.name.job, r.name.times, r.name.step, n}
			if x := m.runs[t.String()]; x != nil && x.number == r.number && x.stopping.IsZero() {
				visit(m, x)
			}
		}
	}
}

// endTogether ends a run as done, and all of its gang with it. The caller holds the lock.
func (f *fleet) endTogether(r *taskRun) {
	if !r.step.Gang {
		for _, m := range f.minions {
			if m.up && m.runs[r.name.String()] == r {
				m.endRun(r, "done")
			}
		}
		return
	}
	f.eachOfGang(r, func(m *minion, x *taskRun) { m.endRun(x, "done") })
}

// breakGang ends the other runs of a gang that had begun to work. The caller holds the
// lock.
func (f *fleet) breakGang(r *taskRun) {
	f.eachOfGang(r, func(m *minion, x *taskRun) {
		if x.began {
			delete(m.runs, x.name.String())
			m.lastEnd++
			m.endedAt = time.Now()
			m.closed[x.name.String()] = max(m.closed[x.name.String()], x.number)
			m.ends = append(m.ends, end{m.lastEnd, x.name, x.number, "broken", x.saved, m.lapses, f.startsOf(x.name)})
			f.ended(m, x, "broken")
		}
	})
}

// runsOf returns the number of runs of a job. The caller must not hold the lock.
func (f *fleet) runsOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.minions {
		if !m.up {
			continue
		}
		for _, r := range m.runs {
			if r.name.job == id {
				n++
			}
		}
	}
	return n
}

// busiest returns the minion with the most runs.
func (f *fleet) busiest() *minion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.MaxFunc(f.minions, func(a, b *minion) int { return len(a.runs) - len(b.runs) })
}

// idlest returns the minion with the fewest runs.
func (f *fleet) idlest() *minion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.MinFunc(f.minions, func(a, b *minion) int { return len(a.runs) - len(b.runs) })
}

// room returns how many more tasks with the given needs fit on the minions of a service.
func (f *fleet) room(pool string, cpu, mem int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.minions {
		if m.up && m.pool == pool {
			usedCPU, usedMem := m.load()
			n += min((m.cpu-usedCPU)/cpu, (m.mem-usedMem)/mem)
		}
	}
	return n
}

// isDone reports whether all tasks of a job have ended as done.
func (f *fleet) isDone(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.jobs[id]
	tasks := 0
	for _, x := range j.plan.Steps {
		tasks += x.Count
	}
	return len(j.done) >= tasks*max(j.plan.Times, 1)
}

// lastRun returns when a run of a job last ended; zero for never.
func (f *fleet) lastRun(id string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.jobs[id].lastEnd
}

// machinesOf returns the machines that run a job.
func (f *fleet) machinesOf(id string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []string
	for _, m := range f.minions {
		for _, r := range m.runs {
			if m.up && r.name.job == id {
				all = append(all, m.machine)
			}
		}
	}
	return all
}

// checkOrder checks, before an order ends a minion, that the order leaves enough tasks of
// each step with mayMiss at work.
func (f *fleet) checkOrder(m *minion, order string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, r := range m.runs {
		if !m.up || !r.step.Lasts || r.step.MayMiss == 0 || !r.stopping.IsZero() {
			continue
		}
		away := 0
		for n := range r.step.Count {
			t := taskName{r.name.job, r.name.times, r.name.step, n}.String()
			if t != name && (f.endedByOrder[t] || (len(f.running[t]) == 0 && time.Since(f.lastEnds[t]) >= noticeBound)) {
				away++
			}
		}
		if away >= r.step.MayMiss {
			f.sys.rec.broken("AVAIL", "%s ends %s, which is at work; %d others of its step are away, and %d may be", order, name, away, r.step.MayMiss)
		}
		f.endedByOrder[name] = true
	}
}

// isMovable reports whether a machine is up, or off in the standby pool.
func (f *fleet) isMovable(m *minion) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return m.up || m.pool == standbyPool
}

// use returns the processors of a service that are in use and those that it has.
func (f *fleet) use(pool string) (used, capacity int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.minions {
		if m.up && m.pool == pool {
			cpu, _ := m.load()
			used, capacity = used+cpu, capacity+m.cpu
		}
	}
	return used, capacity
}
