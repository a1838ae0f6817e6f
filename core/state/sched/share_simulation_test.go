package sched

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// Parameters of the simulated load of several customers. The pool of loadWorkers workers
// is the one of the surge. Windows are those of Settings.ShareWindowMillis; the first
// ones are left out of the checks until the shares are steady.
const (
	shareStartMillis   clock.Millis = 100_000
	sharePlayMillis                 = 40 * clock.Second
	shareSteadyWindows              = 2
	shareTolerance                  = 0.05
	// loadMemoryMiB is the memory of a worker; see loadWorker.heartbeat.
	loadMemoryMiB = 1 << 20
)

// shareCustomer is a customer of the load and the jobs that it submits.
type shareCustomer struct {
	name           jobs.CustomerName
	weightPermille int
	// perSecond is the mean number of jobs per second, which come at random. If every is
	// not 0, a job comes at this interval in place of that.
	perSecond int
	every     clock.Millis
	// from is the time of the first job.
	from      clock.Millis
	tasks     int
	resources jobs.Resources
	// duration is the mean duration of a task, and target the time for a job beside
	// its estimate.
	duration, target clock.Millis
}

// shareStart is the start of a task.
type shareStart struct {
	customer  jobs.CustomerName
	resources jobs.Resources
	// acceptedAt, at and until are the times of the submission, the start and the end.
	acceptedAt, at, until clock.Millis
}

// shareLoad plays the submissions of customers against a scheduler.
type shareLoad struct {
	rand      *rand.Rand
	scheduler *testScheduler
	customers []shareCustomer
	workers   []*loadWorker
	now       clock.Millis
	jobByID   map[jobs.ID]simJob
	starts    []shareStart
	ops       []jobs.Op
	// held is the sum of the processors that each customer held in the steps of each
	// window.
	held []map[jobs.CustomerName]int
	// freeSince is the latest time at which a worker had no room for a waiting task.
	freeSince map[jobs.WorkerID]clock.Millis
	err       error
}

func newShareLoad(seed uint64, customers ...shareCustomer) *shareLoad {
	l := &shareLoad{rand: rand.New(rand.NewPCG(seed, 3)), customers: customers, jobByID: map[jobs.ID]simJob{}, freeSince: map[jobs.WorkerID]clock.Millis{}}
	settings := Defaults()
	settings.BacklogTargetMillis = 0
	state := jobs.New()
	c := jobs.Config{
		Version: 1, RequiresKeys: true, Pools: []jobs.Pool{{Name: "p"}},
		Queues: []jobs.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "p", MaxAttempts: 2, Target: 3000, StretchPermille: 1500}},
	}
	for _, x := range customers {
		if x.name != "" {
			c.Customers = append(c.Customers, jobs.Customer{Name: x.name, WeightPermille: x.weightPermille})
		}
	}
	state.Apply([]jobs.Op{{Kind: jobs.OpConfig, Config: &c}}, shareStartMillis)
	l.scheduler = New(settings, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, state, shareStartMillis)
	for n := range loadWorkers {
		l.workers = append(l.workers, &loadWorker{id: jobs.WorkerID(fmt.Sprint("w", n)), runs: map[jobs.TaskID]loadRun{}})
	}
	return l
}

// play plays the load until a time after its start.
func (l *shareLoad) play(until clock.Millis) {
	for ; l.now < until; l.now += loadStepMillis {
		for i := range l.customers {
			l.submit(&l.customers[i])
		}
		for _, w := range l.workers {
			w.endFinishedRuns(l.now)
			if !w.awaitsReply && l.now >= w.nextHeartbeat {
				l.scheduler.Heartbeat(w.heartbeat(shareStartMillis+l.now), shareStartMillis+l.now)
			}
		}
		plan := l.scheduler.Pass(shareStartMillis + l.now)
		l.ops = append(l.ops, plan.Ops...)
		for _, o := range plan.Orders {
			i := slices.IndexFunc(l.workers, func(w *loadWorker) bool { return w.id == o.Worker })
			l.workers[i].applyOrders(o, l.now, l.jobByID)
			for _, s := range o.Starts {
				l.recordStart(s)
			}
		}
		l.checkUsed()
		l.recordHeld()
	}
}

