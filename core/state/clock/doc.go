// Package clock provides the time type of the project and the only code that
// reads the machine's clock. All times and durations are in milliseconds.
package clock
