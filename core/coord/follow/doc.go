// Package follow keeps the configuration table of an entry process up to date and
// reports to the leader of the control group. A poller fetches the table from control
// members, or from the entry processes of its own zone while no control member
// answers. A reporter sends the state of the process to the leader.
package follow