// submit submits the jobs of a customer that are due in this step.
func (l *shareLoad) submit(c *shareCustomer) {
	if l.now < c.from {
		return
	}
	stepsPerSecond := int(clock.Second / loadStepMillis)
	n := c.perSecond / stepsPerSecond
	if l.rand.IntN(stepsPerSecond) < c.perSecond%stepsPerSecond {
		n++
	}
	if c.every > 0 {
		n = 0
		if l.now%c.every == 0 {
			n = 1
		}
	}
	for range n {
		duration := c.duration*3/4 + clock.Millis(l.rand.Int64N(int64(c.duration/2)))
		j := simJob{arrivesAt: l.now, duration: duration, job: jobs.Job{
			ID: jobs.ID(fmt.Sprint("j", len(l.jobByID))), Queue: "q", Pool: "p", Customer: c.name, MaxAttempts: 2, Target: c.target, StretchPermille: 1500,
			Steps: []jobs.Step{{TaskCount: c.tasks, Resources: c.resources, Estimate: duration * clock.Millis(80+l.rand.IntN(40)) / 100}},
		}}
		l.jobByID[j.job.ID] = j
		l.scheduler.Submit(j.job, shareStartMillis+l.now)
	}
}

func (l *shareLoad) recordStart(s Start) {
	j := l.jobByID[s.Task.Job]
	l.starts = append(l.starts, shareStart{
		customer: j.job.Customer, resources: j.job.Steps[s.Task.Step].Resources, acceptedAt: j.arrivesAt, at: l.now, until: l.now + j.duration,
	})
}

// maxFreeMillis is how long a worker may have room for a waiting task. A worker sends a
// heartbeat within MaxReplyDelayMillis and MaxRetryMillis.
const maxFreeMillis = clock.Second

// checkUsed checks that no worker has room for a waiting task for longer than
// maxFreeMillis.
func (l *shareLoad) checkUsed() {
	for _, w := range l.scheduler.workers {
		free := w.capacity.Minus(w.used)
		fits := false
		for g := range l.scheduler.pool("p").groups.Matching(func(n groupNeeds) bool { return n.smallest.FitsIn(free) }) {
			if fits = g.live() && g.reserved.FitsIn(free); fits {
				break
			}
		}
		if !fits {
			l.freeSince[w.id] = l.now
		}
		if l.err == nil && l.now-l.freeSince[w.id] > maxFreeMillis {
			l.err = fmt.Errorf("at %d ms: worker %s has had room for a waiting task since %d ms", l.now, w.id, l.freeSince[w.id])
		}
	}
}

// recordHeld adds what the customers' tasks hold to the window. A task holds its resources
// from its assignment until its end is known.
func (l *shareLoad) recordHeld() {
	i := int(l.now / Defaults().ShareWindowMillis)
	if i == len(l.held) {
		l.held = append(l.held, map[jobs.CustomerName]int{})
	}
	for _, w := range l.scheduler.workers {
		for _, r := range w.runs {
			l.held[i][r.rec.Customer] += r.step.Resources.MilliCores
		}
	}
}

// parts returns the part of all processors in use that each customer held in a window.
func (l *shareLoad) parts(window int) map[jobs.CustomerName]float64 {
	total, parts := 0, map[jobs.CustomerName]float64{}
	for _, held := range l.held[window] {
		total += held
	}
	for name, held := range l.held[window] {
		parts[name] = float64(held) / float64(total)
	}
	return parts
}

// checkParts checks that each customer's part of each steady window follows its weight.
func (l *shareLoad) checkParts() error {
	if l.err != nil {
		return l.err
	}
	total := 0
	for _, c := range l.customers {
		total += c.weightPermille
	}
	for i := range l.held {
		parts := l.parts(i)
		for _, c := range l.customers {
			want := float64(c.weightPermille) / float64(total)
			if got := parts[c.name]; i >= shareSteadyWindows && (got < want*(1-shareTolerance) || got > want*(1+shareTolerance)) {
				return fmt.Errorf("window %d: customer %s has a part of %.4f, its weight is %.4f of all", i, c.name, got, want)
			}
		}
	}
	return nil
}

// maxWait returns the longest time that a task of a customer has waited for its start,
// also of those that still wait.
func (l *shareLoad) maxWait(name jobs.CustomerName) clock.Millis {
	longest := clock.Millis(0)
	for _, s := range l.starts {
		if s.customer == name {
			longest = max(longest, s.at-s.acceptedAt)
		}
	}
	for g := range l.scheduler.pool("p").groups.All() {
		if g.rec.Customer == name && g.live() {
			longest = max(longest, shareStartMillis+l.now-g.rec.AcceptedAt)
		}
	}
	return longest
}

// weightedCustomers returns four customers whose weights are 1, 2, 3 and 4 jobs a second.
// Each submits as many jobs as perSecond returns for its weight.
func weightedCustomers(tasks int, target clock.Millis, perSecond func(weight int) int) []shareCustomer {
	var out []shareCustomer
	for weight := 1; weight <= 4; weight++ {
		out = append(out, shareCustomer{
			name: jobs.CustomerName(fmt.Sprint("c", weight)), weightPermille: 1000 * weight, perSecond: perSecond(weight), tasks: tasks,
			resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 100}, duration: 600, target: target,
		})
	}
	return out
}

