package place

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// fakePlatform is an in-memory platform. Messages to and from workers are
// delayed and can be lost. A worker ends its tasks when its lease expires.
type fakePlatform struct {
	rnd     *rand.Rand
	now     clock.Millis
	workers map[WorkerID]*fakeWorker
	actual  map[TaskID]*actualTask
	// maxDelay is the largest usual message delay; one message in ten takes up
	// to five times as long. lossPercent is the share of messages that are
	// lost.
	maxDelay    clock.Millis
	lossPercent int
	inFlight    []delivery
	// violations describes tasks that ran on two workers at once.
	violations []string
	// usedCores is the sum, over all steps, of the cores in use, and overload the
	// sum of those in use beyond the size of their worker.
	overload  float64
	usedCores float64
}

// delivery is a message in flight: do is called when it arrives.
type delivery struct {
	at clock.Millis
	do func()
}

// fakeWorker is a worker of a fakePlatform. A partitioned worker neither sends
// nor receives messages; a broken one fails every run.
type fakeWorker struct {
	size        Size
	leaseEnd    clock.Millis
	partitioned bool
	broken      bool
	runs        map[TaskID]*fakeRun
}

// fakeRun is a run of a task on a worker.
type fakeRun struct {
	attempt    int
	remaining  clock.Millis
	cpuPercent int
	stopping   bool
}

// actualTask is the actual behaviour of a task, which may differ from what its
// submitter declared.
type actualTask struct {
	size       Size
	duration   clock.Millis
	fails      bool
	done       bool
	failedRuns int
}

func newFake(seed uint64, workers int) *fakePlatform {
	f := &fakePlatform{rnd: rand.New(rand.NewPCG(seed, 3)), now: clock.Hour, workers: map[WorkerID]*fakeWorker{}, actual: map[TaskID]*actualTask{}}
	for k := range workers {
		f.workers[WorkerID(fmt.Sprintf("w%04d", k))] = &fakeWorker{
			size: Size{MilliCores: 16000, MemoryMiB: 32768}, runs: map[TaskID]*fakeRun{},
		}
	}
	return f
}

// send delivers a message to or from a worker after a random delay, or loses
// it.
func (f *fakePlatform) send(w WorkerID, do func()) {
	if f.workers[w].partitioned || f.rnd.IntN(100) < f.lossPercent {
		return
	}
	delay := clock.Millis(f.rnd.Int64N(int64(f.maxDelay) + 1))
	if f.rnd.IntN(10) == 0 {
		delay *= 5
	}
	f.inFlight = append(f.inFlight, delivery{f.now + delay, do})
}

// run returns the run to which an action refers. If that run has ended, it returns
// an unused one, so that the action has no effect.
func (f *fakePlatform) run(a Action) *fakeRun {
	if r := f.workers[a.Worker].runs[a.Task]; r != nil && r.attempt == a.Attempt {
		return r
	}
	return &fakeRun{}
}

func (f *fakePlatform) Start(a Action) error {
	f.send(a.Worker, func() {
		if w := f.workers[a.Worker]; f.now <= a.LeaseEnd && f.now <= w.leaseEnd {
			w.runs[a.Task] = &fakeRun{attempt: a.Attempt, remaining: f.actual[a.Task].duration, cpuPercent: 100}
		}
	})
	return nil
}

func (f *fakePlatform) Renew(a Action) error {
	f.send(a.Worker, func() { f.workers[a.Worker].leaseEnd = max(f.workers[a.Worker].leaseEnd, a.LeaseEnd) })
	return nil
}

func (f *fakePlatform) Checkpoint(a Action) error {
	f.send(a.Worker, func() {
		if r := f.run(a); !r.stopping {
			r.stopping = true
			f.actual[a.Task].duration = max(r.remaining, 1)
		}
	})
	return nil
}

func (f *fakePlatform) Throttle(a Action) error {
	f.send(a.Worker, func() { f.run(a).cpuPercent = a.CPUPercent })
	return nil
}

func (f *fakePlatform) Stop(a Action) error {
	f.send(a.Worker, func() { f.run(a).stopping = true })
	return nil
}

