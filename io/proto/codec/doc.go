// Package codec converts between the domain types and the protobuf messages of
// package wirepb, with handwritten code, for messages between processes and for
// stored records.
//
// Functions whose names end in ToWire convert a value to its message and never
// fail. Functions whose names end in FromWire convert a message to a value; they
// check required names and enumeration values, so that the rest of the system
// need not check them again. Decoding must not panic on any input.
package codec
