// Package model defines the types of the domain: plain structs whose methods only
// return names and simple derived values.
package model
