package model

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// ChangeKind tells the changes of the replicated state apart.
type ChangeKind int

// The kinds of change.
const (
	ChangeNone ChangeKind = iota
	ChangeContractApply
	ChangeContractRemove
	ChangeMaintenanceDeclare
	ChangeMaintenanceCancel
	ChangeInstances
	ChangeClaims
	ChangeOutcomes
	// ChangeProcessGone says that every run of an entry process that started
	// before the change has ended for good.
	ChangeProcessGone
	// ChangeJobs carries a batch of operations on submitted work.
	ChangeJobs
)

// Change is one entry of the replicated log. The field that belongs to Kind
// is set; the others are empty.
type Change struct {
	Kind ChangeKind
	// Time is the leader's clock at proposal; replicas use it in place of
	// their own so that they stay equal.
	Time clock.Millis
	// Request identifies the change across resends; empty for changes that
	// the system makes itself.
	Request RequestID
	// Author names who made the change.
	Author string
	// Base is the version of the object that the change was made against; 0
	// for an object that does not exist.
	Base Version
	// Note is what the leader states when it accepts a contract that falls
	// short; it becomes the reason of the result.
	Note        string
	Contract    Contract
	Customer    Customer
	Maintenance Maintenance
	Instances   []InstanceStep
	Claims      []Claim
	Outcomes    []ClaimOutcome
	// Process and Run name the entry process that claims, and its incarnation;
	// Process alone names one that is gone.
	Process     Process
	Incarnation uint64
	// Ops are applied in order at Time.
	Ops []jobs.Op
}

// InstanceStep moves one instance from one phase to the next. Base must be
// the version of the instance, or 0 to enrol it.
type InstanceStep struct {
	Base     Version
	Instance Instance
}

// ClaimKey is the scope of an idempotency key.
type ClaimKey struct {
	Customer Customer
	Service  Pool
	Key      string
}

// Claim asks for the sole right to run the request that carries the key.
type Claim struct {
	Key ClaimKey
	// Token identifies this attempt; the answer to a claim that was already
	// granted to the same token is a grant.
	Token string
	// Owner is the entry process that runs the request.
	Owner Process
}

// ClaimState is what is known of a claimed request.
type ClaimState int

// The states of a claim.
const (
	ClaimRunning ClaimState = iota
	ClaimDone
	ClaimUnknown
)

// ClaimOutcome closes or releases a claim.
type ClaimOutcome struct {
	Key   ClaimKey
	Token string
	// NotRun releases the claim: the request did not run.
	NotRun bool
	State  ClaimState
	Status int
}

// ClaimAnswer tells the claimant whether it may run the request.
type ClaimAnswer struct {
	Granted bool
	// FirstState is the state of the request that holds the key.
	FirstState ClaimState
	Status     int
}

// ResultKind tells how a change ended.
type ResultKind int

// The kinds of result.
const (
	ResultApplied ResultKind = iota
	ResultConflict
	ResultInvalid
)

// Result is the answer to a change. It is part of the replicated state, so
// that a resend gets it again.
type Result struct {
	Kind    ResultKind
	Version Version
	// Winner names the author of the change that won a conflict.
	Winner string
	// DifferingFields lists the fields that differ from the winner's.
	DifferingFields []string
	Reason          string
	Claims          []ClaimAnswer
}
