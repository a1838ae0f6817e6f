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
// of the contract or differ by more than one, and against a share for a process that
// is not listed.
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
// instances of a contract without a concurrency, and against one that ignores the
// concurrency of a contract that sets it.
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
	controller    *Controller[WeightedFair, int]
	slots         int
	running       map[model.Customer]int
	runningQueues []*Queue[int]
	waiting       map[int]*Waiter[int]
	limits        map[model.Customer]Limit
	lastRef       int
	now           clock.Millis
}

func (s *simulation) inFlight() int { return len(s.runningQueues) }

func (s *simulation) removeWaiting(ids []int) {
	for _, id := range ids {
		delete(s.waiting, id)
	}
}

// startWaiters starts waiters until all slots are in use or none may run.
func (s *simulation) startWaiters(t *rapid.T) {
	for s.inFlight() < s.slots {
		w, late := s.controller.Next(s.now, "p", nil)
		s.removeWaiting(late)
		if w == nil {
			assert.Assert(t, !s.controller.HasRunnable("p"), "a waiter that may run was not chosen")
			return
		}
		assert.Assert(t, w.Deadline > s.now, "an expired waiter was run")
		assert.Assert(t, s.waiting[w.Ref] == w, "a waiter was run twice or after it left")
		delete(s.waiting, w.Ref)
		s.runningQueues = append(s.runningQueues, w.Queue())
		s.running[w.Queue().Customer.Name]++
	}
}

// TestControllerKeepsLimits guards against more requests in flight or waiting than
// a share allows, expired or cancelled requests that run, and requests that are
// lost or never removed.
func TestControllerKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			controller: New[WeightedFair, int](WeightedFair{}), slots: rapid.IntRange(1, 6).Draw(t, "slots"),
			running: map[model.Customer]int{}, waiting: map[int]*Waiter[int]{}, limits: map[model.Customer]Limit{},
		}
		pools := []model.PoolShare{{Pool: "p"}}
		for i := range 3 {
			limit := Limit{MaxInFlight: rapid.IntRange(0, 4).Draw(t, "share"), MaxQueued: rapid.IntRange(0, 4).Draw(t, "queue"), Weight: i}
			c := model.Customer(fmt.Sprint(i))
			s.limits[c] = limit
			s.controller.SetCustomer(c, limit, pools)
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				c := model.Customer(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "customer")))
				q, reason := s.controller.Queue(c, "p")
				if reason != ReasonNone {
					assert.Equal(t, reason, ReasonNoShare)
					return
				}
				if q.CanRun() && q.Len() == 0 && !s.controller.HasRunnable("p") && s.inFlight() < s.slots {
					s.controller.Start(q)
					s.runningQueues = append(s.runningQueues, q)
					s.running[c]++
					return
				}
				s.lastRef++
				w, reason := s.controller.Enqueue(s.now, s.now+clock.Millis(rapid.IntRange(1, 50).Draw(t, "ms")), q, s.slots, s.lastRef)
				if reason == ReasonNone {
					s.waiting[s.lastRef] = w
				}
			},
			"end": func(t *rapid.T) {
				if len(s.runningQueues) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(s.runningQueues)-1).Draw(t, "which")
				q := s.runningQueues[i]
				s.runningQueues = append(s.runningQueues[:i:i], s.runningQueues[i+1:]...)
				s.running[q.Customer.Name]--
				s.controller.End(q, clock.Millis(rapid.IntRange(-1, 20).Draw(t, "elapsed")))
				s.startWaiters(t)
			},
			"cancel": func(t *rapid.T) {
				for id, w := range s.waiting {
					w.Queue().Remove(w)
					delete(s.waiting, id)
					return
				}
			},
			"time": func(t *rapid.T) {
				s.now += clock.Millis(rapid.IntRange(1, 30).Draw(t, "ms"))
				s.removeWaiting(s.controller.Expire(s.now, nil))
			},
			"": func(t *rapid.T) {
				waits := 0
				s.controller.EachCustomer(func(cs *CustomerState[int]) {
					assert.Equal(t, cs.Running, s.running[cs.Name])
					assert.Assert(t, cs.Running <= s.limits[cs.Name].MaxInFlight)
					assert.Assert(t, cs.Waiting <= s.limits[cs.Name].MaxQueued)
					waits += cs.Waiting
				})
				assert.Equal(t, waits, len(s.waiting))
			},
		})
	})
}

// startedRequests runs a pool of one slot with a flood of requests of customer a and
// a few of customer b. It returns how many of n started requests belong to each of
// them.
func startedRequests[P Picker](picker P, weightA, weightB, n int) (a, b int) {
	controller := New[P, model.Customer](picker)
	pools := []model.PoolShare{{Pool: "p"}}
	controller.SetCustomer("a", Limit{MaxInFlight: 10, MaxQueued: 1000, Weight: weightA}, pools)
	controller.SetCustomer("b", Limit{MaxInFlight: 10, MaxQueued: 1000, Weight: weightB}, pools)
	fill := func(c model.Customer, want int) {
		q, _ := controller.Queue(c, "p")
		for q.Len() < want {
			if _, reason := controller.Enqueue(0, 1<<40, q, 1, c); reason != ReasonNone {
				panic(reason)
			}
		}
	}
	for range n {
		fill("a", 500)
		fill("b", 5)
		w, _ := controller.Next(1, "p", nil)
		controller.End(w.Queue(), -1)
		if w.Ref == "a" {
			a++
		} else {
			b++
		}
	}
	return a, b
}

