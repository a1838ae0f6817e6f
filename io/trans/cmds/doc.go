// Package cmds implements the subcommands of the program: the server roles, the
// check of settings, contract and job files, and the commands for operators.
package cmds
