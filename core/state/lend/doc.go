// Package lend manages loans of an upstream's slots between entry processes. A
// loan ends when the borrower returns it or by time, never because the lender
// assumes that the borrower is gone: the lender leaves the slots unused until the
// loan is returned, or until its lease and after that the duration of the longest
// request that may run on it have passed.
package lend
