package intake

import (
	"sync/atomic"

	"github.com/charmbracelet/log"

	"camphorridge/core/state/clock"
)

// The shares of a process's memory, as divisors. Their sum is 3/4 of the memory: they are
// not expected to be used up at once.
const (
	largeDivisor       = 8
	memberDivisor      = 8
	consensusDivisor   = 8
	smallDivisor       = 16
	largeDecodeDivisor = 4
	smallDecodeDivisor = 16
)

// SmallBytes is the size up to which a body is small. A small body that takes longer than
// SmallTime counts as a large one.
const (
	SmallBytes              = 64 << 10
	SmallTime  clock.Millis = clock.Second
)

// Settings are the limits of a process. Zero values stand for the limits of the machine,
// see Defaults.
type Settings struct {
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// Descriptors is the number of descriptors that the process may have open.
	Descriptors int
	// OutgoingPerClient is set if the process opens a connection of its own for each
	// request that it serves.
	OutgoingPerClient bool
	// ProgressMillis is the longest time without a byte of a body, and WriteMillis the
	// longest time in which a client does not take a part of its response.
	ProgressMillis clock.Millis
	WriteMillis    clock.Millis
	// BodyMillis and MinBytesPerSecond bound the time of a body: BodyMillis and the time
	// that its bytes take at MinBytesPerSecond.
	BodyMillis        clock.Millis
	MinBytesPerSecond int64
}

// Defaults returns the default settings of a process that may use the given memory and
// descriptors; 0 stands for those of the machine. A link of 2 Mbit/s carries twice
// MinBytesPerSecond.
func Defaults(memoryBytes int64, descriptors int) Settings {
	if memoryBytes <= 0 {
		memoryBytes = machineMemory()
	}
	if descriptors <= 0 {
		descriptors = machineDescriptors()
	}
	return Settings{
		MemoryBytes: memoryBytes, Descriptors: descriptors,
		ProgressMillis: 5 * clock.Second, WriteMillis: 10 * clock.Second,
		BodyMillis: 10 * clock.Second, MinBytesPerSecond: 128 << 10,
	}
}

// logInterval is the minimum time between two log lines of the same kind.
const logInterval = 10 * clock.Second

// Gate holds the limits that all listeners of a process share.
type Gate struct {
	settings    Settings
	clock       clock.Clock
	log         *log.Logger
	small       Budget
	large       Budget
	members     Budget
	consensus   Budget
	smallDecode semaphore
	largeDecode semaphore
	counts      [kindCount]atomic.Int64
	// lastLogged holds the time of the last log line of each kind.
	lastLogged  [kindCount]atomic.Int64
	connections [classCount]connections
}

// New returns the gate of a process. Limits that are reached are logged to lg.
func New(s Settings, c clock.Clock, lg *log.Logger) *Gate {
	g := &Gate{settings: s, clock: c, log: lg}
	g.small.Capacity = max(s.MemoryBytes/smallDivisor, SmallBytes)
	g.large.Capacity = max(s.MemoryBytes/largeDivisor, SmallBytes)
	g.members.Capacity = max(s.MemoryBytes/memberDivisor, SmallBytes)
	g.consensus.Capacity = max(s.MemoryBytes/consensusDivisor, SmallBytes)
	g.smallDecode.capacity = max(s.MemoryBytes/smallDecodeDivisor, smallDecodeBytes)
	g.largeDecode.capacity = max(s.MemoryBytes/largeDecodeDivisor, smallDecodeBytes)
	g.connections[Clients].most, g.connections[Members].most = connectionLimits(s)
	return g
}

// note counts a limit that was reached and logs it, at most once in logInterval for each
// kind.
func (g *Gate) note(k Kind) {
	total := g.counts[k].Add(1)
	now := int64(g.clock.Now())
	last := g.lastLogged[k].Load()
	if last != 0 && now-last < int64(logInterval) {
		return
	}
	if g.lastLogged[k].CompareAndSwap(last, now) && g.log != nil {
		g.log.Warn("clients-limited", "limit", k.String(), "total", total)
	}
}

// Count is a counter of a gate.
type Count struct {
	Name  string
	Value func() int64
}

// Counts returns the counters of a gate. Their values may be read at any time.
func (g *Gate) Counts() []Count {
	var all []Count
	for k := range g.counts {
		all = append(all, Count{"intake-" + names[k], g.counts[k].Load})
	}
	return all
}

// Gauges returns the bytes that are reserved and the open connections.
func (g *Gate) Gauges() []Count {
	return []Count{
		{"intake-body-bytes", func() int64 { return g.small.Used() + g.large.Used() + g.members.Used() + g.consensus.Used() }},
		{"intake-connections", func() int64 { return int64(g.connections[Clients].count() + g.connections[Members].count()) }},
	}
}
