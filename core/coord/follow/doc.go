// Package follow keeps the configuration table of an entry process current. A
// poller asks control members, and the entry processes of the own zone while
// no control member answers; a keeper owns the table and never lowers its
// version; a reporter tells the leader what the process runs; a watchdog
// notices that the process was paused.
package follow
