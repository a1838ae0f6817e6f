// Command camphorridge is the fleet capacity and maintenance manager: its
// server roles and the commands of operators.
package main

import (
	"os"

	"camphorridge/io/trans/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
