package place

import (
	"math"

	"camphorridge/core/state/model"
)

// Class identifies a class of a customer's tasks. Sizes and results are learned
// per class.
type Class struct {
	Customer model.Customer
	Name     string
}

// Sizer is the policy that determines how much to reserve for a task. The first
// reports on a task arrive only after it has run for a while.
type Sizer interface {
	// Observe records one report of a running task's use.
	Observe(c Class, used Size)
	// Estimate returns how much to reserve for a task of the class.
	Estimate(c Class, declared Size) Size
}

// Declared is the baseline: it reserves what submitters declare.
type Declared struct{}

// Observe does nothing.
func (Declared) Observe(Class, Size) {}

// Estimate returns the declared size.
func (Declared) Estimate(_ Class, declared Size) Size { return declared }

// minReports is the number of reports from which the size of a class is estimated
// instead of declared: a single report may come from a task that has only just
// started.
const minReports = 3

// Deviation reserves the mean of past use plus a number of standard deviations.
// The weight of a report decreases as newer ones arrive.
type Deviation struct {
	// StdDevs is the number of standard deviations that are added to the mean.
	StdDevs float64
	seen    map[Class]*moments
}

// moments are the running averages of a class's use. The first element of each
// array is for milli-cores, the second for MiB of memory.
type moments struct {
	reports         int
	mean            [2]float64
	meanSquare      [2]float64
	maxAccelerators int
}

// NewDeviation returns a sizer without observations.
func NewDeviation(stdDevs float64) *Deviation {
	return &Deviation{StdDevs: stdDevs, seen: map[Class]*moments{}}
}

// Observe updates the averages of the class and the most accelerators that it has
// used. From the twentieth report on, each new one has a weight of 1/20 in the
// averages.
func (d *Deviation) Observe(c Class, used Size) {
	m := d.seen[c]
	if m == nil {
		m = &moments{}
		d.seen[c] = m
	}
	m.reports++
	weight := 1 / float64(min(m.reports, 20))
	for k, v := range [2]float64{float64(used.MilliCores), float64(used.MemoryMiB)} {
		m.mean[k] += weight * (v - m.mean[k])
		m.meanSquare[k] += weight * (v*v - m.meanSquare[k])
	}
	m.maxAccelerators = max(m.maxAccelerators, used.Accelerators)
}

// Estimate returns the mean plus StdDevs standard deviations of processors and
// memory, and the most accelerators ever reported or, if more, the declared ones.
// If the class has too few reports it returns the declared size.
func (d *Deviation) Estimate(c Class, declared Size) Size {
	m := d.seen[c]
	if m == nil || m.reports < minReports {
		return declared
	}
	estimate := func(k int) int {
		return int(math.Ceil(m.mean[k] + d.StdDevs*math.Sqrt(max(0, m.meanSquare[k]-m.mean[k]*m.mean[k]))))
	}
	return Size{MilliCores: estimate(0), MemoryMiB: estimate(1), Accelerators: max(declared.Accelerators, m.maxAccelerators)}
}

// Quantile reserves a high quantile of the processors and memory in the latest
// windowReports reports. It assumes nothing about their distribution and forgets
// older ones. The largest number of accelerators is never
// forgotten.
type Quantile struct {
	// Percent is the share of reports that the reserved size covers, 1 to 100.
	Percent int
	seen    map[Class]*window
}

// windowReports is the number of reports that are kept for each class.
const windowReports = 32

// window is a ring of the latest reports of a class. observed counts all
// reports.
type window struct {
	used            [windowReports]Size
	observed        int
	maxAccelerators int
}

// NewQuantile returns a sizer without observations.
func NewQuantile(percent int) *Quantile {
	return &Quantile{Percent: percent, seen: map[Class]*window{}}
}

// Observe adds a report, which replaces the oldest one of the class once there are
// windowReports.
func (q *Quantile) Observe(c Class, used Size) {
	w := q.seen[c]
	if w == nil {
		w = &window{}
		q.seen[c] = w
	}
	w.used[w.observed%windowReports] = used
	w.observed++
	w.maxAccelerators = max(w.maxAccelerators, used.Accelerators)
}

// Estimate returns the quantiles of processors and memory, and the most
// accelerators ever reported or, if more, the declared ones. If the class has too
// few reports it returns the declared size.
func (q *Quantile) Estimate(c Class, declared Size) Size {
	w := q.seen[c]
	if w == nil || w.observed < minReports {
		return declared
	}
	n := min(w.observed, windowReports)
	above := n - (n*q.Percent+99)/100
	return Size{
		MilliCores:   largestWithoutTop(w.used[:n], above, func(s Size) int { return s.MilliCores }),
		MemoryMiB:    largestWithoutTop(w.used[:n], above, func(s Size) int { return s.MemoryMiB }),
		Accelerators: max(declared.Accelerators, w.maxAccelerators),
	}
}

// largestWithoutTop returns the largest value that remains when the n largest ones
// are left out.
func largestWithoutTop(used []Size, n int, value func(Size) int) int {
	var sorted [windowReports]int
	for k, s := range used {
		pos := k
		for ; pos > 0 && sorted[pos-1] < value(s); pos-- {
			sorted[pos] = sorted[pos-1]
		}
		sorted[pos] = value(s)
	}
	return sorted[n]
}
