// Package tests tests a system of real processes. The tests kill processes,
// freeze them, partition them with relays and empty their data folders. They
// use the records of the stand-in upstreams to check which requests ran.
package tests
