package main

import (
	"fmt"
	"net/http"
	"time"
)

// playForeign runs a job of long tasks on all minions. Then another writer's heartbeat
// arrives that names the machine of one of them, with fields missing.
func playForeign(s *system, trouble bool) error {
	minions := newMinions(s, 6)
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
	spec := specOf(work{Ms: 12000, CPU: 3000})
	if !s.submit(jobID(1), host, job{Spec: spec, Steps: []step{{Count: 3, CPU: 3000, MemMb: 100, EstimateMs: 12000}}}, time.Now().Add(10*time.Second)) {
		return fmt.Errorf("the job was not accepted")
	}
	victim := s.rec.awaitRun(10 * time.Second)
	if victim == nil {
		return fmt.Errorf("no task has started")
	}
	time.Sleep(time.Second)
	if trouble {
		m := minions[0]
		for _, x := range minions {
			if x.id == victim.minion {
				m = x
			}
		}
		body := fmt.Sprintf(`{"backend":"pool-1","address":"127.0.0.1:9","zone":"z1","state":"ready","seq":1,"born":%d,"machine":%q}`, time.Now().UnixMilli(), m.machine)
		target := s.controlTargets()[0]
		r := send(http.MethodPut, target, "/camphorridge/instances/agent-7", "", nil, []byte(body), time.Second)
		s.rec.add("another writer: PUT instances/agent-7 at %s with %s: status %d %s", target, body, r.status, r.body)
	}
	time.Sleep(20 * time.Second)
	s.state(0, jobID(1), host)
	s.rec.checkEnds()
	return nil
}

// awaitRun waits for the first run of a task.
func (r *record) awaitRun(timeout time.Duration) *run {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		r.mu.Lock()
		for _, runs := range r.runs {
			if len(runs) > 0 {
				first := runs[0]
				r.mu.Unlock()
				return first
			}
		}
		r.mu.Unlock()
	}
	return nil
}

// darkTime is how long the machine of playBoot is without power.
const darkTime = 20 * time.Second

// playBoot starts the whole system for the first time. One machine of the core loses power
// while the others start, and has it again after darkTime, with its disk.
func playBoot(s *system, trouble bool) error {
	for i := range 3 {
		s.add("control", s.ip(1, i+1))
	}
	for i := range 2 {
		s.add("entry", s.ip(2, i+1))
	}
	for _, p := range s.all {
		p.seeds = seedsOf(s.controls)
	}
	begun, dark := time.Now(), s.controls[2]
	if err := s.start(dark); err != nil {
		return err
	}
	if trouble {
		time.Sleep(100 * time.Millisecond)
		s.kill(dark)
	}
	for _, p := range s.all {
		if p == dark {
			continue
		}
		if err := s.start(p); err != nil {
			return err
		}
	}
	s.rec.add("all processes were started within %d ms", time.Since(begun).Milliseconds())
	// The core is stable from contactMs after the loss on, and the order has ackTimeoutMs.
	bound := contactTime + ackTimeout
	if !s.configure(newConfig(1), begun.Add(darkTime)) {
		s.rec.broken("Acks: the first configuration has no acknowledgement %d ms after the start, though two of three machines of the core have run and been connected all the while; the bound is %d ms", darkTime.Milliseconds(), bound.Milliseconds())
	}
	if trouble {
		dark.bootstrap = false
		if err := s.start(dark); err != nil {
			return err
		}
		s.rec.add("acknowledged after the machine is back: %v", s.configure(newConfig(1), time.Now().Add(20*time.Second)))
	}
	return nil
}

// Bounds of the settings files.
const (
	contactTime = 3 * time.Second
	ackTimeout  = 4 * time.Second
)
