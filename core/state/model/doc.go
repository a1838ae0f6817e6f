// Package model holds the domain types: plain structs without behaviour of
// their own beyond names and small derivations.
package model
