package maint

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Settings are the figures of the maintenance of one fleet.
type Settings struct {
	// MaintenanceMillis is the longest time that one maintenance keeps an instance
	// out of service, from its release to its return; at least 1.
	MaintenanceMillis clock.Millis
	// CanaryMillis is how long the first instance of a wave is observed after
	// its return before others follow.
	CanaryMillis clock.Millis
	// StuckMillis is the time after which an instance in maintenance that was
	// not verified counts as failed.
	StuckMillis clock.Millis
	// ObservationMillis is how long an instance counts as touched by the periodic
	// maintenance.
	ObservationMillis clock.Millis
	// PeriodMillis is the time within which every instance is maintained
	// once; 0 turns the periodic goal off.
	PeriodMillis clock.Millis
	// MarginMillis is how long before the end of the period an instance is
	// taken up; less than PeriodMillis.
	MarginMillis clock.Millis
	// PeriodicStart is the time from which the periodic goal applies.
	PeriodicStart clock.Millis
	// PressureRetryMillis is the time after which a pool that waits for the pressure
	// to fall is looked at again.
	PressureRetryMillis clock.Millis
	// FullScan turns the index off: every pass looks at the whole fleet. It is
	// there to measure what the index saves.
	FullScan bool
}

// Defaults are the settings that the benchmarks use.
func Defaults() Settings {
	return Settings{
		MaintenanceMillis: 10 * clock.Minute, CanaryMillis: 15 * clock.Minute, StuckMillis: 20 * clock.Minute,
		ObservationMillis: clock.Day, PeriodMillis: 49 * clock.Day, MarginMillis: 7 * clock.Day, PressureRetryMillis: clock.Minute,
	}
}

// Observation is what entry processes and announcements say about an instance.
type Observation struct {
	// Drained: every entry process of the zone confirmed the release.
	Drained bool
	// Restarted: announced with a higher incarnation since it was handed over.
	Restarted bool
	// Verified: its health was confirmed after the restart.
	Verified bool
	// LostSince is the time of an unplanned loss that lasts; 0 for none.
	LostSince clock.Millis
	// Calls and Failures count the latest requests that it ran.
	Calls    int64
	Failures int64
}

// Outage is a time that an instance spent out of service, for planned and
// unplanned reasons alike. To is 0 while it lasts.
type Outage struct {
	Instance model.InstanceID
	Pool     model.Pool
	From     clock.Millis
	To       clock.Millis
}

// Input is the whole state that a decision depends on.
type Input struct {
	Instances    []model.Instance
	Observations map[model.InstanceID]Observation
	Contracts    []model.Contract
	Declarations []model.Maintenance
	Outages      []Outage
	// Pressure is what each customer's callers feel, in permille of their
	// requests that were refused or late.
	Pressure map[model.Customer]int
}

// StepKind tells the steps of a maintenance apart.
type StepKind string

// The steps.
const (
	// StepRelease: serving to releasing; no new requests.
	StepRelease StepKind = "release"
	// StepHandOver: releasing and drained to maintenance; the platform may
	// reboot the instance.
	StepHandOver StepKind = "hand-over"
	// StepVerify: the restarted instance's health is to be probed.
	StepVerify StepKind = "verify"
	// StepReturn: back to serving.
	StepReturn StepKind = "return"
)

// Step is an action to take now.
type Step struct {
	Kind     StepKind
	Instance model.InstanceID
	Pool     model.Pool
	Wave     string
	// Done is set on a return after a finished maintenance; a return without
	// it takes back a release that was not handed over.
	Done   bool
	Reason string
}

// LimitName names what made a pool wait.
type LimitName string

// The limits.
const (
	LimitWaveStopped    LimitName = "wave-stopped"
	LimitCanary         LimitName = "canary"
	LimitMaxUnavailable LimitName = "max-unavailable"
	LimitWindow         LimitName = "window-budget"
	LimitDomain         LimitName = "failure-domain"
	LimitPressure       LimitName = "pressure"
	LimitLost           LimitName = "lost"
	LimitPlatform       LimitName = "platform"
)

// Wait says why due work of a pool does not start.
type Wait struct {
	Pool     model.Pool
	Wave     string
	Instance model.InstanceID
	// Customer is empty for limits that are not a customer's.
	Customer model.Customer
	Limit    LimitName
	Current  int64
	Max      int64
	// Unblock says what would end the wait; Until is when the passing of time
	// alone would, or 0.
	Unblock string
	Until   clock.Millis
}

// Stop says that a wave starts nothing more, and why.
type Stop struct {
	Wave    string
	Touched Tally
	Peers   Tally
	Reason  string
}

// UnmetDeadline says that a deadline cannot be met by the limits as they stand.
type UnmetDeadline struct {
	Wave     string
	Customer model.Customer
	// Pool is set for the periodic wave, which is checked by pool.
	Pool model.Pool
	// Remaining is the number of the customer's instances still to be
	// maintained.
	Remaining int
	Deadline  clock.Millis
	// Estimate is when the last would be done; 0 for never.
	Estimate clock.Millis
	Reason   string
}

// Plan is the outcome of a pass.
type Plan struct {
	Steps          []Step
	Waits          []Wait
	Stops          []Stop
	UnmetDeadlines []UnmetDeadline
	// NextPassAt is when the next pass is needed if nothing changes; 0 for never.
	NextPassAt clock.Millis
}
