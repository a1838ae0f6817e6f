package maint

import (
	"fmt"
	"math"
)

// Tally sums up the health of a group of instances.
type Tally struct {
	Instances int64
	// Failed counts instances that are lost or stuck in maintenance.
	Failed   int64
	Calls    int64
	Failures int64
}

func (t *Tally) add(u Tally, sign int64) {
	t.Instances += sign * u.Instances
	t.Failed += sign * u.Failed
	t.Calls += sign * u.Calls
	t.Failures += sign * u.Failures
}

// StopPolicy is the policy that stops a wave when the instances it touched fail
// more than their untouched peers. The reason is empty while it goes on.
type StopPolicy interface {
	StopReason(touched, peers Tally) (reason string)
}

// NeverStop is the baseline: it stops nothing.
type NeverStop struct{}

// StopReason returns no reason.
func (NeverStop) StopReason(Tally, Tally) string { return "" }

// RatioTest stops when the touched fail Factor times as often as their peers.
type RatioTest struct {
	Factor float64
	// MinFailures is the number of failures below which nothing is concluded.
	MinFailures int64
}

// StopReason compares requests first and whole instances then.
func (j RatioTest) StopReason(t, p Tally) string {
	// One failure is added to the peers: few of them, and none with a failure,
	// are left at the end of a wave.
	if p.Calls > 0 && t.Failures >= j.MinFailures && rate(t.Failures, t.Calls) > j.Factor*rate(p.Failures+1, p.Calls) {
		return explain("requests", t.Failures, t.Calls, p.Failures, p.Calls)
	}
	if p.Instances > 0 && t.Failed >= 1 && rate(t.Failed, t.Instances) > j.Factor*rate(p.Failed+1, p.Instances) {
		return explain("instances", t.Failed, t.Instances, p.Failed, p.Instances)
	}
	return ""
}

// ZTest stops when the difference of the failure rates is larger than Z
// standard errors, so that few calls conclude little and many conclude more.
type ZTest struct {
	Z float64
	// MinFailures is the number of failed requests below which nothing is
	// concluded: one failure among the first eight requests of a canary is
	// many standard errors away from its peers and still chance.
	MinFailures int64
}

// StopReason compares requests first and whole instances then. A single failed
// instance among healthy peers is enough only when the wave touched few.
func (j ZTest) StopReason(t, p Tally) string {
	if t.Failures >= j.MinFailures && score(t.Failures, t.Calls, p.Failures, p.Calls) > j.Z {
		return explain("requests", t.Failures, t.Calls, p.Failures, p.Calls)
	}
	if score(t.Failed, t.Instances, p.Failed, p.Instances) > j.Z {
		return explain("instances", t.Failed, t.Instances, p.Failed, p.Instances)
	}
	return ""
}

// score is the two-proportion z statistic. Half a failure is added to both
// groups, so that peers without any failure do not make the first one count
// as infinitely unlikely.
func score(fa, na, fb, nb int64) float64 {
	if na == 0 || nb == 0 {
		return 0
	}
	a, b := (float64(fa)+0.5)/(float64(na)+1), (float64(fb)+0.5)/(float64(nb)+1)
	pool := (float64(fa+fb) + 1) / (float64(na+nb) + 2)
	return (a - b) / math.Sqrt(pool*(1-pool)*(1/float64(na+1)+1/float64(nb+1)))
}

func rate(n, of int64) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

func explain(what string, fa, na, fb, nb int64) string {
	return fmt.Sprintf("%d of %d %s failed on touched instances, %d of %d on their peers", fa, na, what, fb, nb)
}
