// Package claim claims idempotency keys at the control group for an entry process.
// It batches claims and outcomes, so that requests which arrive together share the
// cost of a quorum write.
package claim
