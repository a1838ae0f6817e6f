// Package front is the HTTP front end for callers. It validates requests, gets
// an upstream for each from the dispatcher, sends it so that it runs at most
// once, and reports a reliable outcome to the caller.
package front
