// Package roles assembles the components of each server role (control process,
// entry process, entry process for submitters) and runs them under oklog/run
// until a signal requests a graceful stop.
package roles
