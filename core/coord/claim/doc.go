// Package claim claims idempotency keys from the control group on behalf of an
// entry process. It batches claims and outcomes, so that requests which arrive
// together share the cost of a quorum write.
package claim
