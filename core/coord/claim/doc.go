// Package claim is the duty of an entry process that claims idempotency keys
// at the control group. It batches claims and outcomes, so that the cost of a
// quorum write is shared by the requests that arrive together.
package claim
