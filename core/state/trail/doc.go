// Package trail is the time line: a hybrid logical clock, the bounded log of a
// process's events, the causal merge of the events of all processes, and pure
// functions that explain what happened to a customer, an instance or a
// request, which limit bound and what would unblock it.
package trail
