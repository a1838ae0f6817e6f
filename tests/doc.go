// Package tests tests a system of real processes. The tests kill processes,
// freeze them, partition them with relays and empty their data folders. They
// check which requests ran by the records of the stand-in upstreams.
package tests
