// Package mover turns decisions about instances into steps of the replicated
// log. It runs on the leader of the control group: it adds announced instances
// to the fleet, finishes releases once every entry process of the zone has
// confirmed them, and hands instances over to the platform for maintenance.
package mover
