package stand

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"camphorridge/core/state/clock"
)

// Load is a limited number of requests from one customer to one service.
type Load struct {
	// Entries lists the caller-facing addresses of the entry processes. The
	// requests go to them in turn, as if through the platform's load balancer.
	Entries []string
	// Service is the first segment of the requests' path, which is the name of a
	// pool.
	Service  string
	Customer string
	// Requests is the total number of requests, and Concurrency the maximum number
	// in flight at the same time.
	Requests    int
	Concurrency int
	// IdempotencyKeys makes each request carry its ID as its idempotency key.
	IdempotencyKeys bool
	// Pause is the time that each of the Concurrency senders waits between an answer
	// and its next request.
	Pause time.Duration
	// Timeout is the timeout of one request.
	Timeout time.Duration
	// Prefix is the prefix of each request's ID.
	Prefix string
}

// Answer is the result of one request of a load.
type Answer struct {
	ID      string
	Status  int
	Outcome string
	// Err is set if there was no answer, or one that is incomplete or belongs to
	// another request.
	Err     error
	Elapsed clock.Millis
}

// Summary holds the answers to a load and their counts.
type Summary struct {
	Answers []Answer
	// Counts holds the number of answers by status and outcome, such as "200 ran".
	// Its key is "error" for answers with an Err.
	Counts map[string]int
}

// Run sends the requests and returns when each request that was sent has an Answer.
// When ctx is done, it sends no new requests and cancels those in flight. The Err of
// their answers wraps the error of ctx, such as context.Canceled.
func (l Load) Run(ctx context.Context) Summary {
	client := &http.Client{
		Timeout:   l.Timeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: l.Concurrency},
	}
	defer client.CloseIdleConnections()
	next := make(chan int)
	out := make(chan Answer, l.Concurrency)
	var wg sync.WaitGroup
	for range l.Concurrency {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range next {
				out <- l.send(ctx, client, n)
				sleep(ctx, l.Pause)
			}
		}()
	}
	go func() {
		defer close(next)
		for n := range l.Requests {
			select {
			case next <- n:
			case <-ctx.Done():
				return
			}
		}
	}()
	go func() {
		wg.Wait()
		close(out)
	}()
	s := Summary{Counts: map[string]int{}}
	for a := range out {
		s.Answers = append(s.Answers, a)
		s.Counts[a.label()]++
	}
	return s
}

// sleep waits for a duration or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// label returns the key of an answer in Summary.Counts.
func (a Answer) label() string {
	if a.Err != nil {
		return "error"
	}
	return fmt.Sprintf("%d %s", a.Status, a.Outcome)
}

// send sends request n and returns its answer.
func (l Load) send(ctx context.Context, client *http.Client, n int) Answer {
	a := Answer{ID: fmt.Sprintf("%s%s-%d", l.Prefix, l.Service, n)}
	started := clk.Now()
	defer func() { a.Elapsed = clk.Now() - started }()
	url := fmt.Sprintf("http://%s/%s/work", l.Entries[n%len(l.Entries)], l.Service)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("body of "+a.ID))
	if err != nil {
		a.Err = err
		return a
	}
	req.Header.Set("Camphorridge-Customer", l.Customer)
	req.Header.Set(IDHeader, a.ID)
	if l.IdempotencyKeys {
		req.Header.Set("Idempotency-Key", a.ID)
	}
	resp, err := client.Do(req)
	if err != nil {
		a.Err = err
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a.Status, a.Outcome = resp.StatusCode, resp.Header.Get("Camphorridge-Outcome")
	if err == nil && a.Status == http.StatusOK && !strings.Contains(string(body), " "+a.ID+" ") {
		err = fmt.Errorf("the body of the answer to %s lacks its ID: %q", a.ID, body)
	}
	a.Err = err
	return a
}

// String returns the counts, one per line, sorted by label.
func (s Summary) String() string {
	labels := make([]string, 0, len(s.Counts))
	for l := range s.Counts {
		labels = append(labels, l)
	}
	sort.Strings(labels)
	var b strings.Builder
	for _, l := range labels {
		fmt.Fprintf(&b, "%-24s %d\n", l, s.Counts[l])
	}
	return b.String()
}
