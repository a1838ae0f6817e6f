// Package codec maps the domain types to the messages of package wirepb and
// back, by hand, for transfers between processes and for stored records.
// Decoding checks names and enumerations, so that what comes from it is safe
// to hand to decisions; it never panics on arbitrary bytes.
package codec
