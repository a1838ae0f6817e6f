// Package mover is the control loop that changes the instances of the fleet. It
// runs on the leader of the control group and proposes changes to the replicated
// log: it adds announced instances to the fleet, marks lost ones, moves instances
// between pools, and hands them over to the platform for maintenance. A released
// instance moves on only after every entry process of its zone has confirmed the
// release.
package mover
