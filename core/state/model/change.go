package model

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// MaxChangeBytes is the largest size of an encoded change in the log. The limits for the
// parts of a change are below it, and the limit for requests between control processes is
// above it: no member would receive a larger change, and the group would commit nothing
// after it.
const MaxChangeBytes = 12 << 20

// ChangeKind is the kind of a change of the replicated state.
type ChangeKind int

// The kinds of change.
const (
	// ChangeNone changes nothing but the index and time of the state.
	ChangeNone ChangeKind = iota
	ChangeContractApply
	ChangeContractRemove
	ChangeMaintenanceDeclare
	ChangeMaintenanceCancel
	ChangeInstances
	ChangeClaims
	ChangeOutcomes
	// ChangeProcessGone declares that every run of an entry process that started
	// before the change has ended for good.
	ChangeProcessGone
	// ChangeJobs carries a batch of operations on submitted jobs.
	ChangeJobs
)

// Change is one entry of the replicated log. Besides the common fields, only the
// fields that belong to Kind are set.
type Change struct {
	Kind ChangeKind
	// Time is the leader's clock when it proposed the change. Replicas use it
	// instead of their own clocks so that their states stay equal.
	Time clock.Millis
	// Request identifies the change across resends; empty for changes that the
	// system itself makes.
	Request RequestID
	// Author names who made the change.
	Author string
	// Base is the version of the object that the change is based on; 0 for an
	// object that does not exist.
	Base Version
	// Note describes the shortfalls of a contract that the leader accepted in
	// spite of them. It becomes the Reason of the result.
	Note        string
	Contract    Contract
	Customer    Customer
	Maintenance Maintenance
	Instances   []InstanceStep
	Claims      []Claim
	Outcomes    []ClaimOutcome
	// Process is the entry process that makes the claims, and Incarnation its
	// incarnation. For ChangeProcessGone, Process is the process that is gone.
	Process     Process
	Incarnation uint64
	// Ops are applied in order at Time.
	Ops []jobs.Op
}

// InstanceStep replaces the record of one instance, usually to move it to its next
// phase. Base must be the version of the instance, or 0 to enrol it.
type InstanceStep struct {
	Base     Version
	Instance Instance
}

// ClaimKey is an idempotency key with its scope, the customer and the service.
type ClaimKey struct {
	Customer Customer
	Service  Pool
	Key      string
}

// Claim requests the exclusive right to run the request with the idempotency key.
type Claim struct {
	Key ClaimKey
	// Token identifies this attempt. A claim that was already granted to the same
	// token is granted again.
	Token string
	// Owner is the entry process that runs the request.
	Owner Process
}

// ClaimState is the known state of a claimed request.
type ClaimState int

// The states of a claim.
const (
	// ClaimRunning: the request may still be running.
	ClaimRunning ClaimState = iota
	// ClaimDone: a complete response was received and its HTTP status is known.
	ClaimDone
	// ClaimUnknown: the request may have run; its outcome is not known.
	ClaimUnknown
)

// ClaimOutcome reports how a claimed request ended. It closes the claim, or releases
// it if NotRun is set.
type ClaimOutcome struct {
	Key   ClaimKey
	Token string
	// NotRun releases the claim: the request did not run.
	NotRun bool
	State  ClaimState
	// Status is the HTTP status of the response if State is ClaimDone.
	Status int
}

// ClaimAnswer is the answer to a claim.
type ClaimAnswer struct {
	// Granted is set if the claimant may run the request.
	Granted bool
	// FirstState is the state of the request that holds the key, if the claim was
	// not granted.
	FirstState ClaimState
	// Status is the HTTP status of that request if FirstState is ClaimDone.
	Status int
}

// ResultKind is the kind of result of a change.
type ResultKind int

// The kinds of result.
const (
	ResultApplied ResultKind = iota
	ResultConflict
	ResultInvalid
)

// Result is the result of a change. It is part of the replicated state, so that a
// resent change gets the same result.
type Result struct {
	Kind    ResultKind
	Version Version
	// Winner names the author of the change that won a conflict.
	Winner string
	// DifferingFields lists the settings that differ from those of the winner.
	DifferingFields []string
	Reason          string
	Claims          []ClaimAnswer
}
