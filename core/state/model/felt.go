package model

// Felt is what an entry process saw of callers and instances since it was
// last asked.
type Felt struct {
	Customers []CustomerFelt
	Instances []InstanceTally
}

// CustomerFelt counts the requests of one customer.
type CustomerFelt struct {
	Customer Customer
	Asks     int64
	// Suffered counts those that were refused for lack of capacity or time, or
	// whose outcome is unknown; at most Asks. Refusals by a limit of the
	// contract do not count.
	Suffered int64
}

// InstanceTally counts the requests that one instance ran.
type InstanceTally struct {
	Instance InstanceID
	Calls    int64
	// Failures is at most Calls.
	Failures int64
}
