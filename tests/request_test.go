package tests

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"camphorridge/internal/stand"
)

// call sends one request of the customer acme, and returns the answer's status,
// outcome and body.
func call(t *testing.T, entry, service string, header http.Header) (status int, outcome, body string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/"+service+"/work", strings.NewReader("body"))
	assert.NilError(t, err)
	req.Header = header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Set("Camphorridge-Customer", "acme")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("Camphorridge-Outcome"), string(b), err
}

// startServing starts a system, applies a contract for its instances of the
// pool merge, and waits until all entry processes serve the pool.
func startServing(t *testing.T, l layout) *system {
	t.Helper()
	s := startSystem(t, l)
	n := 0
	for _, pools := range l.upstreams {
		n += len(pools)
	}
	s.applyContract("acme", n, "merge")
	s.waitReady()
	for _, e := range s.entries {
		s.wait(e.name+" to serve", func() bool {
			status, _, _, err := call(t, e.callerAddr, "merge", nil)
			return err == nil && status == http.StatusOK
		})
	}
	return s
}

// runCount returns the number of times that the request with the given ID has
// run.
func (s *system) runCount(id string) int {
	n := 0
	for _, r := range s.handledRequests() {
		if r.ID == id {
			n++
		}
	}
	return n
}

// TestResendToAnotherEntryRunsOnce guards against a request with an idempotency
// key that runs twice when the entry process is killed while the request runs, and
// the caller resends it to other entry processes.
func TestResendToAnotherEntryRunsOnce(t *testing.T) {
	s := startServing(t, threeZones("merge", "merge"))
	for i, victim := range []string{"e1", "e4"} {
		id := fmt.Sprintf("charge-%d", i)
		h := http.Header{stand.IDHeader: {id}, "Idempotency-Key": {id}, stand.DelayHeader: {"1500"}}
		done := make(chan error, 1)
		go func() {
			_, _, _, err := call(t, s.find(victim).callerAddr, "merge", h)
			done <- err
		}()
		s.wait("the request to run", func() bool { return s.runCount(id) == 1 })
		s.kill(victim)
		assert.Assert(t, <-done != nil, "the caller got a complete answer")
		for _, other := range []string{"e2", "e5", "e7"} {
			status, outcome, _, err := call(t, s.find(other).callerAddr, "merge", h)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusConflict)
			assert.Equal(t, outcome, "duplicate")
		}
		assert.Equal(t, s.runCount(id), 1)
		s.startProcess(s.find(victim))
	}
}

// TestKeyedRequestsUnderLeaderKill guards against a request with an idempotency
// key that runs twice, or that runs although it was refused, when the leader,
// which holds the claims, is killed. The requests go through all entry
// processes, and the refused ones are sent again at the end.
func TestKeyedRequestsUnderLeaderKill(t *testing.T) {
	s := startServing(t, threeZones("merge", "merge"))
	load := stand.Load{
		Entries: s.callerAddrs(""), Service: "merge", Customer: "acme", Requests: 900, Concurrency: 8,
		IdempotencyKeys: true, Timeout: 20 * time.Second, Prefix: "key-",
	}
	sums := make(chan stand.Summary, 1)
	go func() { sums <- load.Run(context.Background()) }()
	for _, n := range []int{100, 300} {
		s.wait("requests to run", func() bool { return s.runCountWithPrefix("key-") >= n })
		old := s.leader()
		s.kill(old.name)
		s.wait("more requests to run", func() bool { return s.runCountWithPrefix("key-") >= n+100 })
		s.startProcess(old)
		s.waitCaughtUp(old)
	}
	sum := <-sums
	assert.Equal(t, len(sum.Answers), 900)
	runs := s.runCounts()
	var refused []string
	for _, a := range sum.Answers {
		assert.NilError(t, a.Err)
		switch a.Outcome {
		case "ran":
			assert.Equal(t, runs[a.ID], 1, "%s", a.ID)
		case "not-run":
			assert.Equal(t, runs[a.ID], 0, "%s was refused but ran", a.ID)
			refused = append(refused, a.ID)
		default:
			t.Fatalf("%s ended with status %d, outcome %q", a.ID, a.Status, a.Outcome)
		}
	}
	t.Logf("%d requests were refused: %s", len(refused), sum)
	for i, id := range refused {
		h := http.Header{stand.IDHeader: {id}, "Idempotency-Key": {id}}
		s.wait(id+" to run", func() bool {
			_, outcome, _, err := call(t, s.entries[i%len(s.entries)].callerAddr, "merge", h)
			return err == nil && outcome == "ran"
		})
	}
	for id, n := range s.runCounts() {
		assert.Assert(t, n == 1 || !strings.HasPrefix(id, "key-"), "%s ran %d times", id, n)
	}
}

