// Package ring provides the bounded queue that passes values between goroutines.
package ring
