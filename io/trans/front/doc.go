// Package front is the HTTP front end for callers. It validates requests, gets
// an upstream from the dispatcher, sends each request to run at most once, and
// reports a reliable outcome to the caller.
package front
