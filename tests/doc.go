// Package tests holds the tests with real processes: they are killed, frozen,
// cut off by relays and given empty data folders. The stand-in upstreams' own
// records are the judge of what ran.
package tests
