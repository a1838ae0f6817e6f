package conf

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Listen holds the addresses that a process listens on, as ip:port. With port 0
// the operating system picks a free port.
type Listen struct {
	// Callers is the address for the requests of callers, Upstreams that for the
	// announcements of upstreams. Both are empty for a control process.
	Callers   string
	Upstreams string
	// Peers is the address for the other processes of the system and for the command
	// line.
	Peers string
	// Admin is the address for the metrics, the health check and the event log.
	Admin string
}

// Limits holds the limits of an entry process that do not depend on contracts.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are the largest header and body of a request.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// BodyReadMillis is the longest time to read the part of a request body that is
	// buffered before the request is queued; the rest of a larger body is streamed
	// later, within the timeout of the request. It is at most MaxTimeoutMillis.
	BodyReadMillis clock.Millis
	// DefaultTimeoutMillis is the timeout of a request that does not set one. It is
	// at most MaxTimeoutMillis.
	DefaultTimeoutMillis clock.Millis
	// MaxTimeoutMillis is the longest timeout that a request may set.
	MaxTimeoutMillis clock.Millis
	// LeaseMillis is the lease duration of an announcement. It must be the same in
	// all processes.
	LeaseMillis clock.Millis
	// QueueRingSize is the capacity of the dispatcher's input ring, in messages.
	QueueRingSize int
	// RetryPercent limits the retries of this process, as a percentage of first
	// attempts.
	RetryPercent int
	// DrainMillis is the longest time that a graceful stop takes. It is at least
	// MaxTimeoutMillis, so that a graceful stop interrupts no request.
	DrainMillis clock.Millis
}

// Intake holds the limits of what clients can make a process hold. 0 stands for the
// limit of the machine, and in a duration for the default.
type Intake struct {
	// MemoryMiB is the memory that the process may use, and Descriptors the number of
	// descriptors that it may have open.
	MemoryMiB   int
	Descriptors int
	// ProgressMillis is the longest time without a byte of a body. BodyMillis is the
	// longest time of a whole body, without the time that its bytes take at 1 Mbit/s.
	// WriteMillis is the longest time in which a client takes no part of a response.
	ProgressMillis clock.Millis
	BodyMillis     clock.Millis
	WriteMillis    clock.Millis
}

// Lending holds the settings for lending slots between entry processes.
type Lending struct {
	// LeaseMillis is the lease duration of lent slots. 0 turns lending off; any other
	// value is at least minLendingLeaseMillis.
	LeaseMillis clock.Millis
	// ReservePercent is the share of the slots of each upstream that is never
	// lent, rounded up.
	ReservePercent int
}

// ControlLimits holds the limits of a control process.
type ControlLimits struct {
	// LeaseMillis is the lease duration of an announcement. It must be the same in
	// all processes.
	LeaseMillis clock.Millis
	// DrainMillis is the longest time that a graceful stop takes.
	DrainMillis clock.Millis
}

// Consensus holds the timing of Raft in the control group, and the sizes of the log
// and its files.
type Consensus struct {
	// ElectionMillis is the shortest time without a message from a leader after
	// which a follower starts an election. The longest is twice that.
	ElectionMillis clock.Millis
	// HeartbeatMillis is the interval of the leader's heartbeats. It is at most a
	// third of ElectionMillis.
	HeartbeatMillis clock.Millis
	// SnapshotEvery is the number of log entries from one snapshot to the next.
	SnapshotEvery int
	// SegmentBytes is the size at which a log segment is closed.
	SegmentBytes int64
}

// Platform is the address of the API of the platform that hosts the instances, in
// one availability zone.
type Platform struct {
	Zone    model.Zone
	Address string
}

// Maintenance holds the timing of maintenance waves.
type Maintenance struct {
	// MaintenanceMillis is the longest time that one maintenance keeps an instance
	// out of service. It is at most StuckMillis.
	MaintenanceMillis clock.Millis
	// CanaryMillis is how long the first instance of a wave is observed after its
	// return before others follow.
	CanaryMillis clock.Millis
	// StuckMillis is the time after which an instance that has not returned from
	// maintenance counts as failed.
	StuckMillis clock.Millis
	// PeriodDays is the time within which every instance is maintained once; 0
	// turns periodic maintenance off.
	PeriodDays int
	// MarginDays is how long before the end of the period an instance becomes due
	// for maintenance. It is below PeriodDays unless PeriodDays is 0.
	MarginDays int
}

// Entry holds the settings of an entry process.
type Entry struct {
	Name   model.Process
	Zone   model.Zone
	Listen Listen
	// Controls lists the members of the control group, sorted by name. It is not
	// empty.
	Controls []model.Member
	// Entries lists the entry processes with their Peers addresses, sorted by name.
	// It contains this process.
	Entries []model.Member
	Limits  Limits
	Intake  Intake
	Lending Lending
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// EventCapacity is the largest number of events kept in the event log.
	EventCapacity int
}

// Control holds the settings of a control process.
type Control struct {
	Name       model.Process
	Zone       model.Zone
	DataFolder string
	Listen     Listen
	// Controls lists the members of the control group, sorted by name. It contains
	// this process.
	Controls []model.Member
	// JoinOnly is set if the process starts in an existing system: it joins the control
	// group and never forms one. It has no key in the settings file.
	JoinOnly bool
	// GroupSize is the number of voters of the control group; further members are
	// standbys. If it is 0, the number of Controls applies. It has no key in the
	// settings file.
	GroupSize int
	// Entries lists the entry processes, sorted by name.
	Entries []model.Member
	// Platforms lists the addresses of the platform's API, at most one per zone. In a
	// zone without one, no instance is rebooted.
	Platforms []Platform
	Limits    ControlLimits
	Intake    Intake
	Consensus Consensus
	// RepairAfterMillis is how long to wait for a lost instance to return before
	// another instance replaces it.
	RepairAfterMillis clock.Millis
	// MaxExchangeMoves is the largest number of moves that one decision makes only to
	// spread the pools better over failure domains.
	MaxExchangeMoves int
	// SurgePreference says when spare instances are lent to a pool whose demand
	// exceeds its capacity: early, to keep waiting times short (roll-out-time), or
	// only for a long queue, to keep more spare instances idle (buffer-cost). With
	// off, none are lent and the excess requests wait in the queues.
	SurgePreference string
	// SurgeMinSpare is the number of instances of each spare pool that are never
	// lent during a surge.
	SurgeMinSpare int
	Maintenance   Maintenance
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// EventCapacity is the largest number of events kept in the event log.
	EventCapacity int
}

// LoadEntry reads the settings of an entry process from a file.
func LoadEntry(path string) (Entry, error) { return load(path, ParseEntry) }

// LoadControl reads the settings of a control process from a file.
func LoadControl(path string) (Control, error) { return load(path, ParseControl) }

// LoadContract reads a contract from a file.
func LoadContract(path string) (model.Contract, error) { return load(path, ParseContract) }

// ParseEntry parses the settings of an entry process. Errors name the input as file.
func ParseEntry(file string, data []byte) (Entry, error) {
	return decode("entry settings", file, data, entryKeys(), checkEntry)
}

// ParseControl parses the settings of a control process. Errors name the input as file.
func ParseControl(file string, data []byte) (Control, error) {
	return decode("control settings", file, data, controlKeys(), checkControl)
}

// ParseContract parses a contract. Errors name the input as file.
func ParseContract(file string, data []byte) (model.Contract, error) {
	return decode("contract", file, data, contractKeys(), checkContract)
}
