package model

import "camphorridge/core/state/clock"

// LoadReport counts the requests that an entry process handled since its last
// report, by customer and by instance.
type LoadReport struct {
	Customers []CustomerLoad
	Instances []InstanceTally
}

// CustomerLoad counts the requests of one customer.
type CustomerLoad struct {
	Customer Customer
	Requests int64
	// Unserved counts the requests that were refused for lack of capacity or time,
	// that timed out, or whose outcome is unknown; at most Requests. Refusals by a
	// limit of the contract and errors that an instance answered do not count.
	Unserved int64
}

// InstanceTally counts the requests that one instance ran.
type InstanceTally struct {
	Instance InstanceID
	Calls    int64
	// Failures is at most Calls.
	Failures int64
}

// PoolDemand is the demand for a pool at one entry process.
type PoolDemand struct {
	Pool Pool
	// Running is the number of requests in flight, Waiting that of queued requests.
	Running int
	Waiting int
	// Refused counts the requests that were refused for lack of capacity or time
	// since the last report.
	Refused int
	// TypicalRunTime is the smoothed run time of a request; 0 while unknown.
	TypicalRunTime clock.Millis
}
