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
	// service is the run time of a request on the upstreams of the load
	// benchmarks, which have loadSlots slots each.
	serviceTime      = 20 * time.Millisecond
	slotsPerUpstream = 8
	upstreamCount    = 4
	// capacity is what the slots can run in a second.
	capacityPerSecond = float64(upstreamCount*slotsPerUpstream) / 0.020
)

// load is the upstreams and the sum of what they saw.
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

// result is what one customer got in a run.
type customerResult struct {
	sent, ran, notRun, other int
	// intime is the part of ran that was answered within the run.
	inTime int
	// refusals are the times to a refusal, in ascending order.
	refusals []time.Duration
}

// offer sends requests at a rate for a time, from as many connections as
// needed to keep it up when each request takes up to the timeout.
func offerLoad(b testing.TB, g *testEntry, customer string, rate float64, timeout string, d time.Duration) *customerResult {
	n := int(rate/4) + 1
	var mu sync.Mutex
	r := &customerResult{}
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for k := range n {
		c := dialCaller(b, g.url[len("http://"):], HeaderCustomer+": "+customer+"\r\n"+HeaderTimeout+": "+timeout+"\r\n")
		wg.Go(func() {
			interval := time.Duration(float64(n) / rate * 1e9)
			time.Sleep(interval * time.Duration(k) / time.Duration(n))
			tick := time.NewTicker(interval)
			defer tick.Stop()
			mine := customerResult{}
			for time.Now().Before(end) {
				started := time.Now()
				outcome, err := c.call()
				mine.sent++
				switch {
				case err != nil:
					b.Error(err)
					return
				case outcome == OutcomeRan:
					mine.ran++
					if time.Now().Before(end) {
						mine.inTime++
					}
				case outcome == OutcomeNotRun:
					mine.notRun++
					mine.refusals = append(mine.refusals, time.Since(started))
				default:
					mine.other++
				}
				<-tick.C
			}
			mu.Lock()
			defer mu.Unlock()
			r.sent += mine.sent
			r.ran += mine.ran
			r.inTime += mine.inTime
			r.notRun += mine.notRun
			r.other += mine.other
			r.refusals = append(r.refusals, mine.refusals...)
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

// BenchmarkGoodput offers 1, 2 and 5 times what the slots can run, for 3 s
// each, with a timeout of 200 ms.
func BenchmarkGoodput(b *testing.B) {
	for _, times := range []struct {
		name string
		by   float64
	}{{"1x", 1}, {"2x", 2}, {"5x", 5}} {
		b.Run(times.name, func(b *testing.B) {
			l := &loadUpstreams{}
			g := newTestEntry(b, slotsPerUpstream, []model.Contract{contract("acme", 1000, 400, 10)}, l.start(b)...)
			offerLoad(b, g, "acme", capacityPerSecond, "200", time.Second)
			b.ResetTimer()
			for range b.N {
				l.arrived.Store(0)
				r := offerLoad(b, g, "acme", capacityPerSecond*times.by, "200", 3*time.Second)
				b.ReportMetric(float64(r.inTime)/(capacityPerSecond*3), "goodput/capacity")
				b.ReportMetric(float64(r.sent)/(capacityPerSecond*3), "offered/capacity")
				b.ReportMetric(float64(r.other), "unknown")
				b.ReportMetric(float64(l.arrived.Load()-int64(r.ran+r.other)), "untrue")
				b.ReportMetric(float64(g.dispatcher.Snapshot().Counts.Ejections), "ejections")
				b.ReportMetric(float64(l.overSlots.Load()), "over-slots")
				b.ReportMetric(quantile(r.refusals, 0.5), "refusal-p50-ms")
				b.ReportMetric(quantile(r.refusals, 0.99), "refusal-p99-ms")
			}
		})
	}
}

// BenchmarkFlood offers 0.45 of the capacity for one customer, while another
// with an equal contract floods the pool with 5 times the capacity.
func BenchmarkFlood(b *testing.B) {
	l := &loadUpstreams{}
	contracts := []model.Contract{contract("calm", 100, 400, 10), contract("flood", 100, 400, 10)}
	g := newTestEntry(b, slotsPerUpstream, contracts, l.start(b)...)
	offerLoad(b, g, "calm", capacityPerSecond/2, "200", time.Second)
	b.ResetTimer()
	for range b.N {
		var calm, flood *customerResult
		var wg sync.WaitGroup
		wg.Go(func() { calm = offerLoad(b, g, "calm", capacityPerSecond*0.45, "200", 3*time.Second) })
		wg.Go(func() { flood = offerLoad(b, g, "flood", capacityPerSecond*5, "200", 3*time.Second) })
		wg.Wait()
		b.ReportMetric(float64(calm.ran)/float64(calm.sent), "calm-ran")
		b.ReportMetric(float64(calm.inTime+flood.inTime)/(capacityPerSecond*3), "goodput/capacity")
		b.ReportMetric(float64(flood.ran)/float64(flood.sent), "flood-ran")
	}
}
