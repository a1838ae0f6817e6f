package admin_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/trans/admin"
)

// TestExpose guards against a page that scrapers reject: names with invalid
// characters, two metrics of the same name, or unescaped label values.
func TestExpose(t *testing.T) {
	r := metrics.NewRegistry()
	requests, version := metrics.NewCounter(), metrics.NewGauge()
	requests.Inc(5)
	version.Update(118)
	assert.NilError(t, r.Register("requests", requests))
	assert.NilError(t, r.Register("table-version", version))
	wait, err := admin.RegisterHistogram(r, "request-wait-ms")
	assert.NilError(t, err)
	for i := range 100 {
		wait.Update(int64(i + 1))
	}
	_, err = admin.RegisterHistogram(r, "request-elapsed-ms")
	assert.NilError(t, err)
	assert.NilError(t, admin.RegisterCounter(r, "requests.", func() int64 { return 7 }))
	assert.NilError(t, admin.RegisterGauge(r, "request-wait-ms-count", func() int64 { return 8 }))
	assert.NilError(t, admin.RegisterGauge(r, "table.version", func() int64 { return 9 }))
	assert.NilError(t, admin.RegisterGauge(r, "9 queue/über", func() int64 { return -1 }))
	load := metrics.NewGaugeFloat64()
	load.Update(0.25)
	assert.NilError(t, r.Register("load", load))
	var registerErr *admin.Error
	assert.Assert(t, errors.As(admin.RegisterGauge(r, "load", nil), &registerErr) && registerErr.Kind == admin.KindRegister)
	var b bytes.Buffer
	assert.NilError(t, admin.Expose(&b, r, []admin.Label{{Name: "process", Value: `e"1\`}, {Name: "zone", Value: "a\nb"}}))
	golden.Assert(t, b.String(), "entry.txt")
}

// TestExposeGaugeVector guards against labels that are not escaped or that replace those of
// the process, and against a registry that drops the metric.
func TestExposeGaugeVector(t *testing.T) {
	r := metrics.NewRegistry()
	assert.NilError(t, admin.RegisterGaugeVector(r, "customer-waiting-tasks", "customer", func() []admin.LabelledValue {
		return []admin.LabelledValue{{Label: "a\"b\n", Value: 3}, {Label: "other", Value: 4}}
	}))
	var b bytes.Buffer
	assert.NilError(t, admin.Expose(&b, r, []admin.Label{{Name: "process", Value: "c1"}}))
	assert.Equal(t, b.String(), "# TYPE camphorridge_customer_waiting_tasks gauge\n"+
		"camphorridge_customer_waiting_tasks{process=\"c1\",customer=\"a\\\"b\\n\"} 3\n"+
		"camphorridge_customer_waiting_tasks{process=\"c1\",customer=\"other\"} 4\n")
}

// TestHistogramTotal guards against a sum that covers only the sampled values and
// decreases between two scrapes.
func TestHistogramTotal(t *testing.T) {
	r, h := metrics.NewRegistry(), admin.NewHistogram()
	assert.NilError(t, r.Register("h", h))
	for range 5000 {
		h.Update(2)
	}
	var b bytes.Buffer
	assert.NilError(t, admin.Expose(&b, r, nil))
	assert.Assert(t, strings.Contains(b.String(), "camphorridge_h_sum 10000\ncamphorridge_h_count 5000\n"), b.String())
}

// start starts a server and returns it with a channel for the result of Run.
func start(t *testing.T, cfg admin.Config) (*admin.Server, <-chan error) {
	t.Helper()
	cfg.Address, cfg.Registry = "127.0.0.1:0", metrics.NewRegistry()
	s, err := admin.New(cfg)
	assert.NilError(t, err)
	ran := make(chan error, 1)
	go func() { ran <- s.Run() }()
	t.Cleanup(s.Stop)
	return s, ran
}

func get(t *testing.T, method, url string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, nil)
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(body)
}

// TestPaths guards against reporting a process as ready when it is not, and against
// misreading request parameters.
func TestPaths(t *testing.T) {
	reason := "no table"
	s, ran := start(t, admin.Config{
		NotReadyReason: func() string { return reason },
		Events:         func(since uint64, _ int) []model.Event { return []model.Event{{Seq: since + 1, Kind: model.EventWait}} },
		StopMillis:     clock.Second,
	})
	for _, c := range []struct {
		method, path string
		status       int
		body         string
	}{
		{"GET", "/healthz", 200, "ok\n"},
		{"GET", "/readyz", 503, "not ready: no table\n"},
		{"GET", "/metrics", 200, ""},
		{"GET", "/events?since=4", 200, `[{"stamp-ms":0,"stamp-count":0,"process":"","seq":5,"kind":"wait"}]`},
		{"GET", "/events", 200, `[{"stamp-ms":0,"stamp-count":0,"process":"","seq":1,"kind":"wait"}]`},
		{"GET", "/events?since=-1", 400, "since = \"-1\" is not a sequence number of 0 or more\n"},
		{"POST", "/events", 405, "Method Not Allowed\n"},
		{"GET", "/", 404, "404 page not found\n"},
	} {
		status, body := get(t, c.method, "http://"+s.Addr()+c.path)
		assert.Equal(t, status, c.status, c.path)
		assert.Equal(t, body, c.body, c.path)
	}
	s.Stop()
	s.Stop()
	assert.NilError(t, <-ran)
}

// TestFetch guards against losing or duplicating events at the boundary of two
// pages, and against treating an error as an empty list.
func TestFetch(t *testing.T) {
	const total = 2*admin.PageSize + 1
	s, _ := start(t, admin.Config{StopMillis: clock.Second, Events: func(since uint64, limit int) []model.Event {
		var out []model.Event
		for seq := since + 1; seq <= total && len(out) < limit; seq++ {
			out = append(out, model.Event{Seq: seq})
		}
		return out
	}})
	events, err := admin.FetchEvents(t.Context(), http.DefaultClient, s.Addr(), 2)
	assert.NilError(t, err)
	assert.Equal(t, len(events), total-2)
	for i, e := range events {
		assert.Equal(t, e.Seq, uint64(i+3))
	}
	_, page := get(t, "GET", "http://"+s.Addr()+"/events")
	assert.Equal(t, strings.Count(page, `"seq"`), admin.PageSize)
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "[]")
	}))
	defer refusing.Close()
	_, err = admin.FetchEvents(t.Context(), http.DefaultClient, refusing.Listener.Addr().String(), 0)
	assert.ErrorContains(t, err, "status 503")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = admin.FetchEvents(ctx, http.DefaultClient, s.Addr(), 0)
	assert.ErrorIs(t, err, context.Canceled)
}

// TestStop guards against a stop that aborts a request which ends within
// StopMillis, and against one that waits longer than that.
func TestStop(t *testing.T) {
	for name, bound := range map[string]clock.Millis{"within": clock.Minute, "beyond": 1} {
		t.Run(name, func(t *testing.T) {
			entered, leave := make(chan struct{}), make(chan struct{})
			s, ran := start(t, admin.Config{StopMillis: bound, NotReadyReason: func() string {
				close(entered)
				<-leave
				return ""
			}})
			answered := make(chan error, 1)
			go func() {
				resp, err := http.Get("http://" + s.Addr() + "/readyz")
				if err == nil {
					err = resp.Body.Close()
				}
				answered <- err
			}()
			<-entered
			s.Stop()
			if name == "within" {
				// Run must still be waiting for the request.
				select {
				case err := <-ran:
					t.Fatalf("Run ended before the request: %v", err)
				case <-time.After(50 * time.Millisecond):
				}
				close(leave)
				assert.NilError(t, <-answered)
				assert.NilError(t, <-ran)
				return
			}
			var e *admin.Error
			assert.Assert(t, errors.As(<-ran, &e) && e.Kind == admin.KindStop)
			close(leave)
			assert.Assert(t, <-answered != nil)
		})
	}
}
