package conf

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Listen holds the addresses that a process listens on, as ip:port. Port 0
// picks a free port.
type Listen struct {
	// Callers and Upstreams are empty for a control process.
	Callers   string
	Upstreams string
	Peers     string
	Admin     string
}

// Limits holds the bounds that apply to a process whatever the contracts say.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// BodyReadMillis is at most MaxTimeoutMillis.
	BodyReadMillis clock.Millis
	// DefaultTimeoutMillis is at most MaxTimeoutMillis.
	DefaultTimeoutMillis clock.Millis
	MaxTimeoutMillis     clock.Millis
	LeaseMillis          clock.Millis
	QueueRingSize        int
	RetryPercent         int
	// DrainMillis bounds a graceful stop. In an entry process it is at least
	// MaxTimeoutMillis, so that a stop interrupts no request.
	DrainMillis clock.Millis
}

// Lending holds how slots are lent between entry processes.
type Lending struct {
	// LeaseMillis is 0 to turn lending off, and else at least shortestLoan.
	LeaseMillis    clock.Millis
	ReservePercent int
}

// ControlLimits holds the bounds of a control process.
type ControlLimits struct {
	LeaseMillis clock.Millis
	DrainMillis clock.Millis
}

// Consensus holds the timing and the file sizes of the replicated log.
type Consensus struct {
	ElectionMillis clock.Millis
	// HeartbeatMillis is at most a third of ElectionMillis.
	HeartbeatMillis clock.Millis
	// SnapshotEvery is the number of log entries from one snapshot to the next.
	SnapshotEvery int
	SegmentBytes  int64
}

// Platform is the platform's interface in one zone.
type Platform struct {
	Zone    model.Zone
	Address string
}

// Maintenance holds the times of maintenance waves.
type Maintenance struct {
	// MaintenanceMillis is the longest time that one maintenance keeps an instance out
	// of service; at most StuckMillis.
	MaintenanceMillis clock.Millis
	CanaryMillis      clock.Millis
	StuckMillis       clock.Millis
	// PeriodDays is 0 to turn the periodic goal off. MarginDays is below it.
	PeriodDays int
	MarginDays int
}

// Entry holds the settings of an entry process.
type Entry struct {
	Name   model.Process
	Zone   model.Zone
	Listen Listen
	// Controls lists the control members, sorted by name; at least one.
	Controls []model.Member
	// Entries lists the entry processes with their peers addresses, sorted by
	// name; it contains this process.
	Entries []model.Member
	Limits  Limits
	Lending Lending
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// EventCapacity is the number of time-line events kept.
	EventCapacity int
}

// Control holds the settings of a control process.
type Control struct {
	Name       model.Process
	Zone       model.Zone
	DataFolder string
	Listen     Listen
	// Controls lists the control members, sorted by name; it contains this
	// process.
	Controls []model.Member
	// GroupSize is the number of members that the group keeps whatever joins
	// it; below the number of Controls it counts as that.
	GroupSize int
	// Entries lists the entry processes, sorted by name.
	Entries []model.Member
	// Platforms lists the platform's interfaces, at most one for each zone.
	Platforms []Platform
	Limits    ControlLimits
	Consensus Consensus
	// RepairAfterMillis is how long a lost instance is waited for before
	// another takes its place.
	RepairAfterMillis clock.Millis
	// MaxExchangeMoves bounds the moves of one decision that only spread pools
	// better.
	MaxExchangeMoves int
	// SurgePreference is roll-out-time, buffer-cost or off.
	SurgePreference string
	// SurgeMinSpare is the number of instances that each spare pool never lends.
	SurgeMinSpare int
	// Maintenance times the waves.
	Maintenance Maintenance
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// EventCapacity is the number of time-line events kept.
	EventCapacity int
}

// LoadEntry reads the settings of an entry process.
func LoadEntry(path string) (Entry, error) { return load(path, ParseEntry) }

// LoadControl reads the settings of a control process.
func LoadControl(path string) (Control, error) { return load(path, ParseControl) }

// LoadContract reads a contract file.
func LoadContract(path string) (model.Contract, error) { return load(path, ParseContract) }

// ParseEntry reads the settings of an entry process; file is named in errors.
func ParseEntry(file string, data []byte) (Entry, error) {
	return decode("entry settings", file, data, entryKeys(), checkEntry)
}

// ParseControl reads the settings of a control process; file is named in
// errors.
func ParseControl(file string, data []byte) (Control, error) {
	return decode("control settings", file, data, controlKeys(), checkControl)
}

// ParseContract reads a contract; file is named in errors.
func ParseContract(file string, data []byte) (model.Contract, error) {
	return decode("contract", file, data, contractKeys(), checkContract)
}
