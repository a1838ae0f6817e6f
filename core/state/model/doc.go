// Package model defines the types of the domain: plain structs with no behaviour
// beyond their names and simple derived values.
package model