// TestFloodDoesNotStarve guards against a flood of requests of one customer that
// starves another under WeightedFair.
func TestFloodDoesNotStarve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wa, wb := rapid.IntRange(1, 20).Draw(t, "wa"), rapid.IntRange(1, 20).Draw(t, "wb")
		_, b := startedRequests(WeightedFair{}, wa, wb, 1000)
		want := 1000 * wb / (wa + wb)
		assert.Assert(t, b >= want-2 && b <= want+2, "b got %d of 1000, want %d", b, want)
	})
	_, b := startedRequests(FIFO{}, 1, 1, 400)
	assert.Assert(t, b < 10, "the baseline is expected to starve b, which got %d", b)
}

// TestEnqueueChecksDeadline guards against queueing a request that cannot end
// before its deadline, and against refusing one that can.
func TestEnqueueChecksDeadline(t *testing.T) {
	controller := New[WeightedFair, int](WeightedFair{})
	controller.SetCustomer("a", Limit{MaxInFlight: 4, MaxQueued: 100, Weight: 1}, []model.PoolShare{{Pool: "p"}})
	q, _ := controller.Queue("a", "p")
	controller.Start(q)
	controller.End(q, 100)
	// Two slots at 100 ms per request: the estimated wait grows by 50 ms with each
	// waiter. Enqueue adds a margin of an eighth of the wait, and 100 ms for the run.
	for k := range 4 {
		need := clock.Millis(50*(k+1)*9/8 + 100)
		_, reason := controller.Enqueue(0, need, q, 2, k)
		assert.Equal(t, reason, ReasonDeadline)
		_, reason = controller.Enqueue(0, need+1, q, 2, k)
		assert.Equal(t, reason, ReasonNone)
	}
	// At 60 ms the first waiter, due at 157, can no longer end in time.
	w, late := controller.Next(60, "p", nil)
	assert.DeepEqual(t, late, []int{0})
	assert.Equal(t, w.Ref, 1)
}

// TestFewLongRequestsDoNotCloseTheQueue guards against a few long requests that
// keep all short ones from being queued.
func TestFewLongRequestsDoNotCloseTheQueue(t *testing.T) {
	controller := New[WeightedFair, int](WeightedFair{})
	controller.SetCustomer("a", Limit{MaxInFlight: 4, MaxQueued: 100, Weight: 1}, []model.PoolShare{{Pool: "p"}})
	q, _ := controller.Queue("a", "p")
	for k := range 1000 {
		controller.Start(q)
		elapsed := clock.Millis(10)
		if k%20 == 0 {
			elapsed = 2000
		}
		controller.End(q, elapsed)
	}
	assert.Assert(t, q.poolQueues.timeNeeded() < 50, "%d", q.poolQueues.timeNeeded())
	_, reason := controller.Enqueue(0, 200, q, 32, 1)
	assert.Equal(t, reason, ReasonNone)
}

// TestRetryBudget guards against more retries than RetryPercent of the first
// attempts, plus one.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(0, 50).Draw(t, "percent")
		controller := New[WeightedFair, int](WeightedFair{})
		controller.SetCustomer("a", Limit{MaxInFlight: 1, RetryPercent: percent}, nil)
		cs := controller.Customer("a")
		attempts, retries := 0, 0
		for _, retry := range rapid.SliceOf(rapid.Bool()).Draw(t, "retry") {
			if !retry {
				attempts++
				cs.AddRetryCredit()
			} else if cs.TakeRetry() {
				retries++
			}
			assert.Assert(t, float64(retries) <= 1+float64(attempts*percent)/100)
			assert.Assert(t, percent > 0 || retries == 0)
		}
	})
}

// TestContractRemovedAndAppliedAgain guards against losing count of the requests in
// flight of a removed contract.
func TestContractRemovedAndAppliedAgain(t *testing.T) {
	controller := New[WeightedFair, int](WeightedFair{})
	pools := []model.PoolShare{{Pool: "p"}}
	controller.SetCustomer("a", Limit{MaxInFlight: 2, MaxQueued: 2}, pools)
	q, _ := controller.Queue("a", "p")
	controller.Start(q)
	_, reason := controller.Enqueue(0, 100, q, 1, 7)
	assert.Equal(t, reason, ReasonNone)
	assert.DeepEqual(t, controller.RemoveCustomer("a"), []int{7})
	_, reason = controller.Queue("a", "p")
	assert.Equal(t, reason, ReasonNoContract)
	controller.SetCustomer("a", Limit{MaxInFlight: 2}, pools)
	assert.Equal(t, controller.Customer("a").Running, 1)
	controller.RemoveCustomer("a")
	controller.End(q, 1)
	assert.Assert(t, controller.Customer("a") == nil)
}
