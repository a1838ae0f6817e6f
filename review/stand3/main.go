package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// script plays one case. It returns an error if the case couldn't run.
type script func(s *system, trouble bool) error

var scripts = map[string]script{
	"dags":    playDags,
	"same-id": playSameID,
	"boot":    playBoot,
	"soak":    playSoak,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "the case to play")
	root := flag.String("root", ".", "the root of the repository")
	out := flag.String("record", "record.txt", "the file to which the record is written")
	flag.Parse()
	f := scripts[*name]
	if f == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return exitCannot
	}
	abs, err := filepath.Abs(*root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	rec := newRecord()
	s, err := newSystem(abs, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	err = f(s, os.Getenv("TROUBLE") != "0")
	s.stop()
	status := exitHeld
	switch {
	case err != nil:
		rec.add("the case couldn't run: %v", err)
		status = exitCannot
	case len(rec.breaks) > 0:
		status = exitBroken
	}
	rec.add("exit status %d", status)
	if err := rec.write(*out); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	for _, b := range rec.breaks {
		fmt.Println(b)
	}
	if err != nil {
		fmt.Println(err)
	}
	return status
}
