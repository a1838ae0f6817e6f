package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record collects what the stand-ins sent, answered and ran.
type record struct {
	mu    sync.Mutex
	begun time.Time
	lines []string
	runs  map[string][]*run
	// jobs holds what clients have sent, and cancelled the times at which cancels were
	// acknowledged.
	jobs      map[string]job
	cancelled map[string]time.Time
	// breaks holds what breaks a rule.
	breaks []string
}

func newRecord() *record {
	return &record{begun: time.Now(), runs: map[string][]*run{}, jobs: map[string]job{}, cancelled: map[string]time.Time{}}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(format, args...)
}

func (r *record) addLocked(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", time.Since(r.begun).Seconds())+fmt.Sprintf(format, args...))
}

// broken notes that a rule was broken.
func (r *record) broken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brokenLocked(format, args...)
}

func (r *record) brokenLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.breaks = append(r.breaks, text)
	r.addLocked("RULE BROKEN: %s", text)
}

// write writes the record to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, l := range r.lines {
		fmt.Fprintln(f, l)
	}
	return f.Close()
}
