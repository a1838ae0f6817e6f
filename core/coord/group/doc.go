// Package group is the duty that drives consensus and storage of a control
// member.
package group
