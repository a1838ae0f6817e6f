// Package entry holds the dispatcher of an entry process, which owns admission,
// routing and the announcements of the upstreams in its zone.
package entry
