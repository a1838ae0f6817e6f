package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// The load of playDags: largeJobs jobs are handed in over burstTime, each of which has
// mapSteps independent steps and reduceSteps steps that come after all of these.
const (
	smallJobs   = 5
	largeJobs   = 40
	burstTime   = 4 * time.Second
	mapSteps    = 400
	reduceSteps = 100
	// tries is how often a client sends one call, as the pages' table of requests says.
	tries = 4
	// finishTime is the bound finish_s.
	finishTime = 14 * time.Second
)

// largeJob returns a job whose last steps come after all of the first ones.
func largeJob() job {
	j := job{Spec: specOf(work{Ms: 300, CPU: 500})}
	var all []int
	for i := range mapSteps {
		j.Steps = append(j.Steps, step{Count: 1, CPU: 500, MemMb: 10, EstimateMs: 300})
		all = append(all, i)
	}
	for range reduceSteps {
		j.Steps = append(j.Steps, step{Count: 1, CPU: 500, MemMb: 10, EstimateMs: 300, After: all})
	}
	return j
}

// submitOnce hands a job in with the tries of one client.
func (s *system) submitOnce(id string, j job) bool {
	body, _ := json.Marshal(j)
	s.rec.mu.Lock()
	s.rec.jobs[id] = j
	s.rec.mu.Unlock()
	for n := range tries {
		if s.call(n, http.MethodPost, id, host, body).status == http.StatusOK {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// ask asks for the states of accepted jobs, with the tries of one client for each.
func (s *system) ask(ids []string) {
	var wg sync.WaitGroup
	for _, id := range ids {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range tries {
				if s.state(n, id, host) != "" {
					return
				}
			}
			s.rec.broken("LOST: the accepted job %s gets no answer in %d tries of 3 s", id, tries)
		}()
	}
	wg.Wait()
}

// playDags hands in a few small jobs and, once these are completed, a burst of large ones.
// Then it asks for the accepted jobs.
func playDags(s *system, trouble bool) error {
	minions := newMinions(s, 9)
	for _, m := range minions {
		m.cpu, m.mem = 16000, 32000
	}
	c, err := startCloud(s, minions)
	if err != nil {
		return err
	}
	defer func() { _ = c.server.Close() }()
	if err := s.launch(); err != nil {
		return err
	}
	for _, m := range minions {
		m.start()
		defer m.crash()
	}
	time.Sleep(2 * time.Second)
	small := job{Spec: specOf(work{Ms: 300, CPU: 500}), Steps: []step{{Count: 2, CPU: 500, MemMb: 100, EstimateMs: 300}}}
	var accepted []string
	for n := range smallJobs {
		if !s.submitOnce(jobID(n), small) {
			return fmt.Errorf("a small job was not accepted")
		}
		accepted = append(accepted, jobID(n))
	}
	time.Sleep(2 * time.Second)
	if trouble {
		j := largeJob()
		body, _ := json.Marshal(j)
		s.rec.add("each of %d large jobs has %d bytes", largeJobs, len(body))
		var wg sync.WaitGroup
		var mu sync.Mutex
		large := 0
		for n := range largeJobs {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if s.submitOnce(jobID(100+n), j) {
					mu.Lock()
					defer mu.Unlock()
					if large++; large <= smallJobs {
						accepted = append(accepted, jobID(100+n))
					}
				}
			}()
			time.Sleep(burstTime / largeJobs)
		}
		wg.Wait()
		s.rec.add("%d large jobs were accepted", large)
	}
	s.rec.add("the traffic ends")
	time.Sleep(finishTime)
	s.ask(accepted)
	time.Sleep(5 * time.Second)
	s.ask(accepted)
	s.rec.count()
	s.addLoads()
	return nil
}

// addLoads adds what the leader logs of its load to the record.
func (s *system) addLoads() {
	b, _ := os.ReadFile(filepath.Join(s.dir, "processes.log"))
	for line := range strings.Lines(string(b)) {
		if strings.Contains(line, "msg=leader-load") {
			s.rec.add("log: %s", strings.TrimSpace(line))
		}
	}
}
