package place

import (
	"fmt"
	"math"
)

// Evidence is what is known of a run that ended, for the judgement of its
// worker.
type Evidence struct {
	Failed bool
	// Tasks of the same class failed last on FailedPeers of Peers other workers.
	FailedPeers int
	Peers       int
}

// HealthPolicy is the policy that says how much a run counts against its worker. A
// worker whose sum reaches the limit is set aside; the sum never falls
// below 0.
type HealthPolicy interface {
	Score(Evidence) float64
	Threshold() float64
}

// NoQuarantine is the baseline: it sets no worker aside.
type NoQuarantine struct{}

// Score returns 0.
func (NoQuarantine) Score(Evidence) float64 { return 0 }

// Threshold is never reached.
func (NoQuarantine) Threshold() float64 { return math.Inf(1) }

// ConsecutiveFailures sets a worker aside after N failures in a row, whatever they ran.
type ConsecutiveFailures struct {
	N int
}

// Score counts failures; a success takes all of them back.
func (j ConsecutiveFailures) Score(e Evidence) float64 {
	if e.Failed {
		return 1
	}
	return math.Inf(-1)
}

// Threshold is N.
func (j ConsecutiveFailures) Threshold() float64 { return float64(j.N) }

// PeerComparison compares each failure with how the class fares on other workers: the
// weight is the log of how much likelier a broken worker explains it. A class
// that fails everywhere weighs nothing.
type PeerComparison struct {
	// MinScore is the sum at which a worker is set aside.
	MinScore float64
}

// brokenRate is the share of runs that a broken worker is taken to fail.
const brokenRate = 0.95

// Score returns the log of the likelihood ratio. The class's failure rate
// starts at one in ten while nothing is known of it.
func (j PeerComparison) Score(e Evidence) float64 {
	rate := min((float64(e.FailedPeers)+0.5)/(float64(e.Peers)+5), brokenRate)
	if e.Failed {
		return math.Log(brokenRate / rate)
	}
	return math.Log((1 - brokenRate) / max(1-rate, 1-brokenRate))
}

// Threshold is Least.
func (j PeerComparison) Threshold() float64 { return j.MinScore }

// ClassHistory is how a class of tasks fared on its latest workers.
type ClassHistory struct {
	last  map[WorkerID]bool
	order []WorkerID
	fails int
}

// keptWorkers bounds the workers that a class is remembered on.
const keptWorkers = 64

// NewClassHistory returns a record of no runs.
func NewClassHistory() *ClassHistory { return &ClassHistory{last: map[WorkerID]bool{}} }

// Add adds the end of a run on w.
func (r *ClassHistory) Add(w WorkerID, failed bool) {
	if was, ok := r.last[w]; ok {
		if was {
			r.fails--
		}
	} else {
		r.order = append(r.order, w)
	}
	r.last[w] = failed
	if failed {
		r.fails++
	}
	if len(r.order) > keptWorkers {
		old := r.order[0]
		r.order = r.order[1:]
		if r.last[old] {
			r.fails--
		}
		delete(r.last, old)
	}
}

// Evidence describes a run on w next to the class's runs on other workers.
func (r *ClassHistory) Evidence(w WorkerID, failed bool) Evidence {
	e := Evidence{Failed: failed, FailedPeers: r.fails, Peers: len(r.last)}
	if was, ok := r.last[w]; ok {
		e.Peers--
		if was {
			e.FailedPeers--
		}
	}
	return e
}

func (w *worker) reason(limit float64) string {
	return fmt.Sprintf("%d runs failed in a row that its peers run; weight %.1f of %.1f", w.streak, w.weight, limit)
}
