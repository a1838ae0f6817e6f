// Package heap provides a generic binary heap, used for timers and priority
// queues.
package heap
