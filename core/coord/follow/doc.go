// Package follow keeps the configuration table of an entry process current. A
// poller asks control members, and the entry processes of the own zone while
// no control member answers; a reporter tells the leader what the process
// runs.
package follow
