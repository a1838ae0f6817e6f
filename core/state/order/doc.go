// Package order provides a sorted list whose readers skip the parts in which they
// find nothing, so that the cost of a look depends little on the length of the list.
package order
