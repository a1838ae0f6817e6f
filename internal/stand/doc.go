// Package stand holds the stand-in upstream, platform and caller for tests
// and the demo. A stand-in upstream announces itself, keeps a record of every
// request that it ran, and fails in the ways that a request asks for.
package stand
