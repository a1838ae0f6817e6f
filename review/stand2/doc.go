// Command stand2 plays the cases of the second review. It starts the project's own
// programs as separate processes on loopback addresses, and plays the minions, the
// platform, the clients and the operator towards them.
//
//	review-stand-2 CASE FOLDER
//
// It writes what was sent, answered and run to record.txt in FOLDER. The exit status is
// 0 if the rule of the case held, 1 if it was broken and 2 if the case could not run.
// With TROUBLE=0 in the environment the case plays without its disruption.
package main
