// Package heap holds a generic binary heap for what falls due or waits its
// turn.
package heap
