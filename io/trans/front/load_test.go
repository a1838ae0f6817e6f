package front

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"camphorridge/core/state/model"
)

const (
	// serviceTime is the time that an upstream takes for a request.
	serviceTime      = 20 * time.Millisecond
	slotsPerUpstream = 8
	upstreamCount    = 4
	// capacityPerSecond is the number of requests per second that all slots
	// together can run.
	capacityPerSecond = float64(upstreamCount*slotsPerUpstream) / 0.020
)

// loadUpstreams counts, over all upstreams of a benchmark, the requests that
// arrived and those that arrived while all slots of their upstream were busy.
type loadUpstreams struct {
	arrived, overSlots atomic.Int64
}

func (l *loadUpstreams) start(b testing.TB) []string {
	var out []string
	for range upstreamCount {
		var busy atomic.Int64
		out = append(out, upstream(b, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/health" {
				return
			}
			l.arrived.Add(1)
			if busy.Add(1) > slotsPerUpstream {
				l.overSlots.Add(1)
			}
			time.Sleep(serviceTime)
			busy.Add(-1)
			w.WriteHeader(http.StatusOK)
		}))
	}
	return out
}

// customerResult holds the outcomes of one customer's requests in a run.
type customerResult struct {
	sent, ran, notRun, other int
	// inTime counts those of the ran requests whose responses arrived before
	// the end of the run.
	inTime int
	// refusals holds the latencies of refusals, in ascending order.
	refusals []time.Duration
}

// offerLoad sends requests at the given rate per second for the duration d, with
// the given timeout in milliseconds. Each connection sends four requests per
// second, so the rate is sustained only if requests take at most 250 ms.
func offerLoad(b testing.TB, te *testEntry, customer string, rate float64, timeout string, d time.Duration) *customerResult {
	n := int(rate/4) + 1
	var mu sync.Mutex
	r := &customerResult{}
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for k := range n {
		c := dialCaller(b, te.url[len("http://"):], HeaderCustomer+": "+customer+"\r\n"+HeaderTimeout+": "+timeout+"\r\n")
		wg.Go(func() {
			interval := time.Duration(float64(n) / rate * 1e9)
			time.Sleep(interval * time.Duration(k) / time.Duration(n))
			tick := time.NewTicker(interval)
			defer tick.Stop()
			own := customerResult{}
			for time.Now().Before(end) {
				started := time.Now()
				outcome, err := c.call()
				own.sent++
				switch {
				case err != nil:
					b.Error(err)
					return
				case outcome == OutcomeRan:
					own.ran++
					if time.Now().Before(end) {
						own.inTime++
					}
				case outcome == OutcomeNotRun:
					own.notRun++
					own.refusals = append(own.refusals, time.Since(started))
				default:
					own.other++
				}
				<-tick.C
			}
			mu.Lock()
			defer mu.Unlock()
			r.sent += own.sent
			r.ran += own.ran
			r.inTime += own.inTime
			r.notRun += own.notRun
			r.other += own.other
			r.refusals = append(r.refusals, own.refusals...)
		})
	}
	wg.Wait()
	slices.Sort(r.refusals)
	return r
}

func quantile(v []time.Duration, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	return float64(v[int(q*float64(len(v)-1))].Microseconds()) / 1000
}

// BenchmarkGoodput offers 1, 2 and 5 times the capacity for 3 s each, with a
// timeout of 200 ms, and measures the goodput.
func BenchmarkGoodput(b *testing.B) {
	for _, load := range []struct {
		name string
		by   float64
	}{{"1x", 1}, {"2x", 2}, {"5x", 5}} {
		b.Run(load.name, func(b *testing.B) {
			l := &loadUpstreams{}
			te := newTestEntry(b, slotsPerUpstream, []model.Contract{contract("acme", 1000, 400, 10)}, l.start(b)...)
			offerLoad(b, te, "acme", capacityPerSecond, "200", time.Second)
			b.ResetTimer()
			for range b.N {
				l.arrived.Store(0)
				r := offerLoad(b, te, "acme", capacityPerSecond*load.by, "200", 3*time.Second)
				b.ReportMetric(float64(r.inTime)/(capacityPerSecond*3), "goodput/capacity")
				b.ReportMetric(float64(r.sent)/(capacityPerSecond*3), "offered/capacity")
				b.ReportMetric(float64(r.other), "unknown")
				// The requests that arrived at an upstream although their outcome
				// is not-run.
				b.ReportMetric(float64(l.arrived.Load()-int64(r.ran+r.other)), "untrue")
				b.ReportMetric(float64(te.dispatcher.Status().Counts.Ejections), "ejections")
				b.ReportMetric(float64(l.overSlots.Load()), "over-slots")
				b.ReportMetric(quantile(r.refusals, 0.5), "refusal-p50-ms")
				b.ReportMetric(quantile(r.refusals, 0.99), "refusal-p99-ms")
			}
		})
	}
}

// BenchmarkFlood measures the share of one customer's requests that run while
// another customer with an equal contract floods the pool. The first offers 0.45
// of the capacity, the second 5 times the capacity.
func BenchmarkFlood(b *testing.B) {
	l := &loadUpstreams{}
	contracts := []model.Contract{contract("calm", 100, 400, 10), contract("flood", 100, 400, 10)}
	te := newTestEntry(b, slotsPerUpstream, contracts, l.start(b)...)
	offerLoad(b, te, "calm", capacityPerSecond/2, "200", time.Second)
	b.ResetTimer()
	for range b.N {
		var calm, flood *customerResult
		var wg sync.WaitGroup
		wg.Go(func() { calm = offerLoad(b, te, "calm", capacityPerSecond*0.45, "200", 3*time.Second) })
		wg.Go(func() { flood = offerLoad(b, te, "flood", capacityPerSecond*5, "200", 3*time.Second) })
		wg.Wait()
		b.ReportMetric(float64(calm.ran)/float64(calm.sent), "calm-ran")
		b.ReportMetric(float64(calm.inTime+flood.inTime)/(capacityPerSecond*3), "goodput/capacity")
		b.ReportMetric(float64(flood.ran)/float64(flood.sent), "flood-ran")
	}
}