// shareSeeds returns the number of seeds that each load is played with.
func shareSeeds() uint64 {
	if testing.Short() {
		return 2
	}
	return 8
}

// TestPartsFollowWeights guards against a customer that gets more or less than its weight
// while all ask for more than there is: with work that is within the rates, with work far
// beyond them, with a deadline that most of it misses, and with demands that are the
// reverse of the weights. It also guards against room that nobody uses.
func TestPartsFollowWeights(t *testing.T) {
	within := func(weight int) int { return weight }
	beyond := func(int) int { return 30 }
	reverse := func(weight int) int { return 100 / weight }
	for _, c := range []struct {
		name      string
		customers []shareCustomer
	}{
		{"within the rates", weightedCustomers(60, clock.Hour, within)},
		{"beyond the rates", weightedCustomers(10, clock.Hour, beyond)},
		{"beyond the rates and late", weightedCustomers(10, 3000, beyond)},
		{"reverse demand", weightedCustomers(10, 3000, reverse)},
	} {
		t.Run(c.name, func(t *testing.T) {
			playSeeds(t, shareSeeds(), func(seed uint64) error {
				l := newShareLoad(seed, c.customers...)
				l.play(sharePlayMillis)
				return l.checkParts()
			})
		})
	}
}

var (
	_ = cmp.Compare[int]
	_ = assert.Assert
)

// TestDominantPartsFollowWeights guards against a customer that needs mostly memory and
// gets more than one that needs mostly processors, or less: each one's part of its
// dominant resource follows the weights.
func TestDominantPartsFollowWeights(t *testing.T) {
	customers := weightedCustomers(10, clock.Hour, func(int) int { return 60 })[:2]
	customers[0].weightPermille, customers[1].weightPermille = 1000, 1000
	customers[0].resources = jobs.Resources{MilliCores: 1000, MemoryMiB: loadMemoryMiB / 64}
	customers[1].resources = jobs.Resources{MilliCores: 250, MemoryMiB: loadMemoryMiB / 16}
	playSeeds(t, shareSeeds(), func(seed uint64) error {
		l := newShareLoad(seed, customers...)
		l.play(sharePlayMillis)
		for i := shareSteadyWindows; i < len(l.held); i++ {
			// The dominant parts of the tasks are equal: 1/16 of a worker each.
			tasks := []float64{float64(l.held[i]["c1"]) / 1000, float64(l.held[i]["c2"]) / 250}
			if d := tasks[0]/(tasks[0]+tasks[1]) - 0.5; d > 0.5*shareTolerance || d < -0.5*shareTolerance {
				return fmt.Errorf("window %d: customer c1 has a part of %.4f of the tasks in place of 0.5", i, 0.5+d)
			}
		}
		return l.err
	})
}

// smallAndLarge returns a customer whose weight is 1 and one whose weight is 40. The large
// one always submits 1.7 times what the pool can do; the small one submits one job of the
// given number of tasks a second, which is its rate.
func smallAndLarge(smallTasks int) []shareCustomer {
	c := weightedCustomers(10, clock.Hour, func(int) int { return 40 })[:2]
	c[0].name, c[0].every, c[0].tasks = "small", clock.Second, smallTasks
	c[1].name, c[1].weightPermille = "large", 40_000
	return c
}

// smallWaitLimit is the longest wait of the small customer by the comment on shareOrder,
// with the work of its latest tasks being that of the given number.
func smallWaitLimit(customers []shareCustomer, tasks int) clock.Millis {
	const cores = loadWorkers * loadMilliCoresPerWorker / 1000
	longest := customers[0].duration * 5 / 4
	work := clock.Millis(tasks) * longest * clock.Millis(customers[0].weightPermille+customers[1].weightPermille) / clock.Millis(customers[0].weightPermille) / cores
	d := Defaults()
	return d.ShareWindowMillis + work + longest + d.MaxReplyDelayMillis + d.MaxRetryMillis
}

// TestSmallCustomerWaitsBriefly guards against a small customer that asks for less than
// its share and waits behind the backlog of a large one.
func TestSmallCustomerWaitsBriefly(t *testing.T) {
	customers := smallAndLarge(2)
	limit := smallWaitLimit(customers, 2)
	playSeeds(t, shareSeeds(), func(seed uint64) error {
		l := newShareLoad(seed, customers...)
		l.play(sharePlayMillis)
		if wait := l.maxWait("small"); wait > limit {
			return fmt.Errorf("a task of the small customer waited for %d ms, more than %d ms", wait, limit)
		}
		return l.err
	})
}

