// Package entry implements the dispatcher of an entry process. The dispatcher
// admits the requests of customers, selects an upstream for each, lends slots to
// and borrows slots from other entry processes, and keeps the announcements of the
// upstreams in its zone.
package entry
