package admin

import (
	"fmt"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// The parameters of the exponentially decaying reservoir of a histogram. 1028 values
// give the quantiles with an error of 5 % at a confidence of 99.9 %, and the decay
// factor gives most weight to the last 5 minutes.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// RegisterCounter registers a counter whose value f returns. f must be safe to call
// from any goroutine. The error is of KindRegister.
func RegisterCounter(r metrics.Registry, name string, f func() int64) error {
	return register(r, name, countFunc(f))
}

// RegisterGauge registers a gauge whose value f returns. f must be safe to call from
// any goroutine. The error is of KindRegister.
func RegisterGauge(r metrics.Registry, name string, f func() int64) error {
	return register(r, name, metrics.NewFunctionalGauge(f))
}

// LabelledValue is one value of a gauge vector.
type LabelledValue struct {
	Label string
	Value int64
}

// RegisterGaugeVector registers a gauge with one value for each value of a label. values
// returns them with different labels, and must be safe to call from any goroutine. The
// error is of KindRegister.
func RegisterGaugeVector(r metrics.Registry, name, label string, values func() []LabelledValue) error {
	return register(r, name, gaugeVector{label: label, values: values})
}

// RegisterHistogram registers and returns a new histogram. The error is of
// KindRegister.
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

// countFunc is a counter whose value the function returns.
type countFunc func() int64

func (f countFunc) Count() int64 { return f() }

// Clear panics, because the counter is read-only.
func (f countFunc) Clear() { panic("Clear called on a read-only counter") }

// Dec panics, because the counter is read-only.
func (f countFunc) Dec(int64) { panic("Dec called on a read-only counter") }

// Inc panics, because the counter is read-only.
func (f countFunc) Inc(int64) { panic("Inc called on a read-only counter") }

func (f countFunc) Snapshot() metrics.Counter {
	n := f()
	return countFunc(func() int64 { return n })
}

// NewHistogram returns a histogram whose sum covers all values. The sum of the
// library's histograms covers only the sampled values, so it could decrease between
// two scrapes.
func NewHistogram() metrics.Histogram {
	return metrics.NewHistogram(&totalSample{Sample: metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)})
}

// totalSample is a sample that also keeps the sum of all values.
type totalSample struct {
	metrics.Sample
	total atomic.Int64
}

func (s *totalSample) Update(v int64) {
	s.total.Add(v)
	s.Sample.Update(v)
}

// Total returns the sum of all values since the histogram was created.
func (s *totalSample) Total() int64 { return s.total.Load() }

// gaugeVector is a gauge with one value for each value of a label. It is a metrics.Gauge
// because a registry drops metrics of other types.
type gaugeVector struct {
	label  string
	values func() []LabelledValue
}

// Value returns the sum of all values.
func (v gaugeVector) Value() int64 {
	sum := int64(0)
	for _, s := range v.values() {
		sum += s.Value
	}
	return sum
}

// Update panics, because the gauge is read-only.
func (v gaugeVector) Update(int64) { panic("Update called on a read-only gauge") }

func (v gaugeVector) Snapshot() metrics.Gauge {
	all := v.values()
	return gaugeVector{label: v.label, values: func() []LabelledValue { return all }}
}
