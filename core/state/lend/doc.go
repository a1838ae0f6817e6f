// Package lend decides on loans of an upstream's slots between entry
// processes. A loan ends by a return or by time, never by a guess about the
// other process: the lender keeps the slots unused until the loan was returned,
// or until its lease and the longest request that may run on it have passed.
package lend
