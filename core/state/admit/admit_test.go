package admit

import (
	"fmt"
	"testing"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestSharesAddUpToTheTotal guards against shares that do not add up to the total
// of the contract.
func TestSharesAddUpToTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 10_000).Draw(t, "total")
		names := rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,3}`), 1, 40).Draw(t, "names")
		var all []model.Process
		seen := map[model.Process]bool{}
		for _, n := range names {
			all = append(all, model.Process(n))
			seen[model.Process(n)] = true
		}
		sum, least, most := 0, total, 0
		for p := range seen {
			rank, count := Rank(all, p)
			s := Limit{MaxInFlight: total}.Divide(rank, count).MaxInFlight
			sum += s
			least, most = min(least, s), max(most, s)
		}
		assert.Equal(t, sum, total)
		assert.Assert(t, most-least <= 1)
	})
	rank, count := Rank([]model.Process{"a"}, "b")
	assert.Equal(t, Share(10, rank, count), 0)
}

// TestLimitOfContract guards against a limit that is not derived from the promised
// instances of the contract.
func TestLimitOfContract(t *testing.T) {
	slots := func(model.Pool) int { return 8 }
	c := model.Contract{Queue: 3, RetryPercent: 7, Pools: []model.PoolShare{{Pool: "a", Instances: 2}, {Pool: "b", Instances: 3}}}
	assert.Equal(t, LimitOf(c, slots), Limit{MaxInFlight: 40, MaxQueued: 3, RetryPercent: 7, Weight: 40})
	c.Concurrency = 5
	assert.Equal(t, LimitOf(c, slots).MaxInFlight, 5)
}

// simulation runs a controller against a pool with a number of slots, and tracks the
// running and waiting requests independently of it.
type simulation struct {
	g             *Controller[WeightedFair, int]
	slots         int
	running       map[model.Customer]int
	runningQueues []*Queue[int]
	waiting       map[int]*Waiter[int]
	limits        map[model.Customer]Limit
	next          int
	now           clock.Millis
}

func (w *simulation) inFlight() int { return len(w.runningQueues) }

func (w *simulation) removeWaiting(ids []int) {
	for _, id := range ids {
		delete(w.waiting, id)
	}
}

// startWaiters starts waiters until all slots are in use or none may run.
func (w *simulation) startWaiters(t *rapid.T) {
	for w.inFlight() < w.slots {
		wt, late := w.g.Next(w.now, "p", nil)
		w.removeWaiting(late)
		if wt == nil {
			assert.Assert(t, !w.g.HasRunnable("p"), "a waiter that may run was not chosen")
			return
		}
		assert.Assert(t, wt.Deadline > w.now, "an expired waiter was run")
		assert.Assert(t, w.waiting[wt.Ref] == wt, "a waiter was run twice or after it left")
		delete(w.waiting, wt.Ref)
		w.runningQueues = append(w.runningQueues, wt.Queue())
		w.running[wt.Queue().Customer.Name]++
	}
}

// TestControllerKeepsLimits guards against more requests in flight or waiting than
// a share allows, expired or cancelled requests that run, and requests that are
// lost or never removed.
func TestControllerKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{
			g: New[WeightedFair, int](WeightedFair{}), slots: rapid.IntRange(1, 6).Draw(t, "slots"),
			running: map[model.Customer]int{}, waiting: map[int]*Waiter[int]{}, limits: map[model.Customer]Limit{},
		}
		pools := []model.PoolShare{{Pool: "p"}}
		for i := range 3 {
			limit := Limit{MaxInFlight: rapid.IntRange(0, 4).Draw(t, "share"), MaxQueued: rapid.IntRange(0, 4).Draw(t, "queue"), Weight: i}
			c := model.Customer(fmt.Sprint(i))
			w.limits[c] = limit
			w.g.SetCustomer(c, limit, pools)
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				c := model.Customer(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "customer")))
				q, reason := w.g.Queue(c, "p")
				if reason != ReasonNone {
					assert.Equal(t, reason, ReasonShare)
					return
				}
				if q.CanRun() && q.Len() == 0 && !w.g.HasRunnable("p") && w.inFlight() < w.slots {
					w.g.Start(q)
					w.runningQueues = append(w.runningQueues, q)
					w.running[c]++
					return
				}
				w.next++
				wt, reason := w.g.Enqueue(w.now, w.now+clock.Millis(rapid.IntRange(1, 50).Draw(t, "ms")), q, w.slots, w.next)
				if reason == ReasonNone {
					w.waiting[w.next] = wt
				}
			},
			"end": func(t *rapid.T) {
				if len(w.runningQueues) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(w.runningQueues)-1).Draw(t, "which")
				q := w.runningQueues[i]
				w.runningQueues = append(w.runningQueues[:i:i], w.runningQueues[i+1:]...)
				w.running[q.Customer.Name]--
				w.g.End(q, clock.Millis(rapid.IntRange(-1, 20).Draw(t, "elapsed")))
				w.startWaiters(t)
			},
			"cancel": func(t *rapid.T) {
				for id, wt := range w.waiting {
					wt.Queue().Remove(wt)
					delete(w.waiting, id)
					return
				}
			},
			"time": func(t *rapid.T) {
				w.now += clock.Millis(rapid.IntRange(1, 30).Draw(t, "ms"))
				w.removeWaiting(w.g.Expire(w.now, nil))
			},
			"": func(t *rapid.T) {
				waits := 0
				w.g.EachCustomer(func(a *CustomerState[int]) {
					assert.Equal(t, a.Running, w.running[a.Name])
					assert.Assert(t, a.Running <= w.limits[a.Name].MaxInFlight)
					assert.Assert(t, a.Waiting <= w.limits[a.Name].MaxQueued)
					waits += a.Waiting
				})
				assert.Equal(t, waits, len(w.waiting))
			},
		})
	})
}

// share runs a pool of one slot with a flood of requests of customer a and a few of
// customer b. It returns how many of n started requests belong to each of them.
func share[P Picker](picker P, weightA, weightB, n int) (a, b int) {
	g := New[P, model.Customer](picker)
	pools := []model.PoolShare{{Pool: "p"}}
	g.SetCustomer("a", Limit{MaxInFlight: 10, MaxQueued: 1000, Weight: weightA}, pools)
	g.SetCustomer("b", Limit{MaxInFlight: 10, MaxQueued: 1000, Weight: weightB}, pools)
	fill := func(c model.Customer, want int) {
		q, _ := g.Queue(c, "p")
		for q.Len() < want {
			if _, reason := g.Enqueue(0, 1<<40, q, 1, c); reason != ReasonNone {
				panic(reason)
			}
		}
	}
	for range n {
		fill("a", 500)
		fill("b", 5)
		w, _ := g.Next(1, "p", nil)
		g.End(w.Queue(), -1)
		if w.Ref == "a" {
			a++
		} else {
			b++
		}
	}
	return a, b
}

// TestFloodDoesNotStarve guards against a flood of requests of one customer that
// starves another.
func TestFloodDoesNotStarve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wa, wb := rapid.IntRange(1, 20).Draw(t, "wa"), rapid.IntRange(1, 20).Draw(t, "wb")
		_, b := share(WeightedFair{}, wa, wb, 1000)
		want := 1000 * wb / (wa + wb)
		assert.Assert(t, b >= want-2 && b <= want+2, "b got %d of 1000, want %d", b, want)
	})
	_, b := share(FIFO{}, 1, 1, 400)
	assert.Assert(t, b < 10, "the baseline is expected to starve b, which got %d", b)
}

// TestEnqueueChecksDeadline guards against queueing a request that cannot end
// before its deadline, and against refusing one that can.
func TestEnqueueChecksDeadline(t *testing.T) {
	g := New[WeightedFair, int](WeightedFair{})
	g.SetCustomer("a", Limit{MaxInFlight: 4, MaxQueued: 100, Weight: 1}, []model.PoolShare{{Pool: "p"}})
	q, _ := g.Queue("a", "p")
	g.Start(q)
	g.End(q, 100)
	// Two slots at 100 ms per request: the estimated wait grows by 50 ms with each
	// waiter, plus a margin of an eighth.
	for k := range 4 {
		need := clock.Millis(50*(k+1)*9/8 + 100)
		_, reason := g.Enqueue(0, need, q, 2, k)
		assert.Equal(t, reason, ReasonDeadline)
		_, reason = g.Enqueue(0, need+1, q, 2, k)
		assert.Equal(t, reason, ReasonNone)
	}
	// At 60 ms the first waiter, due at 157, can no longer end in time.
	w, late := g.Next(60, "p", nil)
	assert.DeepEqual(t, late, []int{0})
	assert.Equal(t, w.Ref, 1)
}

// TestFewLongRequestsDoNotCloseTheQueue guards against a few long requests that
// keep all short ones from being queued.
func TestFewLongRequestsDoNotCloseTheQueue(t *testing.T) {
	g := New[WeightedFair, int](WeightedFair{})
	g.SetCustomer("a", Limit{MaxInFlight: 4, MaxQueued: 100, Weight: 1}, []model.PoolShare{{Pool: "p"}})
	q, _ := g.Queue("a", "p")
	for k := range 1000 {
		g.Start(q)
		elapsed := clock.Millis(10)
		if k%20 == 0 {
			elapsed = 2000
		}
		g.End(q, elapsed)
	}
	assert.Assert(t, q.poolQueues.timeNeeded() < 50, "%d", q.poolQueues.timeNeeded())
	_, reason := g.Enqueue(0, 200, q, 32, 1)
	assert.Equal(t, reason, ReasonNone)
}

// TestRetryBudget guards against more retries than RetryPercent of the first
// attempts, plus one.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(0, 50).Draw(t, "percent")
		g := New[WeightedFair, int](WeightedFair{})
		g.SetCustomer("a", Limit{MaxInFlight: 1, RetryPercent: percent}, nil)
		a := g.Customer("a")
		tries, retries := 0, 0
		for _, retry := range rapid.SliceOf(rapid.Bool()).Draw(t, "retry") {
			if !retry {
				tries++
				a.AddRetryCredit()
			} else if a.TakeRetry() {
				retries++
			}
			assert.Assert(t, float64(retries) <= 1+float64(tries*percent)/100)
			assert.Assert(t, percent > 0 || retries == 0)
		}
	})
}

// TestContractRemovedAndAppliedAgain guards against losing count of the requests in
// flight of a removed contract.
func TestContractRemovedAndAppliedAgain(t *testing.T) {
	g := New[WeightedFair, int](WeightedFair{})
	pools := []model.PoolShare{{Pool: "p"}}
	g.SetCustomer("a", Limit{MaxInFlight: 2, MaxQueued: 2}, pools)
	q, _ := g.Queue("a", "p")
	g.Start(q)
	_, reason := g.Enqueue(0, 100, q, 1, 7)
	assert.Equal(t, reason, ReasonNone)
	assert.DeepEqual(t, g.RemoveCustomer("a"), []int{7})
	_, reason = g.Queue("a", "p")
	assert.Equal(t, reason, ReasonContract)
	g.SetCustomer("a", Limit{MaxInFlight: 2}, pools)
	assert.Equal(t, g.Customer("a").Running, 1)
	g.RemoveCustomer("a")
	g.End(q, 1)
	assert.Assert(t, g.Customer("a") == nil)
}