// TestSmallBacklogGoesOn guards against a small customer that asks for more than its share
// and gets nothing for a long time, also after it has used most of the pool while there
// was room.
func TestSmallBacklogGoesOn(t *testing.T) {
	beside, before := smallAndLarge(40), smallAndLarge(100)
	before[1].from = 10 * clock.Second
	for _, c := range []struct {
		name      string
		customers []shareCustomer
		// latest is the number of the small customer's tasks that run at once.
		latest int
	}{{"beside the large one", beside, 40}, {"before the large one", before, 100}} {
		t.Run(c.name, func(t *testing.T) {
			limit := smallWaitLimit(c.customers, c.latest)
			playSeeds(t, shareSeeds(), func(seed uint64) error {
				l := newShareLoad(seed, c.customers...)
				l.play(sharePlayMillis)
				if wait := l.maxGap("small"); wait > limit {
					return fmt.Errorf("the small customer got nothing for %d ms, more than %d ms", wait, limit)
				}
				return l.err
			})
		})
	}
}

// maxGap returns the longest time without a start of a customer that always waits.
func (l *shareLoad) maxGap(name jobs.CustomerName) clock.Millis {
	last, longest := clock.Millis(0), clock.Millis(0)
	for _, s := range l.starts {
		if s.customer == name {
			longest, last = max(longest, s.at-last), s.at
		}
	}
	return max(longest, l.now-last)
}

// TestIdleCustomerSavesNothing guards against a customer that asks for nothing for some
// time and then keeps the others from their parts.
func TestIdleCustomerSavesNothing(t *testing.T) {
	customers := weightedCustomers(10, clock.Hour, func(int) int { return 30 })
	const window = 3
	customers[3].from = window * Defaults().ShareWindowMillis
	playSeeds(t, shareSeeds(), func(seed uint64) error {
		l := newShareLoad(seed, customers...)
		l.play(sharePlayMillis)
		for i := window; i < len(l.held); i++ {
			if got := l.parts(i)["c4"]; got > 0.4*(1+shareTolerance) {
				return fmt.Errorf("window %d: customer c4 has a part of %.4f, its weight is 0.4 of all", i, got)
			}
		}
		return l.err
	})
}

// TestSpareRoomIsUsed guards against room that is kept for customers that ask for nothing:
// the one with the smallest weight gets the whole pool, also for work beyond its rate.
func TestSpareRoomIsUsed(t *testing.T) {
	customers := weightedCustomers(10, clock.Hour, func(weight int) int { return 40 * (weight % 2) })[:2]
	customers[1].weightPermille = 100_000
	playSeeds(t, shareSeeds(), func(seed uint64) error {
		l := newShareLoad(seed, customers...)
		l.play(15 * clock.Second)
		used := 0
		for _, w := range l.scheduler.workers {
			used += w.used.MilliCores
		}
		if all := loadWorkers * loadMilliCoresPerWorker; l.err == nil && used < all*9/10 {
			return fmt.Errorf("%d of %d milli-cores are used", used, all)
		}
		return l.err
	})
}

// withoutWeights returns the customers without their weights.
func withoutWeights(customers []shareCustomer) []shareCustomer {
	out := slices.Clone(customers)
	for i := range out {
		out[i].weightPermille = 0
	}
	return out
}

// TestOrderByDeadlineWithRoom guards against shares that change the order of work, or
// delay some, although there is room for all.
func TestOrderByDeadlineWithRoom(t *testing.T) {
	customers := weightedCustomers(4, 3000, func(weight int) int { return weight })
	playSeeds(t, shareSeeds(), func(seed uint64) error {
		weighted, other := newShareLoad(seed, customers...), newShareLoad(seed, withoutWeights(customers)...)
		weighted.play(15 * clock.Second)
		other.play(15 * clock.Second)
		if digestOfOps(weighted.ops) != digestOfOps(other.ops) {
			return fmt.Errorf("the plans differ")
		}
		return weighted.err
	})
}

// digestOfOps returns a digest of the operations of plans.
func digestOfOps(ops []jobs.Op) uint64 {
	h := fnv.New64a()
	for _, o := range ops {
		fmt.Fprintln(h, o.Kind, o.Task, o.Run, o.Worker, o.Result)
	}
	return h.Sum64()
}

// plansBeforeShares are the digests of the plans that the scheduler made for the load of
// TestPlansWithoutWeights before it knew shares (93f2ac54), by seed.
var plansBeforeShares = []uint64{9258293238109097354, 14661123850922392060, 14978434107806108520}

// TestPlansWithoutWeights guards against shares that change anything for a configuration
// without weights: the plans in an overload with late work are those from before.
func TestPlansWithoutWeights(t *testing.T) {
	for seed, want := range plansBeforeShares {
		l := newShareLoad(uint64(seed), withoutWeights(weightedCustomers(10, 3000, func(weight int) int { return 10 * weight }))...)
		l.play(20 * clock.Second)
		assert.Equal(t, digestOfOps(l.ops), want, "seed %d", seed)
	}
}
