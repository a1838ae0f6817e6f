// Package front is the HTTP front end for callers. It validates each request,
// waits until the dispatcher grants it a slot on an upstream, sends it so that
// it runs at most once, and reports to the caller whether it ran.
package front
