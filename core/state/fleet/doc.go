// Package fleet is the replicated state machine: contracts, instances,
// maintenance declarations, results of changes, idempotency claims and jobs.
// Apply depends only on the state, the index and the change, so all replicas
// that apply the same log reach the same state.
package fleet
