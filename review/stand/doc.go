// Command stand plays the cases of the review that cannot be put as a day. It starts
// the project's own programs as separate processes on loopback addresses, and stands in
// for workers, clients, operators, the platform's machine interface and the network.
//
//	stand CASE DIR
//
// CASE names the case, and DIR is the folder in which record.txt is written. The exit
// status is 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
// TROUBLE=0 in the environment the case runs without its disruption.
package main
