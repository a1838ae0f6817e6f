// Package trail implements the event time line: a hybrid logical clock, the
// bounded event log of a process, and the merge of the events of all processes
// in causal order. Its pure functions explain what happened to a customer, an
// instance or a request, which limits were reached and which actions resolve
// them, and compute statistics on contract changes and maintenance.
package trail
