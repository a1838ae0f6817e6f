package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// step is a step of a job.
type step struct {
	Count         int   `json:"count"`
	CPU           int   `json:"cpu"`
	MemMb         int   `json:"memMb"`
	EstimateMs    int   `json:"estimateMs"`
	After         []int `json:"after,omitempty"`
	Gang          bool  `json:"gang,omitempty"`
	Checkpointing bool  `json:"checkpointing,omitempty"`
	LongRunning   bool  `json:"longRunning,omitempty"`
	MayMiss       int   `json:"mayMiss,omitempty"`
	AntiAffinity  int   `json:"antiAffinity,omitempty"`
}

type job struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	Times      int    `json:"times,omitempty"`
	FirstRunMs int64  `json:"firstRunMs,omitempty"`
	IntervalMs int64  `json:"intervalMs,omitempty"`
}

func specOf(w work) string {
	b, _ := json.Marshal(w)
	return string(b)
}

// call makes a client's call at the entry process n.
func (s *system) call(n int, method, id, queueHost string, body []byte) reply {
	e := s.entries[n%len(s.entries)]
	r := send(method, fmt.Sprintf("%s:%d", e.ip, frontPort), "/q/"+id, queueHost, map[string]string{"Deadline-Ms": "3000"}, body, 3*time.Second)
	s.rec.add("client: %s %s at entry %s: status %d %s", method, id, e.ip, r.status, r.body)
	return r
}

// submit hands a job in until it is accepted or the time is over.
func (s *system) submit(id, queueHost string, j job, until time.Time) bool {
	body, _ := json.Marshal(j)
	s.rec.mu.Lock()
	s.rec.jobs[id] = j
	s.rec.mu.Unlock()
	for n := 0; time.Now().Before(until); n++ {
		if r := s.call(n, http.MethodPost, id, queueHost, body); r.status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state returns the state of a job as the entry process n shows it; empty for none.
func (s *system) state(n int, id, queueHost string) string {
	r := s.call(n, http.MethodGet, id, queueHost, nil)
	var v struct {
		State string `json:"state"`
	}
	if r.status != http.StatusOK || json.Unmarshal(r.body, &v) != nil {
		return ""
	}
	return v.State
}

func jobID(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }
