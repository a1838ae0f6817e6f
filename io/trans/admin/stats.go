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

// RegisterCounter registers a counter that a duty keeps by itself; f must be usable
// from any goroutine.
func RegisterCounter(r metrics.Registry, name string, f func() int64) error {
	return register(r, name, countFunc(f))
}

// RegisterGauge registers a gauge that a duty keeps by itself; f must be usable from
// any goroutine.
func RegisterGauge(r metrics.Registry, name string, f func() int64) error {
	return register(r, name, metrics.NewFunctionalGauge(f))
}

// RegisterHistogram registers a new histogram.
func RegisterHistogram(r metrics.Registry, name string) (metrics.Histogram, error) {
	h := NewHistogram()
	return h, register(r, name, h)
}

func register(r metrics.Registry, name string, metric any) error {
	if err := r.Register(name, metric); err != nil {
		return &Error{Op: "register metric", Kind: KindRegister, Err: fmt.Errorf("%s: %w", name, err)}
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
