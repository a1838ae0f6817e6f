// Package codec converts between the domain types and the protobuf messages of
// package wirepb, with handwritten code, for messages between processes and for
// stored records.
//
// Functions named ToWire return the message of a value and never fail. Functions
// named FromWire return the value of a message; they check required names and
// enumeration values, so that the code that takes decisions can rely on them.
// Decoding never panics on arbitrary bytes.
package codec
