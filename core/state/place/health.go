package place

import (
	"fmt"
	"math"
)

// Evidence is what is known about a run that ended when it is scored.
type Evidence struct {
	// Failed says that the run failed.
	Failed bool
	// Peers is the number of other workers that recently ran a task of the same
	// class, and FailedPeers the number of those whose latest such run failed.
	FailedPeers int
	Peers       int
}

// HealthPolicy scores the runs of each worker. A worker is quarantined when the
// sum of the scores of its runs reaches Threshold; the sum never falls below 0.
type HealthPolicy interface {
	// Score returns the score of a run: the higher it is, the more likely the
	// worker is broken.
	Score(Evidence) float64
	// Threshold returns the sum at which a worker is quarantined.
	Threshold() float64
}

// NoQuarantine is the baseline: it quarantines no worker.
type NoQuarantine struct{}

// Score returns 0.
func (NoQuarantine) Score(Evidence) float64 { return 0 }

// Threshold returns infinity, so that no worker reaches it.
func (NoQuarantine) Threshold() float64 { return math.Inf(1) }

// ConsecutiveFailures quarantines a worker after N failed runs in a row,
// whatever it ran.
type ConsecutiveFailures struct {
	N int
}

// Score returns 1 for a failure; a success resets the sum.
func (c ConsecutiveFailures) Score(e Evidence) float64 {
	if e.Failed {
		return 1
	}
	return math.Inf(-1)
}

// Threshold returns N.
func (c ConsecutiveFailures) Threshold() float64 { return float64(c.N) }

// PeerComparison compares each result with the results of the same class on
// other workers. The score is the logarithm of a likelihood ratio: how probable
// the result is on a broken worker, divided by how probable it is on a good one.
// A failure of a class that fails on most workers therefore scores little.
type PeerComparison struct {
	// MinScore is the sum at which a worker is quarantined.
	MinScore float64
}

// brokenFailureRate is the share of its runs that a broken worker is assumed to
// fail.
const brokenFailureRate = 0.95

// Score returns the log-likelihood ratio. The failure rate of a class is
// assumed to be one in ten until other workers have run it.
func (c PeerComparison) Score(e Evidence) float64 {
	rate := min((float64(e.FailedPeers)+0.5)/(float64(e.Peers)+5), brokenFailureRate)
	if e.Failed {
		return math.Log(brokenFailureRate / rate)
	}
	return math.Log((1 - brokenFailureRate) / max(1-rate, 1-brokenFailureRate))
}

// Threshold returns MinScore.
func (c PeerComparison) Threshold() float64 { return c.MinScore }

// ClassHistory records the latest result of a class of tasks on each of at most
// maxClassWorkers workers. When there are more, the worker that has been in the
// history longest is dropped.
type ClassHistory struct {
	// failedLast holds for each worker whether its latest run of the class
	// failed, and failures is the number of workers where it did. order lists
	// the workers in the order in which they were added.
	failedLast map[WorkerID]bool
	order      []WorkerID
	failures   int
}

// maxClassWorkers is the largest number of workers in a ClassHistory.
const maxClassWorkers = 64

// NewClassHistory returns a history without runs.
func NewClassHistory() *ClassHistory { return &ClassHistory{failedLast: map[WorkerID]bool{}} }

// Add records the result of a run on w.
func (h *ClassHistory) Add(w WorkerID, failed bool) {
	if failedBefore, ok := h.failedLast[w]; ok {
		if failedBefore {
			h.failures--
		}
	} else {
		h.order = append(h.order, w)
	}
	h.failedLast[w] = failed
	if failed {
		h.failures++
	}
	if len(h.order) > maxClassWorkers {
		oldest := h.order[0]
		h.order = h.order[1:]
		if h.failedLast[oldest] {
			h.failures--
		}
		delete(h.failedLast, oldest)
	}
}

// Evidence returns the evidence for a run on w: its result and the recorded
// results of the class on other workers.
func (h *ClassHistory) Evidence(w WorkerID, failed bool) Evidence {
	e := Evidence{Failed: failed, FailedPeers: h.failures, Peers: len(h.failedLast)}
	if failedBefore, ok := h.failedLast[w]; ok {
		e.Peers--
		if failedBefore {
			e.FailedPeers--
		}
	}
	return e
}

// quarantineReason returns the reason that is reported for the quarantine of a
// worker.
func (w *worker) quarantineReason(threshold float64) string {
	return fmt.Sprintf("%d runs in a row failed; score %.1f, threshold %.1f", w.failuresInRow, w.score, threshold)
}
