package maint

import (
	"fmt"
	"math"
)

// Tally sums up the health of a group of instances. Calls is the number of
// requests that they ran and Failures the number of those that failed.
type Tally struct {
	Instances int64
	// FailedInstances is the number of instances that are lost or stuck in maintenance.
	FailedInstances int64
	Calls           int64
	Failures        int64
}

func (t *Tally) add(u Tally, sign int64) {
	t.Instances += sign * u.Instances
	t.FailedInstances += sign * u.FailedInstances
	t.Calls += sign * u.Calls
	t.Failures += sign * u.Failures
}

// StopPolicy decides whether to stop a wave because the instances that it
// touched fail more often than their peers. A wave has touched the instances that
// it maintained and those that are stuck in its maintenance. StopReason returns an
// empty reason if the wave may continue.
type StopPolicy interface {
	StopReason(touched, peers Tally) (reason string)
}

// NeverStop is the baseline policy: it never stops a wave.
type NeverStop struct{}

// StopReason returns an empty reason.
func (NeverStop) StopReason(Tally, Tally) string { return "" }

// RatioTest stops a wave when the failure rate of the touched instances exceeds
// Factor times that of their peers.
type RatioTest struct {
	Factor float64
	// MinFailures is the number of failed requests on touched instances below which
	// requests are not compared.
	MinFailures int64
}

// StopReason compares the failure rates of requests first, then those of whole
// instances.
func (r RatioTest) StopReason(touched, peers Tally) string {
	// One failure is added to the peers, because at the end of a wave few peers
	// are left and they may have no failure at all.
	if peers.Calls > 0 && touched.Failures >= r.MinFailures && failureRate(touched.Failures, touched.Calls) > r.Factor*failureRate(peers.Failures+1, peers.Calls) {
		return comparison("requests", touched.Failures, touched.Calls, peers.Failures, peers.Calls)
	}
	if peers.Instances > 0 && touched.FailedInstances >= 1 && failureRate(touched.FailedInstances, touched.Instances) > r.Factor*failureRate(peers.FailedInstances+1, peers.Instances) {
		return comparison("instances", touched.FailedInstances, touched.Instances, peers.FailedInstances, peers.Instances)
	}
	return ""
}

// ZTest stops a wave when the failure rate of the touched instances exceeds that
// of their peers by more than Z standard errors. The more calls there are, the
// smaller the difference that stops the wave.
type ZTest struct {
	Z float64
	// MinFailures is the number of failed requests on touched instances below which
	// requests are not compared. A single failure among the first eight requests of
	// a canary is many standard errors away from its peers but may be due to chance.
	MinFailures int64
}

// StopReason compares the failure rates of requests first, then those of whole
// instances. If all peers are healthy, a single failed instance stops the wave
// only while the wave has touched few instances.
func (z ZTest) StopReason(touched, peers Tally) string {
	if touched.Failures >= z.MinFailures && zScore(touched.Failures, touched.Calls, peers.Failures, peers.Calls) > z.Z {
		return comparison("requests", touched.Failures, touched.Calls, peers.Failures, peers.Calls)
	}
	if zScore(touched.FailedInstances, touched.Instances, peers.FailedInstances, peers.Instances) > z.Z {
		return comparison("instances", touched.FailedInstances, touched.Instances, peers.FailedInstances, peers.Instances)
	}
	return ""
}

// zScore returns the two-proportion z statistic for fa failures of na and fb
// failures of nb; 0 if either group is empty. Half a failure is added to each
// group: otherwise, with no failure among the peers, the first failure of the
// touched group would count as infinitely unlikely.
func zScore(fa, na, fb, nb int64) float64 {
	if na == 0 || nb == 0 {
		return 0
	}
	a, b := (float64(fa)+0.5)/(float64(na)+1), (float64(fb)+0.5)/(float64(nb)+1)
	pooled := (float64(fa+fb) + 1) / (float64(na+nb) + 2)
	return (a - b) / math.Sqrt(pooled*(1-pooled)*(1/float64(na+1)+1/float64(nb+1)))
}

func failureRate(n, of int64) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

func comparison(what string, fa, na, fb, nb int64) string {
	return fmt.Sprintf("%d of %d %s failed on touched instances, %d of %d on their peers", fa, na, what, fb, nb)
}
