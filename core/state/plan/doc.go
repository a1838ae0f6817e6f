// Package plan decides which instances belong to which pool. Assign and
// AssignFromIndex fill the pools that contracts promise and spread them over
// failure domains, also after losses, with few moves. Surge decides what to do
// about a pool whose demand exceeds its capacity: let requests queue, lend spare
// instances, or move instances of another pool.
//
// Assignments depend only on the replicated state and on the extra instances that
// Surge grants, so that neither undoes what the other did. Surge depends only on
// the replicated state, the demand and the time.
package plan
