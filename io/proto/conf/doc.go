// Package conf parses the INI files of the system into structs: the settings of
// entry and control processes, contracts, and jobs. For each kind of file, one
// table of keys is the source for parsing, for checking and for the reference page
// docs/settings.md. All problems of a file are reported at once.
package conf
