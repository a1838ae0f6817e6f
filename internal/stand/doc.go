// Package stand provides stand-ins for upstreams, the platform that runs them, callers
// and the network between zones, for tests and the demo. A stand-in upstream announces
// itself, records every request that it handles, and injects the fault that a
// request's headers name.
package stand
