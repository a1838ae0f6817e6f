// Package follow connects an entry process to the control group. A Poller keeps the
// configuration table up to date: it fetches the table from control members, or from
// the other entry processes of the zone while no control member answers. A Reporter
// sends the state of the process to the leader.
package follow