// runCounts returns the number of times that each request has run, by ID.
func (s *system) runCounts() map[string]int {
	runs := map[string]int{}
	for _, r := range s.handledRequests() {
		runs[r.ID]++
	}
	return runs
}

// TestGracefulStop guards against a planned stop that cuts off requests, or that
// ends with an error. Two entry processes are stopped in turn, each under load, and
// then each control member without load.
func TestGracefulStop(t *testing.T) {
	s := startServing(t, threeZones("merge", "merge"))
	var wg sync.WaitGroup
	for _, name := range []string{"e1", "e5"} {
		l := stand.Load{
			Entries: []string{s.find(name).callerAddr}, Service: "merge", Customer: "acme",
			Requests: 4000, Concurrency: 4, Timeout: 20 * time.Second, Prefix: name, Pause: 2 * time.Millisecond,
		}
		sums := make(chan stand.Summary, 1)
		wg.Add(1)
		go func() {
			defer wg.Done()
			sums <- l.Run(context.Background())
		}()
		s.wait("the load to run", func() bool { return s.runCountWithPrefix(name) > 50 })
		assert.Equal(t, s.stop(name), 0)
		// The load is not cancelled, because that could cut off an answer that was
		// written before the stop and has not been read yet.
		sum := <-sums
		assert.Assert(t, sum.Counts["error"] > 0, "the load ended before the stop")
		finished := map[string]bool{}
		for _, a := range sum.Answers {
			if a.Err == nil && a.Status == http.StatusOK {
				finished[a.ID] = true
			}
		}
		for _, r := range s.handledRequests() {
			if strings.HasPrefix(r.ID, name) && r.Finished {
				assert.Assert(t, finished[r.ID], "request %s ran, but its answer was cut off", r.ID)
			}
		}
		s.startProcess(s.find(name))
	}
	for _, c := range s.controls {
		assert.Equal(t, s.stop(c.name), 0)
		s.startProcess(c)
		s.retryCLI("status")
	}
	wg.Wait()
}

// runCountWithPrefix returns the number of runs of all requests whose ID has
// the given prefix.
func (s *system) runCountWithPrefix(prefix string) int {
	n := 0
	for _, r := range s.handledRequests() {
		if strings.HasPrefix(r.ID, prefix) {
			n++
		}
	}
	return n
}

// TestLeavingUpstreamGetsNoNewWork guards against requests that an entry process
// sends to an upstream more than 3 s after the upstream announced that it is
// leaving.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	s := startServing(t, threeZones("merge", "merge"))
	u := s.platforms["za"].Upstream("za-i00")
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, e := range s.callerAddrs("za") {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				default:
					_, _, _, _ = call(t, e, "merge", nil)
				}
			}
		}()
	}
	s.wait("requests on the upstream", func() bool { return len(u.HandledRequests()) > 20 })
	u.Leave()
	time.Sleep(3 * time.Second)
	before := len(u.HandledRequests())
	time.Sleep(2 * time.Second)
	after := len(u.HandledRequests())
	close(stop)
	wg.Wait()
	assert.Equal(t, after, before)
}

