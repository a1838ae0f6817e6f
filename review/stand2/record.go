package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what happens to a file, and collects the breaks of rules.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	breaks  int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, started: time.Now()}, nil
}

// note writes one line with the seconds since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(fmt.Sprintf(format, args...))
}

func (r *record) write(line string) {
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), line)
}

// broken writes the break of a rule.
func (r *record) broken(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks++
	r.write("BROKEN " + rule + ": " + fmt.Sprintf(format, args...))
}

// verdict writes whether a rule was broken and returns the exit status.
func (r *record) verdict() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.breaks > 0 {
		r.write(fmt.Sprintf("verdict: broken, %d times", r.breaks))
		return exitBroken
	}
	r.write("verdict: held")
	return exitHeld
}

func (r *record) close() { _ = r.file.Close() }
