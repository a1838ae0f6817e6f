// Package limits derives every limit of a customer from its contract, keeps the
// derivation as data, and evaluates whether the fleet can satisfy a contract
// together with all other contracts.
package limits