// advanceTime advances the clock by one step: messages arrive, tasks progress,
// leases expire, and workers report what they run.
func advanceTime[F FitPolicy, S Sizer, J HealthPolicy](f *fakePlatform, placer *Placer[F, S, J], step clock.Millis) {
	f.now += step
	for k := 0; k < len(f.inFlight); k++ {
		if f.inFlight[k].at <= f.now {
			f.inFlight[k].do()
			f.inFlight = slices.Delete(f.inFlight, k, k+1)
			k--
		}
	}
	runsOn := map[TaskID]WorkerID{}
	for _, id := range sortedKeys(f.workers) {
		w := f.workers[id]
		if w.leaseEnd < f.now {
			clear(w.runs)
		}
		milliCores := 0
		for _, tid := range sortedKeys(w.runs) {
			r, actual := w.runs[tid], f.actual[tid]
			if other := runsOn[tid]; other != "" {
				f.violations = append(f.violations, fmt.Sprintf("%s runs on %s and %s", tid, other, id))
			}
			runsOn[tid] = id
			milliCores += actual.size.MilliCores * r.cpuPercent / 100
			f.advance(w, tid, r, step, func(o Outcome) { f.send(id, func() { placer.RunEnded(tid, r.attempt, o, f.now) }) })
			if f.rnd.IntN(4) == 0 {
				usage := actual.size
				usage.MilliCores = usage.MilliCores * r.cpuPercent / 100 * (85 + f.rnd.IntN(31)) / 100
				f.send(id, func() { placer.ReportUsage(tid, r.attempt, usage) })
			}
		}
		f.usedCores += float64(milliCores) / 1000
		f.overload += float64(max(0, milliCores-w.size.MilliCores)) / 1000
		if f.now%(2*clock.Second) == 0 {
			var runs []Run
			for tid, r := range w.runs {
				runs = append(runs, Run{tid, r.attempt})
			}
			leaseEnd := w.leaseEnd
			f.send(id, func() { placer.Heartbeat(id, leaseEnd, runs) })
		}
	}
}

// advance lets a run progress and ends it when it is due.
func (f *fakePlatform) advance(w *fakeWorker, id TaskID, r *fakeRun, step clock.Millis, end func(Outcome)) {
	actual := f.actual[id]
	r.remaining -= step * clock.Millis(r.cpuPercent) / 100
	switch {
	case r.stopping:
		end(OutcomeStopped)
	case w.broken || (actual.fails && r.remaining < actual.duration/2):
		actual.failedRuns++
		end(OutcomeFailed)
	case r.remaining <= 0:
		actual.done = true
		end(OutcomeDone)
	default:
		return
	}
	delete(w.runs, id)
}

func (f *fakePlatform) addWorkers(placer interface{ SetWorker(Worker) }) {
	for _, id := range sortedKeys(f.workers) {
		placer.SetWorker(Worker{ID: id, Size: f.workers[id].size})
	}
}

// newTask returns a task that uses milliCores and declares declaredPercent of
// them. It can checkpoint, be throttled or neither, depending on n.
func (f *fakePlatform) newTask(customer, n, milliCores int, duration clock.Millis, declaredPercent int) Task {
	t := Task{
		ID: TaskID(fmt.Sprintf("t%d-%05d", customer, n)), Customer: model.Customer(fmt.Sprintf("team%d", customer)),
		Class: fmt.Sprintf("class%d", milliCores), Submitted: f.now, CanCheckpoint: n%3 == 0, CanThrottle: n%3 == 1,
		Declared: Size{MilliCores: milliCores * declaredPercent / 100, MemoryMiB: 512},
	}
	f.actual[t.ID] = &actualTask{size: Size{MilliCores: milliCores, MemoryMiB: 512}, duration: duration}
	return t
}

func customerContract(k, milliCores int) model.Contract {
	return model.Contract{
		Customer: model.Customer(fmt.Sprintf("team%d", k)), MaxUnavailable: 2, BudgetMillis: 40 * clock.Second, WindowMillis: clock.Minute,
		Quota: model.Quota{MilliCores: milliCores, MemoryMiB: 1 << 20},
	}
}
