// Command stand3 plays the scripts of the third review. It starts the system's own
// processes on loopback addresses, stands in for minions, the platform, clients and the
// operator, and checks one rule of the users' pages by what these have seen.
package main
