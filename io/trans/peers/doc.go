// Package peers holds the Twirp servers and clients that the control processes,
// entry processes and operators' commands use to talk to each other, and the
// HTTP handler for announcements. It converts messages and maps errors; the
// components behind its interfaces make all decisions.
package peers
