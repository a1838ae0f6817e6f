package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The burst of playLargeJobs: a job each burstGap for burstTime, with largeSteps steps.
const (
	burstTime  = 4 * time.Second
	burstGap   = 22 * time.Millisecond
	largeSteps = 990
	// killAfter is when the control processes are killed, and downTime how long they are
	// down.
	killAfter = time.Second
	downTime  = 3 * time.Second
)

// playLargeJobs plays a burst of large jobs, each within maxBodyBytes, during which all
// control processes are killed, and checks that the system answers again. It is a trial
// and no case: it holds, unless HASTY=1 makes the clients come back sooner than they are
// told, as no sound client does.
func playLargeJobs(s *system) error {
	for i := range 8 {
		s.fleet.add(&minion{id: fmt.Sprintf("i-%08x", i+1), machine: fmt.Sprintf("m-%05x", i+1), pool: "huvo11a", labels: []string{"a", fmt.Sprintf("r1-%d", i/2)}, cpu: 16000, mem: 32768, guards: true})
	}
	if err := s.configure([]route{{name: "r-1", prefix: batchQueue, service: "huvo11a", attempts: 4, stretch: 1.6}}, []service{{name: "huvo11a", guards: true}}); err != nil {
		return err
	}
	if err := s.waitReady(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	large := largePlan()
	body := large.body()
	s.rec.note("each job has %d bytes", len(body))
	if s.trouble {
		time.AfterFunc(killAfter, s.killControls)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	var accepted []string
	for n, end := 0, time.Now().Add(burstTime); time.Now().Before(end); n++ {
		id := fmt.Sprintf("%016x", 0x7000+n)
		s.fleet.know(id, large, 4)
		wg.Add(1)
		go func() {
			defer wg.Done()
			status, _ := s.client(http.MethodPost, batchQueue+id, body)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
			if status == http.StatusOK {
				accepted = append(accepted, id)
			}
		}()
		time.Sleep(burstGap)
	}
	wg.Wait()
	s.rec.note("the traffic has ended; the clients' last answers by status: %v", statuses)
	if len(accepted) == 0 {
		return fmt.Errorf("no job was accepted")
	}
	time.Sleep(finishBound)
	s.askFor(accepted[:min(len(accepted), 4)])
	return nil
}

// killControls kills all control processes and starts them again after downTime, with
// their disks.
func (s *system) killControls() {
	for _, p := range s.controls {
		s.kill(p)
	}
	time.Sleep(downTime)
	for _, p := range s.controls {
		if err := s.start(p); err != nil {
			s.rec.note("%s did not start: %v", p.ip, err)
		}
	}
}

// largePlan returns a job of many small steps, one after the other, each of which names
// its image in full.
func largePlan() *plan {
	p := &plan{}
	for i := range largeSteps {
		x := step{Count: 1, CPU: 100, Mem: 16, Millis: 50, Image: strings.Repeat("registry.example/batch/", 8) + strconv.Itoa(i)}
		if i > 0 {
			x.After = []int{i - 1}
		}
		p.Steps = append(p.Steps, x)
	}
	return p
}

// askFor asks for the state of jobs until each has got an answer, for as long as a client
// asks after finish_s.
func (s *system) askFor(ids []string) {
	const askTime = 25 * time.Second
	missing := map[string]string{}
	for _, id := range ids {
		missing[id] = ""
	}
	for end := time.Now().Add(askTime); len(missing) > 0 && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for id := range missing {
			if missing[id] = s.state(batchQueue + id); missing[id] != "503" && missing[id] != "504" && missing[id] != "0" {
				s.rec.note("job %s is shown as %s", id, missing[id])
				delete(missing, id)
			}
		}
	}
	for id, last := range missing {
		s.rec.broken("LOST", "job %s was accepted and gets no answer from %v to %v after the end of the traffic; the last status is %s", id, finishBound, finishBound+askTime, last)
	}
	for _, a := range s.controlAddresses() {
		status, _ := send(http.MethodGet, "http://"+a+"/camphorridge/config", "", "", 2*time.Second)
		s.rec.note("operator: GET /camphorridge/config at %s: %d", a, status)
	}
}
