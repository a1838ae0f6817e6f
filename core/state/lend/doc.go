// Package lend manages loans of an upstream's slots between entry processes. A
// loan ends by a return or by time, never by an assumption about the other
// process: the lender leaves the slots unused until the loan was returned, or
// until its lease and the longest request that may run on it have passed.
package lend
