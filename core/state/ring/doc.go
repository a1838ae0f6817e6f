// Package ring provides the bounded ring buffer that passes values between
// goroutines.
package ring
