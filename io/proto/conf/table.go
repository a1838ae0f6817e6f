package conf

import (
	"net/netip"
	"slices"
	"strconv"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

const kib = 1 << 10

// maxEntryMembers is the largest number of entry processes. The system is designed
// for one entry process on each of a few hundred instances.
const maxEntryMembers = 512

// entryKeys returns the table of keys of an entry process.
func entryKeys() []Key[Entry] {
	return slices.Concat(
		[]Key[Entry]{
			textKey("process", "name", "", nameRule, "name of this process; unique among all processes", func(e *Entry) *model.Process { return &e.Name }),
			textKey("process", "zone", "", nameRule, "availability zone of this process", func(e *Entry) *model.Zone { return &e.Zone }),
			textKey("listen", "callers", "", listenRule, "address for requests from callers", func(e *Entry) *string { return &e.Listen.Callers }),
			textKey("listen", "upstreams", "", listenRule, "address for announcements from upstreams", func(e *Entry) *string { return &e.Listen.Upstreams }),
		},
		listenKeys(func(e *Entry) *Listen { return &e.Listen }),
		memberKeys(func(e *Entry) *[]model.Member { return &e.Controls }, func(e *Entry) *[]model.Member { return &e.Entries }),
		limitKeys(),
		intakeKeys(func(e *Entry) *Intake { return &e.Intake }),
		[]Key[Entry]{
			intKey("lending", "lease-ms", "ms", "2000", 0, clock.Minute, "lease duration of slots that one entry process lends to another; 0 turns lending off, otherwise at least 200; the same in all processes; lower it, or turn lending off, in a process only while none of its slots are lent", func(e *Entry) *clock.Millis { return &e.Lending.LeaseMillis }),
			intKey("lending", "reserve-percent", "%", "25", 0, 100, "share of this process's slots of each upstream that is never lent, rounded up", func(e *Entry) *int { return &e.Lending.ReservePercent }),
		},
		commonKeys(func(e *Entry) *string { return &e.LogLevel }, func(e *Entry) *int { return &e.EventCapacity }),
	)
}

// controlKeys returns the table of keys of a control process.
func controlKeys() []Key[Control] {
	return slices.Concat(
		[]Key[Control]{
			textKey("process", "name", "", nameRule, "name of this process; unique among all processes", func(c *Control) *model.Process { return &c.Name }),
			textKey("process", "zone", "", nameRule, "availability zone of this process", func(c *Control) *model.Zone { return &c.Zone }),
			textKey("process", "data-folder", "", pathRule, "folder for the durable state; used by this process only", func(c *Control) *string { return &c.DataFolder }),
		},
		listenKeys(func(c *Control) *Listen { return &c.Listen }),
		memberKeys(func(c *Control) *[]model.Member { return &c.Controls }, func(c *Control) *[]model.Member { return &c.Entries }),
		[]Key[Control]{
			leaseKey(func(c *Control) *clock.Millis { return &c.Limits.LeaseMillis }),
			drainKey(func(c *Control) *clock.Millis { return &c.Limits.DrainMillis }),
			intKey("consensus", "election-ms", "ms", "1000", 50, clock.Minute, "shortest time without a message from a leader after which a follower starts an election; the longest is twice that", func(c *Control) *clock.Millis { return &c.Consensus.ElectionMillis }),
			intKey("consensus", "heartbeat-ms", "ms", "300", 10, 20*clock.Second, "interval of the leader's heartbeats; at most a third of election-ms", func(c *Control) *clock.Millis { return &c.Consensus.HeartbeatMillis }),
			intKey("consensus", "snapshot-every", "entries", "10000", 10, 10_000_000, "number of log entries from one snapshot to the next", func(c *Control) *int { return &c.Consensus.SnapshotEvery }),
			intKey("consensus", "segment-bytes", "bytes", "8388608", 4*kib, 1<<30, "size at which a log segment is closed", func(c *Control) *int64 { return &c.Consensus.SegmentBytes }),
		},
		intakeKeys(func(c *Control) *Intake { return &c.Intake }),
		[]Key[Control]{platformKey()},
		[]Key[Control]{
			intKey("capacity", "repair-after-ms", "ms", "30000", 0, clock.Day, "how long to wait for a lost instance to return before another instance replaces it", func(c *Control) *clock.Millis { return &c.RepairAfterMillis }),
			intKey("capacity", "exchange-moves", "moves", "0", 0, 1000, "largest number of moves that one decision makes only to spread the pools better over failure domains; each move is a disruption", func(c *Control) *int { return &c.MaxExchangeMoves }),
			textKey("capacity", "surge", "roll-out-time", oneOfRule("roll-out-time", "buffer-cost", "off"), "when to lend spare instances to a pool whose demand exceeds its capacity: early, to keep waiting times short (roll-out-time), or only for a long queue, to keep more spare instances idle (buffer-cost); with off, none are lent and the excess requests wait in the queues", func(c *Control) *string { return &c.SurgePreference }),
			intKey("capacity", "surge-keep", "instances", "4", 0, 100_000, "number of instances of each spare pool that are never lent during a surge, so that the loss of that many instances stays covered", func(c *Control) *int { return &c.SurgeMinSpare }),
			intKey("maintenance", "step-ms", "ms", "600000", 100, clock.Day, "longest time that one maintenance keeps an instance out of service; disruption budgets are calculated with it; at most stuck-ms", func(c *Control) *clock.Millis { return &c.Maintenance.MaintenanceMillis }),
			intKey("maintenance", "canary-ms", "ms", "900000", 0, clock.Day, "how long the first instance of a wave is observed after its return before others follow", func(c *Control) *clock.Millis { return &c.Maintenance.CanaryMillis }),
			intKey("maintenance", "stuck-ms", "ms", "1200000", 100, 7*clock.Day, "time after which an instance that has not returned from maintenance counts as failed", func(c *Control) *clock.Millis { return &c.Maintenance.StuckMillis }),
			intKey("maintenance", "period-days", "days", "49", 0, 3660, "time within which every instance is maintained once; 0 turns periodic maintenance off", func(c *Control) *int { return &c.Maintenance.PeriodDays }),
			intKey("maintenance", "margin-days", "days", "7", 0, 3660, "how long before the end of the period an instance becomes due for maintenance; below period-days", func(c *Control) *int { return &c.Maintenance.MarginDays }),
		},
		commonKeys(func(c *Control) *string { return &c.LogLevel }, func(c *Control) *int { return &c.EventCapacity }),
	)
}

// listenKeys returns the keys of the addresses that both roles listen on.
func listenKeys[T any](field func(*T) *Listen) []Key[T] {
	return []Key[T]{
		textKey("listen", "peers", "", listenRule, "address for the other processes of the system and for the command line", func(t *T) *string { return &field(t).Peers }),
		textKey("listen", "admin", "", listenRule, "address for metrics, health and the event log", func(t *T) *string { return &field(t).Admin }),
	}
}

// memberKeys returns the keys of the member lists, which both roles have.
func memberKeys[T any](controls, entries func(*T) *[]model.Member) []Key[T] {
	return []Key[T]{
		memberKey("control", "zone and peers address of the control member NAME; one key per member, the same in all processes", controls),
		memberKey("entry", "zone and peers address of the entry process NAME; one key per entry process, the same in all processes", entries),
	}
}

// memberKey returns the key of one member in the list of the given section.
func memberKey[T any](section, meaning string, field func(*T) *[]model.Member) Key[T] {
	return Key[T]{
		Section: section, Name: "member-" + namePlaceholder, Meaning: meaning,
		Allowed: "zone@ip:port with an IP address and a port from 1 to 65535",
		set: func(t *T, name, value string) bool {
			m, ok := parseMember(name, value)
			if ok {
				*field(t) = append(*field(t), m)
			}
			return ok
		},
	}
}

// platformKey returns the key of the address of the platform's API in one zone. The
// key may be absent: in a zone without one, no instance is rebooted, and maintenance
// waits.
func platformKey() Key[Control] {
	return Key[Control]{
		Section: "platform", Name: "zone-" + namePlaceholder, Meaning: "address of the platform's API in the availability zone NAME",
		Allowed: "ip:port with an IP address and a port from 1 to 65535",
		set: func(c *Control, name, value string) bool {
			ap, err := netip.ParseAddrPort(value)
			c.Platforms = append(c.Platforms, Platform{Zone: model.Zone(name), Address: value})
			return err == nil && ap.Port() > 0 && !ap.Addr().IsUnspecified()
		},
	}
}

// limitKeys returns the keys of the limits of an entry process.
func limitKeys() []Key[Entry] {
	return []Key[Entry]{
		intKey("limits", "max-header-bytes", "bytes", "65536", kib, 1024*kib, "largest header of a request; a larger one is refused with HTTP status 431", func(e *Entry) *int { return &e.Limits.MaxHeaderBytes }),
		intKey("limits", "max-body-bytes", "bytes", "67108864", kib, 1<<40, "largest body of a request; a larger one is refused with HTTP status 413", func(e *Entry) *int64 { return &e.Limits.MaxBodyBytes }),
		intKey("limits", "body-read-ms", "ms", "30000", 10, 10*clock.Minute, "longest time to read the part of a request body that is buffered before the request is queued, its first 64 KiB; at most max-timeout-ms", func(e *Entry) *clock.Millis { return &e.Limits.BodyReadMillis }),
		intKey("limits", "default-timeout-ms", "ms", "5000", 1, 10*clock.Minute, "timeout of a request that does not set one; at most max-timeout-ms", func(e *Entry) *clock.Millis { return &e.Limits.DefaultTimeoutMillis }),
		intKey("limits", "max-timeout-ms", "ms", "60000", 1, 10*clock.Minute, "longest timeout that a request may set", func(e *Entry) *clock.Millis { return &e.Limits.MaxTimeoutMillis }),
		leaseKey(func(e *Entry) *clock.Millis { return &e.Limits.LeaseMillis }),
		intKey("limits", "queue-ring", "asks", "4096", 16, 1<<20, "capacity of the dispatcher's input ring; requests that do not fit are refused", func(e *Entry) *int { return &e.Limits.QueueRingSize }),
		intKey("limits", "retry-percent", "%", "10", 0, 100, "limit on the retries of this process, as a percentage of first attempts", func(e *Entry) *int { return &e.Limits.RetryPercent }),
		drainKey(func(e *Entry) *clock.Millis { return &e.Limits.DrainMillis }),
	}
}

// intakeKeys returns the keys of the limits on what clients can make a process hold,
// which both roles have.
func intakeKeys[T any](intake func(*T) *Intake) []Key[T] {
	return []Key[T]{
		intKey("intake", "memory-mib", "MiB", "0", 0, 1<<24, "memory that the process may use; an eighth of it is for bodies of requests that are not yet handled, another eighth for those from other processes of the system, another one for the messages of the control group, a sixteenth for bodies of at most 64 KiB, and about a third for decoding; 0 for the memory of the machine", func(x *T) *int { return &intake(x).MemoryMiB }),
		intKey("intake", "max-descriptors", "descriptors", "0", 0, 1<<20, "descriptors that the process may have open, from which the numbers of connections are derived; 0 for the limit of the operating system", func(x *T) *int { return &intake(x).Descriptors }),
		intKey("intake", "body-progress-ms", "ms", "5000", 10, 10*clock.Minute, "longest time without a byte of a body that is being read; then the request is refused, a caller's with HTTP status 400 and others with 408", func(x *T) *clock.Millis { return &intake(x).ProgressMillis }),
		intKey("intake", "body-total-ms", "ms", "10000", 10, 10*clock.Minute, "longest time of a whole body, in addition to the time that its bytes take at 1 Mbit/s; not for bodies that are passed on to upstreams", func(x *T) *clock.Millis { return &intake(x).BodyMillis }),
		intKey("intake", "write-progress-ms", "ms", "10000", 10, 10*clock.Minute, "longest time in which a client may take no part of its response; then its connection is closed", func(x *T) *clock.Millis { return &intake(x).WriteMillis }),
	}
}

// leaseKey returns the key of the lease duration of announcements, which both roles
// have.
func leaseKey[T any](field func(*T) *clock.Millis) Key[T] {
	return intKey("limits", "lease-ms", "ms", "3000", 100, clock.Minute, "lease duration of an announcement; the same in all processes", field)
}

// drainKey returns the key of the longest duration of a graceful stop, which both
// roles have.
func drainKey[T any](field func(*T) *clock.Millis) Key[T] {
	return intKey("limits", "drain-ms", "ms", "65000", 1, clock.Hour, "longest time that a graceful stop takes; at least max-timeout-ms in an entry process", field)
}

// commonKeys returns the keys for logging and events, which both roles have.
func commonKeys[T any](level func(*T) *string, capacity func(*T) *int) []Key[T] {
	return []Key[T]{
		textKey("log", "level", "info", oneOfRule("debug", "info", "warn", "error"), "least severe level that is logged", level),
		intKey("events", "capacity", "events", "4096", 16, 1<<20, "largest number of events kept in the event log; beyond it, the oldest are dropped and counted", capacity),
	}
}

// contractKeys returns the table of keys of a contract.
func contractKeys() []Key[model.Contract] {
	type contract = model.Contract
	const maxAmount = 1_000_000
	return []Key[contract]{
		textKey("contract", "customer", "", nameRule, "customer that holds the contract", func(c *contract) *model.Customer { return &c.Customer }),
		{
			Section: "contract", Name: "covers", Allowed: "instance, rack, zone",
			Meaning: "largest failure domain whose loss does not reduce the promised capacity",
			set: func(c *contract, _, value string) (ok bool) {
				c.Covers, ok = model.ParseFailureDomain(value)
				return ok
			},
		},
		intKey("contract", "concurrency", "requests", "0", 0, maxAmount, "largest number of requests in flight, summed over all entry processes; 0 derives it from the slots of the instances", func(c *contract) *int { return &c.Concurrency }),
		intKey("contract", "queue", "requests", "0", 0, maxAmount, "largest number of waiting requests, summed over all entry processes", func(c *contract) *int { return &c.Queue }),
		intKey("contract", "retry-percent", "%", "10", 0, 100, "limit on retries, as a percentage of first attempts", func(c *contract) *int { return &c.RetryPercent }),
		{
			Section: "pool " + namePlaceholder, Name: "instances", Unit: "instances", Allowed: "1 to 100000",
			Meaning: "instances promised in the pool NAME; one section per pool",
			set: func(c *contract, name, value string) bool {
				n, err := strconv.Atoi(value)
				c.Pools = append(c.Pools, model.PoolShare{Pool: model.Pool(name), Instances: n})
				return err == nil && n >= 1 && n <= 100_000
			},
		},
		intKey("disruption", "max-unavailable", "instances", "", 0, 100_000, "the customer's instances that may be out of service at once, planned and unplanned together; below the number of promised instances, summed over the pools", func(c *contract) *int { return &c.MaxUnavailable }),
		intKey("disruption", "budget-ms", "ms", "", 0, 1_000_000*clock.Day, "unavailable time, summed over the customer's instances, that is allowed in one window; at most window-ms times the number of promised instances", func(c *contract) *clock.Millis { return &c.BudgetMillis }),
		intKey("disruption", "window-ms", "ms", "", clock.Second, 366*clock.Day, "length of the window to which budget-ms applies", func(c *contract) *clock.Millis { return &c.WindowMillis }),
		intKey("spare", "instances", "instances", "0", 0, 100_000, "idle instances reserved for the customer", func(c *contract) *int { return &c.Spare }),
		optional(textKey("spare", "pool", "", nameRule, "pool that holds the spare instances; not a promised pool", func(c *contract) *model.Pool { return &c.SparePool })),
		intKey("quota", "milli-cores", "1/1000 core", "0", 0, 1_000_000_000, "processor capacity that the customer's tasks may hold at the same time", func(c *contract) *int { return &c.Quota.MilliCores }),
		intKey("quota", "memory-mib", "MiB", "0", 0, 1_000_000_000, "memory that the customer's tasks may hold at the same time", func(c *contract) *int { return &c.Quota.MemoryMiB }),
		intKey("quota", "accelerators", "accelerators", "0", 0, maxAmount, "accelerators that the customer's tasks may hold at the same time", func(c *contract) *int { return &c.Quota.Accelerators }),
	}
}
