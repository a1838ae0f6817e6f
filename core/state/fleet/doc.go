// Package fleet is the replicated state machine: contracts, instances,
// maintenance declarations, remembered results and idempotency claims. Apply
// is a pure function of the state, the index and the change, so that every
// replica ends in the same state.
package fleet
