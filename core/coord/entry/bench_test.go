package entry

import (
	"context"
	"fmt"
	"testing"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/lend"
	"camphorridge/core/state/model"
	"camphorridge/core/state/ring"

	"gotest.tools/v3/assert"
)

// BenchmarkAsk measures Acquire followed by Done, with 6 goroutines per processor,
// with lending disabled and with lending enabled but unused.
func BenchmarkAsk(b *testing.B) {
	for _, lease := range []clock.Millis{0, 2 * clock.Second} {
		b.Run(fmt.Sprintf("lease=%d", lease), func(b *testing.B) { benchmarkAsk(b, lease) })
	}
}

func benchmarkAsk(b *testing.B, lease clock.Millis) {
	d := startWithSettings(b, Settings{
		Self: "e1", Zone: "z1", Entries: []model.Member{{Name: "e1", Zone: "z1"}}, Lease: clock.Minute,
		Lending:      lend.Settings{Self: "e1", Zone: "z1", Lease: lease, MaxRequestTime: clock.Minute, ReservePercent: 25},
		LoanMessages: ring.New[lend.Message](16),
	}, clock.Real(), 1000, contract("acme", 100_000, 1000))
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	b.ReportAllocs()
	b.SetParallelism(6)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			g, refusal := d.Acquire(ctx, Request{Customer: "acme", Pool: "svc", Deadline: 1 << 60})
			if refusal != nil {
				b.Errorf("refused: %s", refusal.Reason)
				return
			}
			d.Done(g.Ticket, OutcomeOK, 1)
		}
	})
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "asks/s")
	assert.Equal(b, d.Status().Counts.Completed, int64(b.N))
}

// BenchmarkRefuse measures requests that are refused because the queue is full.
func BenchmarkRefuse(b *testing.B) {
	d := start(b, 1, contract("acme", 1, 0))
	_, refusal := d.Acquire(b.Context(), Request{Customer: "acme", Pool: "svc", Deadline: 1 << 60})
	assert.Assert(b, refusal == nil)
	b.ReportAllocs()
	b.SetParallelism(6)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, refusal := d.Acquire(context.Background(), Request{Customer: "acme", Pool: "svc", Deadline: 1 << 60}); refusal == nil {
				b.Error("granted although the customer is at its limit")
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "asks/s")
}

func contract(name model.Customer, inFlight, queue int) model.Contract {
	return model.Contract{
		Customer: name, Concurrency: inFlight, Queue: queue, RetryPercent: 10,
		Pools: []model.PoolShare{{Pool: "svc", Instances: 1}},
	}
}
