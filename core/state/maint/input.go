package maint

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Settings configure the maintenance of one fleet.
type Settings struct {
	// MaintenanceMillis is the longest time that one maintenance is expected to
	// take, from the release of the instance to its return; at least 1.
	MaintenanceMillis clock.Millis
	// CanaryMillis is how long the first instance of a wave is observed after
	// its return before others follow.
	CanaryMillis clock.Millis
	// StuckMillis is the time after which an instance that is in maintenance and
	// not verified counts as failed.
	StuckMillis clock.Millis
	// TouchedMillis is how long after its maintenance an instance counts as
	// touched by the periodic wave; see StopPolicy.
	TouchedMillis clock.Millis
	// PeriodMillis is the time within which every instance is maintained once;
	// 0 disables periodic maintenance.
	PeriodMillis clock.Millis
	// MarginMillis is how long before the end of its period an instance becomes
	// due; less than PeriodMillis.
	MarginMillis clock.Millis
	// PeriodicStart is the time from which periodic maintenance applies.
	PeriodicStart clock.Millis
	// PacerRetryMillis is the time after which an instance that the pacer holds
	// back is evaluated again.
	PacerRetryMillis clock.Millis
	// FullScan disables the index: every pass evaluates the whole fleet.
	// Benchmarks set it to measure what the index saves.
	FullScan bool
}

// Defaults returns the default settings. The benchmarks use them unchanged; the
// control process replaces those that its settings file contains.
func Defaults() Settings {
	return Settings{
		MaintenanceMillis: 10 * clock.Minute, CanaryMillis: 15 * clock.Minute, StuckMillis: 20 * clock.Minute,
		TouchedMillis: clock.Day, PeriodMillis: 49 * clock.Day, MarginMillis: 7 * clock.Day, PacerRetryMillis: clock.Minute,
	}
}

// Observation is the state of an instance as reported by entry processes and by
// its own announcements.
type Observation struct {
	// ReleaseConfirmed: every entry process of the zone confirmed the release.
	ReleaseConfirmed bool
	// Restarted: the instance has announced a higher incarnation since it was
	// handed over to the platform.
	Restarted bool
	// Verified: its health was confirmed after the restart.
	Verified bool
	// LostSince is the start of an unplanned loss that has not ended; 0 for none.
	LostSince clock.Millis
	// Calls is the number of recent requests that the instance ran, and Failures
	// the number of those that failed. The counts can fall as old requests are
	// dropped from them.
	Calls    int64
	Failures int64
}

// Outage is a period during which an instance was out of service, planned or
// unplanned. To is 0 while the outage has not ended.
type Outage struct {
	Instance model.InstanceID
	Pool     model.Pool
	From     clock.Millis
	To       clock.Millis
}

// Input is the whole state that a plan depends on.
type Input struct {
	Instances    []model.Instance
	Observations map[model.InstanceID]Observation
	Contracts    []model.Contract
	Declarations []model.Maintenance
	Outages      []Outage
	// UnservedPermille is the share of each customer's requests that were not
	// served.
	UnservedPermille map[model.Customer]int
}

// StepKind is the kind of a maintenance step.
type StepKind string

// The kinds of step.
const (
	// StepRelease moves a serving instance to releasing: it gets no new requests.
	StepRelease StepKind = "release"
	// StepHandOver moves an instance whose release is confirmed from releasing to
	// maintenance: from then on the platform may reboot it.
	StepHandOver StepKind = "hand-over"
	// StepVerify probes the health of the restarted instance.
	StepVerify StepKind = "verify"
	// StepReturn moves the instance back to serving, after its maintenance or
	// because its release is taken back.
	StepReturn StepKind = "return"
)

// Step is an action to carry out now.
type Step struct {
	Kind     StepKind
	Instance model.InstanceID
	Pool     model.Pool
	Wave     string
	// Done is set on a return after a finished maintenance. A return without it
	// takes back the release of an instance that was not handed over.
	Done   bool
	Reason string
}

// LimitName names the limit that makes a pool wait.
type LimitName string

// The limits that can make a pool wait.
const (
	LimitWaveStopped    LimitName = "wave-stopped"
	LimitCanary         LimitName = "canary"
	LimitMaxUnavailable LimitName = "max-unavailable"
	LimitWindow         LimitName = "window-budget"
	// LimitDomain: an instance of the customer in another failure domain is in
	// maintenance or lost.
	LimitDomain LimitName = "failure-domain"
	// LimitUnserved is the limit that the pacer derives from the share of
	// unserved requests.
	LimitUnserved LimitName = "pressure"
	// LimitLost: the due instance itself is lost.
	LimitLost LimitName = "lost"
	// LimitPlatform: the platform has not restarted an instance in maintenance
	// within StuckMillis.
	LimitPlatform LimitName = "platform"
)

// Wait describes why due maintenance of a pool does not start, or why started
// maintenance of an instance does not go on.
type Wait struct {
	Pool     model.Pool
	Wave     string
	Instance model.InstanceID
	// Customer is empty for limits that do not belong to a customer.
	Customer model.Customer
	Limit    LimitName
	// Current is the value that the limit restricts and Max the highest value that
	// it allows, in the unit of the limit.
	Current int64
	Max     int64
	// Unblock describes what ends the wait.
	Unblock string
	// Until is the time at which the pool is evaluated again even if no input
	// changes; 0 for none.
	Until clock.Millis
}

// Stop describes why a wave starts no more maintenance.
type Stop struct {
	Wave    string
	Touched Tally
	Peers   Tally
	Reason  string
}

// UnmetDeadline is a deadline that is not expected to be met under the present
// limits.
type UnmetDeadline struct {
	Wave string
	// Customer is empty for the periodic wave and for instances of pools without a
	// contract.
	Customer model.Customer
	// Pool is set for the periodic wave only, which is checked by pool.
	Pool model.Pool
	// Remaining is the number of instances still to be maintained: those of the
	// customer or, if Customer is empty, those of all pools without a contract. For
	// the periodic wave it counts only the late instances of the pool.
	Remaining int
	// Deadline is that of the declaration. For the periodic wave, whose instances have
	// different deadlines, it is that of the late instance that was counted last.
	Deadline clock.Millis
	// Estimate is the time at which the last instance will be done; 0 for never.
	// The periodic wave has no estimate and leaves it 0.
	Estimate clock.Millis
	Reason   string
}

// Plan is the result of a planning pass.
type Plan struct {
	Steps          []Step
	Waits          []Wait
	Stops          []Stop
	UnmetDeadlines []UnmetDeadline
	// NextPassAt is the time at which the next pass is needed if no input changes;
	// 0 for never.
	NextPassAt clock.Millis
}
