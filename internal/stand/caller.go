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

// Load is a bounded load from one customer on one service.
type Load struct {
	// Entries lists the caller-facing addresses of the entry processes; they
	// are asked in turn, as the platform's balancer would.
	Entries  []string
	Service  string
	Customer string
	// Requests is the number of requests in all, and Workers the number in
	// flight.
	Requests int
	Workers  int
	// Keyed gives each request an idempotency key.
	Keyed bool
	// Pause is the time between two requests of one worker.
	Pause time.Duration
	// Timeout bounds one request.
	Timeout time.Duration
	// Prefix starts the name of each request.
	Prefix string
}

// Answer is how one request of a load ended.
type Answer struct {
	ID      string
	Status  int
	Outcome string
	// Err is set when no whole answer came.
	Err     error
	Elapsed clock.Millis
}

// Summary counts the answers of a load.
type Summary struct {
	Answers []Answer
	// Counts holds the number of answers by status and outcome.
	Counts map[string]int
}

// Run sends the load and waits for its end or that of ctx.
func (l Load) Run(ctx context.Context) Summary {
	client := &http.Client{
		Timeout:   l.Timeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: l.Workers},
	}
	defer client.CloseIdleConnections()
	next := make(chan int)
	out := make(chan Answer, l.Workers)
	var wg sync.WaitGroup
	for range l.Workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range next {
				out <- l.one(ctx, client, n)
				pause(ctx, l.Pause)
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

func pause(ctx context.Context, d time.Duration) {
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

func (a Answer) label() string {
	if a.Err != nil {
		return "error"
	}
	return fmt.Sprintf("%d %s", a.Status, a.Outcome)
}

func (l Load) one(ctx context.Context, client *http.Client, n int) Answer {
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
	if l.Keyed {
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
		err = fmt.Errorf("the answer to %s is %q", a.ID, body)
	}
	a.Err = err
	return a
}

// String returns the counts, one on a line, in order of their labels.
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
