package codec

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
)

// fleetWithInstances returns a state with n instances, spread over 20 zones and
// 37 pools.
func fleetWithInstances(n int) *fleet.State {
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

// heapBytes returns the size of the live heap in bytes.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkStateSize reports the bytes per instance in memory, in a snapshot and
// in a delta of the full table, and the size of the delta for the change of one
// instance.
func BenchmarkStateSize(b *testing.B) {
	for _, n := range []int{500, 5100} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				s := fleetWithInstances(n)
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "heap-B/instance")
				b.ReportMetric(float64(len(Codec{}.EncodeState(s)))/float64(n), "snapshot-B/instance")
				b.ReportMetric(float64(proto.Size(DeltaToWire(s.Delta(0))))/float64(n), "table-B/instance")
				b.ReportMetric(float64(proto.Size(DeltaToWire(s.Delta(s.Version-1)))), "delta-B/change")
				runtime.KeepAlive(s)
			}
		})
	}
}
