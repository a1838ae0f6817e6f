package place

import (
	"fmt"
	"math"
)

// Evidence describes a run that ended, for scoring the health of its worker.
type Evidence struct {
	Failed bool
	// FailedPeers is the number of other workers, out of Peers, whose latest
	// run of the same class failed.
	FailedPeers int
	Peers       int
}

// HealthPolicy scores runs against their workers. A worker is quarantined when
// the sum of its scores reaches Threshold; the sum never falls below 0.
type HealthPolicy interface {
	Score(Evidence) float64
	Threshold() float64
}

// NoQuarantine is the baseline: it quarantines no worker.
type NoQuarantine struct{}

// Score returns 0.
func (NoQuarantine) Score(Evidence) float64 { return 0 }

// Threshold returns infinity, which no sum reaches.
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

// PeerComparison compares each failure with the results of the same class on
// other workers. The score is the logarithm of how much more likely a broken
// worker explains the result, so a class that fails everywhere scores nothing.
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

// ClassHistory records the latest result of a class of tasks on each of its
// most recent workers.
type ClassHistory struct {
	// failedLast holds for each worker whether its latest run of the class
	// failed, and failures the number of workers where it did. order lists the
	// workers by their first run, oldest first.
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
	if was, ok := h.failedLast[w]; ok {
		if was {
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
		old := h.order[0]
		h.order = h.order[1:]
		if h.failedLast[old] {
			h.failures--
		}
		delete(h.failedLast, old)
	}
}

// Evidence describes a run on w together with the results of the class on other
// workers.
func (h *ClassHistory) Evidence(w WorkerID, failed bool) Evidence {
	e := Evidence{Failed: failed, FailedPeers: h.failures, Peers: len(h.failedLast)}
	if was, ok := h.failedLast[w]; ok {
		e.Peers--
		if was {
			e.FailedPeers--
		}
	}
	return e
}

// quarantineReason describes why the worker is quarantined.
func (w *worker) quarantineReason(threshold float64) string {
	return fmt.Sprintf("%d runs in a row failed that other workers complete; score %.1f, threshold %.1f", w.failuresInRow, w.score, threshold)
}
