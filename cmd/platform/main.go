// Command platform runs a process of the system on the users' platform. Its only
// argument is the role of the process: control or entry.
package main

import (
	"fmt"
	"io"
	"os"

	"camphorridge/platform"
)

// Exit statuses.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errOut io.Writer) int {
	runners := map[string]func(platform.Settings, io.Writer) error{
		"control": platform.RunControl, "entry": platform.RunEntry,
	}
	if len(args) != 1 || runners[args[0]] == nil {
		fmt.Fprintln(errOut, "usage: platform control|entry")
		return exitUsage
	}
	s, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	if err := runners[args[0]](s, out); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return 0
}
