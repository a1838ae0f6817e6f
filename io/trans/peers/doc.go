// Package peers holds the twirp servers and clients between the system's own
// processes and for operators, and the HTTP handler for announcements. It
// maps errors and messages only; every decision is made by the duties behind
// it.
package peers
