package place

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// fake is a platform in memory. Messages to and from workers take time and can
// be lost; a worker ends its tasks when its lease runs out.
type fake struct {
	rnd     *rand.Rand
	now     clock.Millis
	workers map[WorkerID]*fakeWorker
	work    map[TaskID]*job
	// delay and drop bound the time and the lost share in a hundred of
	// messages; one in ten takes five times as long.
	delay clock.Millis
	drop  int
	queue []message
	// violations are tasks seen on two workers at once.
	violations []string
	overload   float64
	usedCores  float64
}

type message struct {
	at clock.Millis
	do func()
}

type fakeWorker struct {
	size  Size
	lease clock.Millis
	cut   bool
	bad   bool
	runs  map[TaskID]*running
}

type running struct {
	attempt int
	left    clock.Millis
	percent int
	ends    bool
}

// job is what a task really is.
type job struct {
	size  Size
	takes clock.Millis
	fails bool
	over  bool
	lost  int
}

func newFake(seed uint64, workers int) *fake {
	f := &fake{rnd: rand.New(rand.NewPCG(seed, 3)), now: clock.Hour, workers: map[WorkerID]*fakeWorker{}, work: map[TaskID]*job{}}
	for k := range workers {
		f.workers[WorkerID(fmt.Sprintf("w%04d", k))] = &fakeWorker{
			size: Size{MilliCores: 16000, MemoryMiB: 32768}, runs: map[TaskID]*running{},
		}
	}
	return f
}

func (f *fake) send(w WorkerID, do func()) {
	if f.workers[w].cut || f.rnd.IntN(100) < f.drop {
		return
	}
	late := clock.Millis(f.rnd.Int64N(int64(f.delay) + 1))
	if f.rnd.IntN(10) == 0 {
		late *= 5
	}
	f.queue = append(f.queue, message{f.now + late, do})
}

func (f *fake) run(a Action) *running {
	if r := f.workers[a.Worker].runs[a.Task]; r != nil && r.attempt == a.Attempt {
		return r
	}
	return &running{}
}

func (f *fake) Start(a Action) error {
	f.send(a.Worker, func() {
		if w := f.workers[a.Worker]; f.now <= a.LeaseEnd && f.now <= w.lease {
			w.runs[a.Task] = &running{attempt: a.Attempt, left: f.work[a.Task].takes, percent: 100}
		}
	})
	return nil
}

func (f *fake) Renew(a Action) error {
	f.send(a.Worker, func() { f.workers[a.Worker].lease = max(f.workers[a.Worker].lease, a.LeaseEnd) })
	return nil
}

func (f *fake) Checkpoint(a Action) error {
	f.send(a.Worker, func() {
		if r := f.run(a); !r.ends {
			r.ends = true
			f.work[a.Task].takes = max(r.left, 1)
		}
	})
	return nil
}

func (f *fake) Throttle(a Action) error {
	f.send(a.Worker, func() { f.run(a).percent = a.CPUPercent })
	return nil
}

func (f *fake) Stop(a Action) error {
	f.send(a.Worker, func() { f.run(a).ends = true })
	return nil
}

// tick lets time pass: messages arrive, tasks advance, leases run out, and
// workers report what they run.
func tick[F FitPolicy, S Sizer, J HealthPolicy](f *fake, b *Placer[F, S, J], by clock.Millis) {
	f.now += by
	for k := 0; k < len(f.queue); k++ {
		if f.queue[k].at <= f.now {
			f.queue[k].do()
			f.queue = slices.Delete(f.queue, k, k+1)
			k--
		}
	}
	on := map[TaskID]WorkerID{}
	for _, id := range sortedKeys(f.workers) {
		w := f.workers[id]
		if w.lease < f.now {
			clear(w.runs)
		}
		cores := 0
		for _, tid := range sortedKeys(w.runs) {
			r, j := w.runs[tid], f.work[tid]
			if other := on[tid]; other != "" {
				f.violations = append(f.violations, fmt.Sprintf("%s runs on %s and %s", tid, other, id))
			}
			on[tid] = id
			cores += j.size.MilliCores * r.percent / 100
			f.advance(w, tid, r, by, func(o Outcome) { f.send(id, func() { b.RunEnded(tid, r.attempt, o, f.now) }) })
			if f.rnd.IntN(4) == 0 {
				use := j.size
				use.MilliCores = use.MilliCores * r.percent / 100 * (85 + f.rnd.IntN(31)) / 100
				f.send(id, func() { b.ReportUsage(tid, r.attempt, use) })
			}
		}
		f.usedCores += float64(cores) / 1000
		f.overload += float64(max(0, cores-w.size.MilliCores)) / 1000
		if f.now%(2*clock.Second) == 0 {
			var runs []Run
			for tid, r := range w.runs {
				runs = append(runs, Run{tid, r.attempt})
			}
			lease := w.lease
			f.send(id, func() { b.Heartbeat(id, lease, runs) })
		}
	}
}

// advance lets one run go on and ends it when its time has come.
func (f *fake) advance(w *fakeWorker, id TaskID, r *running, by clock.Millis, end func(Outcome)) {
	j := f.work[id]
	r.left -= by * clock.Millis(r.percent) / 100
	switch {
	case r.ends:
		end(OutcomeStopped)
	case w.bad || (j.fails && r.left < j.takes/2):
		j.lost++
		end(OutcomeFailed)
	case r.left <= 0:
		j.over = true
		end(OutcomeDone)
	default:
		return
	}
	delete(w.runs, id)
}

func (f *fake) fill(b interface{ SetWorker(Worker) }) {
	for _, id := range sortedKeys(f.workers) {
		b.SetWorker(Worker{ID: id, Size: f.workers[id].size})
	}
}

// add makes a task whose declared size is off by the given factors in percent.
func (f *fake) add(team, n, cores int, takes clock.Millis, off int) Task {
	t := Task{
		ID: TaskID(fmt.Sprintf("t%d-%05d", team, n)), Team: model.Customer(fmt.Sprintf("team%d", team)),
		Class: fmt.Sprintf("class%d", cores), Submitted: f.now, CanCheckpoint: n%3 == 0, CanThrottle: n%3 == 1,
		Declared: Size{MilliCores: cores * off / 100, MemoryMiB: 512},
	}
	f.work[t.ID] = &job{size: Size{MilliCores: cores, MemoryMiB: 512}, takes: takes}
	return t
}

func teamContract(k, cores int) model.Contract {
	return model.Contract{
		Customer: model.Customer(fmt.Sprintf("team%d", k)), MaxUnavailable: 2, BudgetMillis: 40 * clock.Second, WindowMillis: clock.Minute,
		Quota: model.Quota{MilliCores: cores, MemoryMiB: 1 << 20},
	}
}
