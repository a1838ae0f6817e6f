// Package entry holds the duties of an entry process. The dispatcher owns
// admission, routing and the announcements of the zone.
package entry
