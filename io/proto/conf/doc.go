// Package conf reads the settings of the server roles and the contract files,
// both INI, into plain structs. One table of keys per kind of file drives
// parsing, checking and the reference in docs/settings.md. All errors of a
// file are reported in one run.
package conf
