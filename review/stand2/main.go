package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseTimeout is the longest time that a case may take.
const caseTimeout = 110 * time.Second

// cases holds the cases by name. A case returns an error if it could not run.
var cases = map[string]func(*system) error{
	"foreign-heartbeat": playForeignHeartbeat,
	"gang-reservation":  playGangReservation,
	"foreign-entries":   playForeignEntries,
	"soak":              playSoak,
	"large-jobs":        playLargeJobs,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand-2 CASE FOLDER")
		return exitFailed
	}
	rec, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	s, err := newSystem(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.note("the case could not run: %v", err)
		return exitFailed
	}
	defer s.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	ended := make(chan error, 1)
	go func() { ended <- cases[args[0]](s) }()
	select {
	case err = <-ended:
	case <-signals:
		err = fmt.Errorf("the case was interrupted")
	case <-time.After(caseTimeout):
		err = fmt.Errorf("the case took longer than %v", caseTimeout)
	}
	if err != nil {
		rec.note("the case could not run: %v", err)
		return exitFailed
	}
	return rec.verdict()
}
