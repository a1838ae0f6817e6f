// Package trail implements the event timeline: a hybrid logical clock, the bounded
// event log of a process, and the merge of the events of all processes in causal
// order. From merged events and the current state, it explains what happened to a
// customer, an instance or a request, which limits were reached and what an operator
// can do about them, and it computes statistics on contract changes and
// maintenance.
package trail
