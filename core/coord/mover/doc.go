// Package mover is the duty of the control group's leader that turns
// decisions into steps of the replicated log: it enrols announced instances,
// finishes releases once every entry process of the zone confirmed them, and
// hands instances to the platform for maintenance.
package mover