// TestSlotsHoldOverAllEntries guards against entry processes that together send
// an upstream more concurrent requests than it has slots.
func TestSlotsHoldOverAllEntries(t *testing.T) {
	l := threeZones("merge", "merge")
	l.requestDuration = 20 * time.Millisecond
	s := startServing(t, l)
	load := stand.Load{
		Entries: s.callerAddrs(""), Service: "merge", Customer: "acme",
		Requests: 3000, Concurrency: 200, Timeout: 20 * time.Second, Prefix: "flood",
	}
	sum := load.Run(context.Background())
	ran := 0
	for _, a := range sum.Answers {
		assert.NilError(t, a.Err)
		switch a.Outcome {
		case "ran":
			ran++
		case "not-run":
			assert.Equal(t, s.runCount(a.ID), 0, "request %s was refused but ran", a.ID)
		default:
			t.Fatalf("request %s ended with outcome %q", a.ID, a.Outcome)
		}
	}
	assert.Assert(t, ran > 0)
	for zone, platform := range s.platforms {
		for i := range l.upstreams[zone] {
			u := platform.Upstream(fmt.Sprintf("%s-i%02d", zone, i))
			assert.Assert(t, u.MaxRunning() <= 8, "%s ran %d requests at the same time, but has 8 slots", u.Instance, u.MaxRunning())
		}
	}
}

// TestFaultyUpstreams guards against an incomplete answer, or one to another request,
// that looks complete to the caller, and against the outcome "not run" for a request
// that ran. Each case is a fault of the upstream.
func TestFaultyUpstreams(t *testing.T) {
	s := startServing(t, threeZones("merge", "merge"))
	tests := []struct {
		fault, outcome string
		status, runs   int
	}{
		{stand.FaultCut, "unknown", http.StatusBadGateway, 1},
		{stand.FaultClose, "unknown", http.StatusBadGateway, 1},
		{stand.FaultHang, "unknown", http.StatusGatewayTimeout, 1},
		{stand.FaultNoLength, "unknown", http.StatusBadGateway, 1},
		{stand.FaultWrongID, "unknown", http.StatusBadGateway, 1},
		{stand.FaultNotRun, "not-run", http.StatusServiceUnavailable, 0},
		{stand.FaultFail, "ran", http.StatusInternalServerError, 1},
	}
	for _, tt := range tests {
		t.Run(tt.fault, func(t *testing.T) {
			id := "fault-" + tt.fault
			status, outcome, _, err := call(t, s.find("e2").callerAddr, "merge", http.Header{
				stand.IDHeader: {id}, stand.FaultHeader: {tt.fault}, "Camphorridge-Timeout-Ms": {"2000"},
			})
			assert.NilError(t, err)
			assert.Equal(t, outcome, tt.outcome)
			assert.Equal(t, status, tt.status)
			assert.Equal(t, s.runCount(id), tt.runs)
		})
	}
}

// TestResumedEntryDropsRemovedContract guards against an entry process that was
// frozen while a contract was removed, and keeps serving the contract from its old
// table after it continues.
func TestResumedEntryDropsRemovedContract(t *testing.T) {
	s := startServing(t, threeZones("merge"))
	s.signal("e3", syscall.SIGSTOP)
	s.retryCLI("contract", "remove", "acme", "--author", "test")
	s.wait("e1 to drop the contract", func() bool {
		status, _, _, err := call(t, s.find("e1").callerAddr, "merge", nil)
		return err == nil && status == http.StatusNotFound
	})
	time.Sleep(2 * time.Second)
	s.signal("e3", syscall.SIGCONT)
	s.wait("e3 to drop the contract", func() bool {
		status, _, _, err := call(t, s.find("e3").callerAddr, "merge", nil)
		return err == nil && status == http.StatusNotFound
	})
	ran := len(s.handledRequests())
	status, _, _, err := call(t, s.find("e3").callerAddr, "merge", nil)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNotFound)
	assert.Equal(t, len(s.handledRequests()), ran)
}
