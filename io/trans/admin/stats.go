package admin

import (
	"fmt"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// The reservoir of a histogram: 1028 values give the quantiles with an error
// of 5 % at a confidence of 99.9 %, and the decay favours the last 5 minutes.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// Entry holds the metrics of an entry process. Durations are in milliseconds.
type Entry struct {
	Requests      metrics.Counter
	Ran           metrics.Counter
	NotRun        metrics.Counter
	Unknown       metrics.Counter
	Duplicates    metrics.Counter
	Retries       metrics.Counter
	Cancelled     metrics.Counter
	Announcements metrics.Counter
	InFlight      metrics.Gauge
	TableVersion  metrics.Gauge
	// Wait is the time from the whole header to the choice of an upstream.
	Wait metrics.Histogram
	// Elapsed is the time from the choice of an upstream to the last byte.
	Elapsed metrics.Histogram
}

// NewEntry registers the metrics of an entry process.
func NewEntry(r metrics.Registry) (*Entry, error) {
	e := &Entry{
		Requests: metrics.NewCounter(), Ran: metrics.NewCounter(), NotRun: metrics.NewCounter(),
		Unknown: metrics.NewCounter(), Duplicates: metrics.NewCounter(), Retries: metrics.NewCounter(),
		Cancelled: metrics.NewCounter(), Announcements: metrics.NewCounter(),
		InFlight: metrics.NewGauge(), TableVersion: metrics.NewGauge(),
		Wait: NewHistogram(), Elapsed: NewHistogram(),
	}
	return e, register(r, []named{
		{"requests", e.Requests},
		{"requests-ran", e.Ran},
		{"requests-not-run", e.NotRun},
		{"requests-unknown", e.Unknown},
		{"requests-duplicate", e.Duplicates},
		{"requests-retried", e.Retries},
		{"requests-cancelled", e.Cancelled},
		{"announcements", e.Announcements},
		{"requests-in-flight", e.InFlight},
		{"table-version", e.TableVersion},
		{"request-wait-ms", e.Wait},
		{"request-elapsed-ms", e.Elapsed},
	})
}

// Control holds the metrics of a control process. Durations are in
// milliseconds.
type Control struct {
	Proposals    metrics.Counter
	Conflicts    metrics.Counter
	Elections    metrics.Counter
	Snapshots    metrics.Counter
	Moves        metrics.Counter
	Term         metrics.Gauge
	Commit       metrics.Gauge
	TableVersion metrics.Gauge
	// Leader is 1 in the leader and 0 elsewhere.
	Leader metrics.Gauge
	// Committed is the time from a proposal to its result.
	Committed metrics.Histogram
	// Synced is the time of one fsync.
	Synced metrics.Histogram
}

// NewControl registers the metrics of a control process.
func NewControl(r metrics.Registry) (*Control, error) {
	c := &Control{
		Proposals: metrics.NewCounter(), Conflicts: metrics.NewCounter(), Elections: metrics.NewCounter(),
		Snapshots: metrics.NewCounter(), Moves: metrics.NewCounter(),
		Term: metrics.NewGauge(), Commit: metrics.NewGauge(), TableVersion: metrics.NewGauge(), Leader: metrics.NewGauge(),
		Committed: NewHistogram(), Synced: NewHistogram(),
	}
	return c, register(r, []named{
		{"proposals", c.Proposals},
		{"conflicts", c.Conflicts},
		{"elections", c.Elections},
		{"snapshots", c.Snapshots},
		{"moves", c.Moves},
		{"term", c.Term},
		{"commit-index", c.Commit},
		{"table-version", c.TableVersion},
		{"leader", c.Leader},
		{"proposal-committed-ms", c.Committed},
		{"log-synced-ms", c.Synced},
	})
}

// Count registers a counter that a duty keeps by itself; f must be usable
// from any goroutine.
func Count(r metrics.Registry, name string, f func() int64) error {
	return register(r, []named{{name, countFunc(f)}})
}

// Value registers a gauge that a duty keeps by itself; f must be usable from
// any goroutine.
func Value(r metrics.Registry, name string, f func() int64) error {
	return register(r, []named{{name, metrics.NewFunctionalGauge(f)}})
}

type named struct {
	name   string
	metric any
}

func register(r metrics.Registry, list []named) error {
	for _, n := range list {
		if err := r.Register(n.name, n.metric); err != nil {
			return &Error{Op: "register metric", Kind: KindRegister, Err: fmt.Errorf("%s: %w", n.name, err)}
		}
	}
	return nil
}

// countFunc is a counter that reads its value elsewhere.
type countFunc func() int64

func (f countFunc) Count() int64 { return f() }

// Clear panics: the value belongs to a duty.
func (f countFunc) Clear() { panic("Clear called on a counter that a duty keeps") }

// Dec panics: the value belongs to a duty.
func (f countFunc) Dec(int64) { panic("Dec called on a counter that a duty keeps") }

// Inc panics: the value belongs to a duty.
func (f countFunc) Inc(int64) { panic("Inc called on a counter that a duty keeps") }

func (f countFunc) Snapshot() metrics.Counter {
	n := f()
	return countFunc(func() int64 { return n })
}

// NewHistogram returns a histogram whose total is exact; that of the library
// covers the sampled values only, so it would go back between two scrapes.
func NewHistogram() metrics.Histogram {
	return metrics.NewHistogram(&totalSample{Sample: metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)})
}

// totalSample adds the sum of all values to a sample.
type totalSample struct {
	metrics.Sample
	total atomic.Int64
}

func (s *totalSample) Update(v int64) {
	s.total.Add(v)
	s.Sample.Update(v)
}

// Total is the sum of all values since the start.
func (s *totalSample) Total() int64 { return s.total.Load() }
