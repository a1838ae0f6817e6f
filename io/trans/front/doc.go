// Package front is the HTTP front end for callers: it checks requests, asks
// the dispatcher, sends each request at most once and says truthfully what
// became of it.
package front
