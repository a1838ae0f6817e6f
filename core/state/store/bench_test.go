package store_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
	"camphorridge/core/state/store"
	"camphorridge/io/proto/codec"
)

// change returns the n-th change: an operator's update of the contract of one of
// two customers.
func change(s *fleet.State, n int) model.Change {
	name := model.Customer(fmt.Sprint("customer-", n%2))
	return model.Change{
		Kind: model.ChangeContractApply, Time: clock.Millis(n), Request: model.RequestID(fmt.Sprintf("request-%016d", n)),
		Author: "operator", Base: s.Contracts[name].Version,
		Contract: model.Contract{
			Customer: name, Covers: model.DomainRack, Queue: n, Concurrency: 64, WindowMillis: clock.Day, SparePool: "spare",
			Pools: []model.PoolShare{{Pool: "portal", Instances: 12}, {Pool: "intake", Instances: 8}},
		},
	}
}

// batches returns n changes as entries starting at index 1, in batches of the
// given size, and the state after them.
func batches(n, size int) ([][]raft.Entry, *fleet.State) {
	var wire codec.Codec
	var out [][]raft.Entry
	s := fleet.New()
	for i := 1; i <= n; i++ {
		c := change(s, i)
		s.Apply(model.Version(i), c)
		if (i-1)%size == 0 {
			out = append(out, nil)
		}
		k := len(out) - 1
		out[k] = append(out[k], raft.Entry{Index: uint64(i), Term: 1, Data: wire.EncodeChange(c)})
	}
	return out, s
}

// BenchmarkSave alternates Save with a plain write and sync of the same number of
// bytes to a file in the same folder. It reports the median and 99th percentile
// of both in microseconds, and changes per second.
func BenchmarkSave(b *testing.B) {
	for _, size := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("batch=%d", size), func(b *testing.B) {
			dir := b.TempDir()
			s, err := open(filepath.Join(dir, "data"), store.OSFileSystem{}, 0)
			assert.NilError(b, err)
			f, err := os.Create(filepath.Join(dir, "bare"))
			assert.NilError(b, err)
			input, _ := batches(size*b.N, size)
			bytes := 0
			for _, e := range input[0] {
				bytes += len(codec.Codec{}.EncodeEntry(e)) + 4
			}
			record := make([]byte, bytes+8)
			var saves, bare []time.Duration
			b.ResetTimer()
			for i := range b.N {
				start := time.Now()
				assert.NilError(b, s.Save(nil, input[i]))
				saves = append(saves, time.Since(start))
				start = time.Now()
				_, err := f.WriteAt(record, int64(i*len(record)))
				assert.NilError(b, err)
				assert.NilError(b, f.Sync())
				bare = append(bare, time.Since(start))
			}
			b.StopTimer()
			report(b, "save", saves, size)
			report(b, "bare", bare, size)
			assert.NilError(b, s.Close())
			assert.NilError(b, f.Close())
		})
	}
}

func report(b *testing.B, name string, times []time.Duration, size int) {
	var sum time.Duration
	for _, t := range times {
		sum += t
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), name+"-p50-us")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), name+"-p99-us")
	b.ReportMetric(float64(size*len(times))/sum.Seconds(), name+"-changes/s")
}

// BenchmarkOpen measures a restart: Open, decoding the snapshot and replaying the
// entries after it. The snapshot, if there is one, is taken 100 changes before the
// end of the log.
func BenchmarkOpen(b *testing.B) {
	var wire codec.Codec
	for _, n := range []int{500, 50_000} {
		for _, snapshot := range []bool{false, true} {
			b.Run(fmt.Sprintf("changes=%d/snapshot=%v", n, snapshot), func(b *testing.B) {
				dir := b.TempDir()
				s, err := open(dir, store.OSFileSystem{}, 0)
				assert.NilError(b, err)
				input, _ := batches(n, 100)
				for _, batch := range input {
					assert.NilError(b, s.Save(nil, batch))
				}
				if snapshot {
					_, state := batches(n-100, 100)
					assert.NilError(b, s.SaveSnapshot(raft.SnapshotMeta{Index: uint64(n - 100), Term: 1, Members: members}, wire.EncodeState(state)))
				}
				assert.NilError(b, s.Close())
				for b.Loop() {
					s, err := open(dir, store.OSFileSystem{}, 0)
					assert.NilError(b, err)
					state := fleet.New()
					meta, data, err := s.ReadSnapshot()
					assert.NilError(b, err)
					if meta.Index > 0 {
						state, err = wire.DecodeState(data)
						assert.NilError(b, err)
					}
					for _, e := range s.Stored().Entries {
						c, err := wire.DecodeChange(e.Data)
						assert.NilError(b, err)
						state.Apply(model.Version(e.Index), c)
					}
					assert.Equal(b, state.Index, model.Version(n))
					assert.NilError(b, s.Close())
				}
			})
		}
	}
}
