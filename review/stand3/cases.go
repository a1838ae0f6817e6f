package main

import (
	"fmt"
	"time"
)

// newTwoPoolConfig returns a configuration with a second pool, which has a queue of its own.
func newTwoPoolConfig(version int) config {
	c := newConfig(version)
	q := c.Routes[0]
	q.Name, q.Host, q.Backend = "r-3", otherHost, "pool-2"
	c.Routes = append(c.Routes, q)
	s := c.Services[0]
	s.Name = "pool-2"
	c.Services = append(c.Services, s)
	return c
}

// playSameID has two clients of two queues hand in one job each. Both clients number their
// jobs from 1, so that the ids are the same.
func playSameID(s *system, trouble bool) error {
	minions := newMinions(s, 4)
	minions[2].pool, minions[3].pool = "pool-2", "pool-2"
	c, err := startCloud(s, minions)
	if err != nil {
		return err
	}
	defer func() { _ = c.server.Close() }()
	if err := s.launch(); err != nil {
		return err
	}
	if !s.configure(newTwoPoolConfig(2), time.Now().Add(10*time.Second)) {
		return fmt.Errorf("the configuration was not acknowledged")
	}
	for _, m := range minions {
		m.start()
		defer m.crash()
	}
	time.Sleep(2 * time.Second)
	jobOf := func(tag string) job {
		return job{Spec: specOf(work{Ms: 500, CPU: 500, Tag: tag}), Steps: []step{{Count: 2, CPU: 500, MemMb: 100, EstimateMs: 500}}}
	}
	first, second := "0000000000000001", "0000000000000001"
	if !trouble {
		second = "0000000000000002"
	}
	if !s.submit(first, host, jobOf("first"), time.Now().Add(5*time.Second)) {
		return fmt.Errorf("the first job was not accepted")
	}
	time.Sleep(3 * time.Second)
	s.rec.add("client of the first queue sees %q", s.state(0, first, host))
	if !s.submit(second, otherHost, jobOf("second"), time.Now().Add(5*time.Second)) {
		s.rec.add("the second job is not accepted, so that nothing is owed to its client")
		return nil
	}
	state := s.state(0, second, otherHost)
	time.Sleep(finishTime)
	ran := s.rec.done("second")
	switch last := s.state(1, second, otherHost); {
	case state == "completed" && ran == 0:
		s.rec.broken("MIXED: the second client's job was shown as completed right after it was accepted; %d s later, %d of its 2 tasks have run on idle minions", int(finishTime.Seconds()), ran)
	case ran < 2:
		s.rec.broken("LOST: the second client's job was accepted and %d of its 2 tasks have run after %d s on idle minions; it is %q", ran, int(finishTime.Seconds()), last)
	}
	return nil
}

// done returns how many runs of tasks with a tag have ended done.
func (r *record) done(tag string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, runs := range r.runs {
		for _, x := range runs {
			if x.w.Tag == tag && x.how == "done" {
				n++
			}
		}
	}
	return n
}

// darkTime is how long the machine of playBoot is without power: as long as the site's file
// has machines of the core without it.
const darkTime = 9500 * time.Millisecond

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
