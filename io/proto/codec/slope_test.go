package codec

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
)

func fleetOf(n int) *fleet.State {
	s := fleet.New()
	for i := range n {
		c := model.Change{Kind: model.ChangeInstances, Author: "c1", Instances: []model.InstanceStep{{Instance: model.Instance{
			ID: model.InstanceID(fmt.Sprintf("zone-%02d-i%04d", i%20, i)), Zone: model.Zone(fmt.Sprintf("zone-%02d", i%20)),
			Rack: model.Rack(fmt.Sprintf("zone-%02d-r%d", i%20, i/80)), Pool: model.Pool(fmt.Sprintf("pool-%02d", i%37)),
			Slots: 8, Connections: 64, Reason: "announced",
		}}}}
		s.Apply(model.Version(i+1), c)
	}
	return s
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkStateSize reports what an instance costs in memory, in a snapshot
// and in a table, and what one change of an instance costs on the wire.
func BenchmarkStateSize(b *testing.B) {
	for _, n := range []int{500, 5100} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				s := fleetOf(n)
				b.ReportMetric(float64(heap()-before)/float64(n), "heap-B/instance")
				b.ReportMetric(float64(len(Codec{}.EncodeState(s)))/float64(n), "snapshot-B/instance")
				b.ReportMetric(float64(proto.Size(DeltaToWire(s.Delta(0))))/float64(n), "table-B/instance")
				b.ReportMetric(float64(proto.Size(DeltaToWire(s.Delta(s.Version-1)))), "delta-B/change")
				runtime.KeepAlive(s)
			}
		})
	}
}
