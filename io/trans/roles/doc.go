// Package roles wires the duties and servers of a server role together and
// runs them under oklog/run until a signal asks for a graceful stop.
package roles
