package place

import (
	"math"

	"camphorridge/core/state/model"
)

// Class names what sizes are learnt for.
type Class struct {
	Team model.Customer
	Name string
}

// Sizer is the policy that says what to reserve for a task. Reports lag, so a
// task's first reports come after it has run for a while.
type Sizer interface {
	// Observe takes one report of a running task's use.
	Observe(c Class, used Size)
	// Estimate returns what to reserve for a task of the class.
	Estimate(c Class, declared Size) Size
}

// Declared is the baseline: it believes what submitters say.
type Declared struct{}

// Observe does nothing.
func (Declared) Observe(Class, Size) {}

// Estimate returns the declared size.
func (Declared) Estimate(_ Class, declared Size) Size { return declared }

// leastReports is the number of reports below which the declared size still
// counts: a single one may come from a task that has only started.
const leastReports = 3

// Deviation reserves the mean of past use and a number of standard deviations
// on top; old reports fade.
type Deviation struct {
	// Width is the number of standard deviations.
	Width float64
	seen  map[Class]*moments
}

type moments struct {
	n     int
	mean  [2]float64
	sq    [2]float64
	accel int
}

// NewDeviation returns a sizer that has seen nothing.
func NewDeviation(width float64) *Deviation {
	return &Deviation{Width: width, seen: map[Class]*moments{}}
}

// Observe folds one report in. The newest of many reports weighs a twentieth.
func (d *Deviation) Observe(c Class, used Size) {
	m := d.seen[c]
	if m == nil {
		m = &moments{}
		d.seen[c] = m
	}
	m.n++
	w := 1 / float64(min(m.n, 20))
	for k, v := range [2]float64{float64(used.MilliCores), float64(used.MemoryMiB)} {
		m.mean[k] += w * (v - m.mean[k])
		m.sq[k] += w * (v*v - m.sq[k])
	}
	m.accel = max(m.accel, used.Accelerators)
}

// Estimate returns mean and width, or the declared size for an unknown class.
func (d *Deviation) Estimate(c Class, declared Size) Size {
	m := d.seen[c]
	if m == nil || m.n < leastReports {
		return declared
	}
	at := func(k int) int {
		return int(math.Ceil(m.mean[k] + d.Width*math.Sqrt(max(0, m.sq[k]-m.mean[k]*m.mean[k]))))
	}
	return Size{MilliCores: at(0), MemoryMiB: at(1), Accelerators: max(declared.Accelerators, m.accel)}
}

// Quantile reserves a high quantile of the latest reports: it needs no
// assumption on their distribution and forgets what is older.
type Quantile struct {
	// Percent is the share of reports that the reserve covers, 1 to 100.
	Percent int
	seen    map[Class]*window
}

// reports is how many reports a class keeps.
const reports = 32

type window struct {
	used  [reports]Size
	n     int
	accel int
}

// NewQuantile returns a sizer that has seen nothing.
func NewQuantile(percent int) *Quantile {
	return &Quantile{Percent: percent, seen: map[Class]*window{}}
}

// Observe replaces the oldest report.
func (q *Quantile) Observe(c Class, used Size) {
	w := q.seen[c]
	if w == nil {
		w = &window{}
		q.seen[c] = w
	}
	w.used[w.n%reports] = used
	w.n++
	w.accel = max(w.accel, used.Accelerators)
}

// Estimate returns the quantile of each resource, or the declared size for an
// unknown class.
func (q *Quantile) Estimate(c Class, declared Size) Size {
	w := q.seen[c]
	if w == nil || w.n < leastReports {
		return declared
	}
	n := min(w.n, reports)
	over := n - (n*q.Percent+99)/100
	return Size{
		MilliCores:   nth(w.used[:n], over, func(s Size) int { return s.MilliCores }),
		MemoryMiB:    nth(w.used[:n], over, func(s Size) int { return s.MemoryMiB }),
		Accelerators: max(declared.Accelerators, w.accel),
	}
}

// nth is the value that exactly skip of the others exceed or equal.
func nth(used []Size, skip int, of func(Size) int) int {
	var sorted [reports]int
	for k, s := range used {
		at := k
		for ; at > 0 && sorted[at-1] < of(s); at-- {
			sorted[at] = sorted[at-1]
		}
		sorted[at] = of(s)
	}
	return sorted[skip]
}
