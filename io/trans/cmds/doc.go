// Package cmds holds the subcommands of the program: the server roles, the
// check of settings and contracts, and the commands of operators.
package cmds
