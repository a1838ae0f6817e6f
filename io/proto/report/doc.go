// Package report renders the state of the system for operators: text in
// aligned columns, JSON with stable key order, and one self-contained HTML
// page of the time line. It also holds the JSON codec of events.
package report
