// Package record is the duty that keeps the time line of a process: it stamps
// events, keeps the newest in a bounded log and answers for them.
package record
