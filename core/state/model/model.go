package model

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// Names and identifiers of the objects of the domain.
type (
	// Customer names the holder of a contract.
	Customer string
	// Pool names a group of instances that run one service.
	Pool string
	// InstanceID names an instance: a machine of the fleet that serves the requests
	// of one pool at a time.
	InstanceID string
	// Zone names an availability zone.
	Zone string
	// Rack names a rack; racks are unique across zones.
	Rack string
	// Process names a process of the system itself.
	Process string
	// RequestID identifies an operator's change across resends.
	RequestID string
)

// Version is the log index of the change that last altered an object.
type Version uint64

// FailureDomain is a kind of failure domain: instance, rack or zone.
type FailureDomain int

// The failure domains, from the smallest to the largest.
const (
	DomainInstance FailureDomain = iota
	DomainRack
	DomainZone
)

var domainNames = [...]string{"instance", "rack", "zone"}

// String returns the name used in files and reports.
func (d FailureDomain) String() string {
	if d < 0 || int(d) >= len(domainNames) {
		return "unknown"
	}
	return domainNames[d]
}

// ParseFailureDomain returns the domain of that name; ok is false for other names.
func ParseFailureDomain(s string) (d FailureDomain, ok bool) {
	for i, n := range domainNames {
		if n == s {
			return FailureDomain(i), true
		}
	}
	return 0, false
}

// Contract describes the capacity promised to a customer and the limits on its
// use. Every limit in the system derives from it.
type Contract struct {
	Customer Customer
	// Version is 0 until the contract is accepted.
	Version Version
	// Covers is the largest failure domain whose loss does not reduce the promised
	// capacity.
	Covers FailureDomain
	// Pools lists the promised capacity by pool; the names are unique.
	Pools []PoolShare
	// Concurrency bounds the requests in flight over all entry processes together;
	// 0 derives the bound from the slots of the promised instances.
	Concurrency int
	// Queue bounds the queued requests over all entry processes together.
	Queue int
	// RetryPercent bounds the retries, as a percentage of the first attempts.
	RetryPercent int
	// MaxUnavailable is the number of the customer's instances that may be out of
	// service at once, planned and unplanned together.
	MaxUnavailable int
	// BudgetMillis is the time out of service, summed over the instances, that is
	// allowed within any window of WindowMillis. A window of 0 disables the budget.
	BudgetMillis clock.Millis
	WindowMillis clock.Millis
	// Spare is the number of idle instances kept in SparePool.
	Spare     int
	SparePool Pool
	// Quota bounds the customer's tasks on workers.
	Quota Quota
}

// PoolShare is the capacity of one pool in a contract.
type PoolShare struct {
	Pool Pool
	// Instances is the number of promised instances; at least 1.
	Instances int
}

// Quota bounds the resources that a customer's tasks use at once.
type Quota = jobs.Resources

// Phase is the state of an instance's membership in a pool.
type Phase int

// The phases of an instance.
const (
	// PhaseServing: routable in its pool.
	PhaseServing Phase = iota
	// PhaseReleasing: gets no new requests; waits until the entry processes of its
	// zone confirm that their requests have ended.
	PhaseReleasing
	// PhaseMaintenance: released and handed over to the platform.
	PhaseMaintenance
	// PhaseRetired: no longer part of the fleet.
	PhaseRetired
)

var phaseNames = [...]string{"serving", "releasing", "maintenance", "retired"}

// String returns the name used in files and reports.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// PoolNone is the target pool of an instance that is to be retired. It is not a
// valid name, so it cannot collide with a pool.
const PoolNone Pool = "-"

// Instance is the record that the control group keeps of one instance.
type Instance struct {
	ID   InstanceID
	Zone Zone
	Rack Rack
	// Pool is the one pool that the instance belongs to. It changes only after
	// every entry process of the zone has confirmed the release.
	Pool Pool
	// Target is the pool that a releasing instance moves to; equal to Pool if the
	// release is for maintenance.
	Target Pool
	Phase  Phase
	// Slots and Connections bound the concurrent requests and the connections of
	// all entry processes together.
	Slots       int
	Connections int
	// Reason describes why the present phase was entered.
	Reason string
	// Incarnation is the upstream's incarnation when the instance was handed
	// to the platform; a higher one shows that it was rebooted.
	Incarnation uint64
	// MaintainedAt is the time of the last finished maintenance, or of the enrolment
	// while there was none since: an enrolled instance counts as maintained. It is 0
	// if neither is known.
	MaintainedAt clock.Millis
	// LostSince is the time since which no entry process has received announcements
	// of the instance, without a planned reason; 0 if it is not lost.
	LostSince clock.Millis
	// OutOfServiceSince is the time since which the instance has been out of service,
	// planned or unplanned; 0 while it is in service.
	OutOfServiceSince clock.Millis
	// PhaseSince is the time at which the phase was entered, by the leader's clock.
	PhaseSince clock.Millis
	Version    Version
}

// OutOfService reports whether the instance counts against the disruption budgets
// of its pool's customers.
func (i Instance) OutOfService() bool {
	return i.LostSince != 0 || i.Phase == PhaseReleasing || i.Phase == PhaseMaintenance
}

// Outage is a finished period during which an instance was out of service.
type Outage struct {
	Instance InstanceID
	// Pool is the pool that the instance belonged to before the step that ended the
	// outage.
	Pool Pool
	From clock.Millis
	To   clock.Millis
}

// Member is a process of the system as named in the settings.
type Member struct {
	Name    Process
	Zone    Zone
	Address string
}

// Selector selects instances. An empty field matches every instance.
type Selector struct {
	Pool     Pool
	Zone     Zone
	Rack     Rack
	Instance InstanceID
}

// Matches reports whether the instance is selected.
func (s Selector) Matches(i Instance) bool {
	return (s.Pool == "" || s.Pool == i.Pool) &&
		(s.Zone == "" || s.Zone == i.Zone) &&
		(s.Rack == "" || s.Rack == i.Rack) &&
		(s.Instance == "" || s.Instance == i.ID)
}

// Maintenance is a declaration that the selected instances must be maintained
// by a deadline.
type Maintenance struct {
	Name       string
	Selector   Selector
	DeclaredAt clock.Millis
	Deadline   clock.Millis
	Version    Version
}

// AnnounceState is the state that an upstream announces.
type AnnounceState int

// The states of an announcement.
const (
	AnnounceServing AnnounceState = iota
	AnnounceLeaving
)

// Announcement is the message by which an upstream announces itself to the entry
// processes of its zone.
type Announcement struct {
	Instance InstanceID
	Zone     Zone
	Rack     Rack
	// Pool is the pool whose service the instance runs at present.
	Pool Pool
	// Address is host:port; the host is an IP address.
	Address     string
	Slots       int
	Connections int
	// Incarnation grows with each start of the upstream's process.
	Incarnation uint64
	State       AnnounceState
	// HealthPath is the URL path of health probes; empty disables them.
	HealthPath string
}

// Table is the routing configuration of entry processes.
type Table struct {
	// Version never decreases within a process.
	Version   Version
	Contracts map[Customer]Contract
	Instances map[InstanceID]Instance
}

// Delta is the difference between two versions of a table.
type Delta struct {
	// From is the version that the delta applies to; 0 if Full is set.
	From Version
	To   Version
	// Full is set if the delta replaces the whole table.
	Full             bool
	Contracts        []Contract
	Instances        []Instance
	RemovedContracts []Customer
	RemovedInstances []InstanceID
}
