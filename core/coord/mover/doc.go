// Package mover is the control loop that changes the instances of the fleet. It
// runs on the leader of the control group and proposes changes to the replicated
// log: it adds announced instances to the fleet, marks lost ones, moves instances
// between pools, and hands them over to the platform for maintenance. An instance
// that was released for a move or for maintenance waits until every entry process
// of its zone has confirmed the release.
package mover
