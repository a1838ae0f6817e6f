package model

import "camphorridge/core/state/clock"

// LoadReport is what an entry process saw of callers and instances since it was
// last asked.
type LoadReport struct {
	Customers []CustomerLoad
	Instances []InstanceTally
}

// CustomerLoad counts the requests of one customer.
type CustomerLoad struct {
	Customer Customer
	Requests int64
	// Impaired counts those that were refused for lack of capacity or time, or
	// whose outcome is unknown; at most Asks. Refusals by a limit of the
	// contract do not count.
	Impaired int64
}

// InstanceTally counts the requests that one instance ran.
type InstanceTally struct {
	Instance InstanceID
	Calls    int64
	// Failures is at most Calls.
	Failures int64
}

// PoolDemand is what callers ask of a pool, as one entry process sees it.
type PoolDemand struct {
	Pool Pool
	// Running and Waiting are requests in flight and in queues.
	Running int
	Waiting int
	// Refused counts the requests that were refused for lack of capacity or
	// time since the last report.
	Refused int
	// TypicalRunTime is the usual run time of a request; 0 while unknown.
	TypicalRunTime clock.Millis
}
