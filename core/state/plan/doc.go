// Package plan decides which instances belong to which pool. Assign fills and
// spreads the pools that contracts promise, also after losses, with few moves.
// Surge decides what to do about a pool whose demand exceeds its capacity: let
// requests queue, lend spare instances, or move instances of another pool.
//
// Both depend on the replicated state alone. The extras that Surge grants are
// an input of Assign, so that neither undoes what the other did.
package plan
