package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// maxRunTime is the time after which a case is given up.
const maxRunTime = 100 * time.Second

// caseFunc plays a case. It returns whether the rule was broken; an error means that the
// case could not run.
type caseFunc func(s *system, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{
	"held-submission":   playHeldSubmission,
	"lost-answer":       playLostAnswer,
	"foreign-heartbeat": playForeignHeartbeat,
	"escaped-spec":      playEscapedSpec,
	"large-reply":       playLargeReply,
	"replaced-voter":    playReplacedVoter,
	"stuck-wave":        playStuckWave,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE DIR")
		os.Exit(statusNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(play caseFunc, dir string, trouble bool) int {
	rec, err := newRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer rec.close()
	s, err := newSystem(rec)
	if err != nil {
		rec.note("the case could not run: %v", err)
		return statusNotRun
	}
	defer s.stop()
	type outcome struct {
		broken bool
		err    error
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	done := make(chan outcome, 1)
	go func() {
		broken, err := play(s, trouble)
		done <- outcome{broken, err}
	}()
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			rec.note("the case could not run: %v", o.err)
			return statusNotRun
		case o.broken:
			rec.note("the rule was broken")
			return statusBroken
		}
		rec.note("the rule held")
		return statusHeld
	case x := <-interrupted:
		rec.note("the case could not run: %v", x)
		return statusNotRun
	case <-time.After(maxRunTime):
		rec.note("the case could not run: it took more than %v", maxRunTime)
		return statusNotRun
	}
}
