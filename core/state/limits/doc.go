// Package limits derives every limit of a customer from its contract, keeps
// the derivation as data, and judges whether a contract can be kept by the
// fleet next to all other contracts.
package limits
