package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// soakTime is how long disruptions last, and calmTime how long the system then has.
const (
	soakTime = 60 * time.Second
	calmTime = 30 * time.Second
)

// randomJob returns a job and the host of its queue.
func randomJob(r *rand.Rand) (job, string) {
	w := work{Ms: 200 + r.IntN(1500), CPU: 500 + 500*r.IntN(3)}
	s := step{Count: 1 + r.IntN(4), CPU: w.CPU, MemMb: 100, EstimateMs: w.Ms}
	j, h := job{}, host
	if r.IntN(3) == 0 {
		w.Save, s.Checkpointing = true, true
	}
	switch r.IntN(6) {
	case 0, 1:
		s.Gang, s.Count = true, 2+r.IntN(3)
		w.Gang = s.Count
	case 2:
		j.Times, j.FirstRunMs, j.IntervalMs = 1+r.IntN(4), time.Now().UnixMilli()+int64(r.IntN(4000)), int64(500+r.IntN(2000))
	case 3:
		w.Fail = r.IntN(2) == 0
	}
	if r.IntN(3) == 0 {
		w.Tag, h = "advised", advHost
	}
	j.Spec, j.Steps = specOf(w), []step{s}
	if r.IntN(2) == 0 {
		s.After = []int{0}
		j.Steps = append(j.Steps, s)
	}
	return j, h
}

// playSoak runs jobs of all kinds beside disruptions of all kinds.
func playSoak(s *system, trouble bool) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	r := rand.New(rand.NewPCG(seed, 1))
	minions := newMinions(s, 10)
	for _, m := range minions {
		m.unguarded = os.Getenv("UNGUARDED") != ""
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
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := map[string]string{}
	hopeless := map[string]bool{}
	end := time.Now().Add(soakTime)
	wg.Add(1)
	go func() {
		defer wg.Done()
		jr := rand.New(rand.NewPCG(seed, 2))
		for n := 0; time.Now().Before(end); n++ {
			j, h := randomJob(jr)
			id, cancel, pause := jobID(n), jr.IntN(8) == 0, time.Duration(100+jr.IntN(400))*time.Millisecond
			wg.Add(1)
			go func() {
				defer wg.Done()
				if !s.submit(id, h, j, time.Now().Add(15*time.Second)) {
					return
				}
				if cancel {
					time.Sleep(pause * 2)
					if a := s.call(n, http.MethodDelete, id, h, nil); a.status == http.StatusOK || a.status == http.StatusGone {
						s.rec.mu.Lock()
						s.rec.cancelled[id] = a.at
						s.rec.mu.Unlock()
					}
					return
				}
				mu.Lock()
				accepted[id], hopeless[id] = h, strings.Contains(j.Spec, `"fail":true`)
				mu.Unlock()
			}()
			time.Sleep(pause)
		}
	}()
	wave := 0
	for trouble && time.Now().Before(end) {
		time.Sleep(time.Duration(500+r.IntN(2000)) * time.Millisecond)
		m := minions[r.IntN(len(minions))]
		switch r.IntN(11) {
		case 0:
			if p := s.leader(); p != nil {
				s.kill(p)
				time.Sleep(time.Duration(r.IntN(1000)) * time.Millisecond)
				p.bootstrap = false
				if err := s.start(p); err != nil {
					return err
				}
			}
		case 1:
			if p := s.leader(); p != nil {
				s.signal(p, syscall.SIGSTOP)
				time.Sleep(time.Duration(500+r.IntN(5000)) * time.Millisecond)
				s.signal(p, syscall.SIGCONT)
			}
		case 2:
			m.setCut(true)
			time.AfterFunc(time.Duration(500+r.IntN(7000))*time.Millisecond, func() { m.setCut(false) })
		case 3:
			m.crash()
			time.AfterFunc(time.Duration(100+r.IntN(2000))*time.Millisecond, m.start)
		case 4:
			linger := time.Duration(r.IntN(3000)) * time.Millisecond
			go func() {
				m.drain(linger)
				m.start()
			}()
		case 5:
			s.version += 1 + r.IntN(3)
			s.configure(newConfig(s.version), time.Now().Add(5*time.Second))
		case 6:
			wave++
			v := &waveState{maxDown: 1 + r.IntN(2), begun: map[string]bool{}}
			for _, k := range r.Perm(len(minions))[:3+r.IntN(4)] {
				v.machines = append(v.machines, minions[k].machine)
			}
			c.mu.Lock()
			c.waves[wave] = v
			c.mu.Unlock()
			body, _ := json.Marshal(map[string]any{"wave": wave, "machines": v.machines, "deadlineS": 20, "cap": v.maxDown})
			for n := range 20 {
				if send(http.MethodPost, s.controlTargets()[n%3], "/camphorridge/wave-start", "", nil, body, time.Second).status == http.StatusOK {
					break
				}
				time.Sleep(200 * time.Millisecond)
			}
		case 7:
			p := s.entries[r.IntN(2)]
			s.kill(p)
			if err := s.start(p); err != nil {
				return err
			}
		case 9, 10:
			c.mu.Lock()
			c.slow = !c.slow
			c.mu.Unlock()
		case 8:
			p := s.controls[r.IntN(3)]
			s.signal(p, syscall.SIGTERM)
			<-p.exited
			p.bootstrap = false
			if err := s.start(p); err != nil {
				return err
			}
		}
	}
	wg.Wait()
	c.mu.Lock()
	c.slow = false
	c.mu.Unlock()
	time.Sleep(calmTime)
	for n := 1; n <= wave; n++ {
		a := send(http.MethodGet, s.controlTargets()[0], fmt.Sprintf("/camphorridge/wave-get/%d", n), "", nil, nil, time.Second)
		s.rec.add("wave %d: %d %s", n, a.status, a.body)
		if strings.Contains(string(a.body), "completed") {
			c.checkWave(n)
		}
	}
	for id, h := range accepted {
		state := s.state(0, id, h)
		if want := map[bool]string{false: "completed", true: "failed"}[hopeless[id]]; state != want {
			s.rec.broken("LOST: job %s is %q", id, state)
		}
	}
	s.rec.checkEnds()
	s.rec.count()
	return nil
}

// count notes how many runs ended in each way.
func (r *record) count() {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := map[string]int{}
	for _, runs := range r.runs {
		for _, x := range runs {
			n[x.how]++
		}
	}
	r.addLocked("%d jobs, %d tasks; runs by end: %v", len(r.jobs), len(r.runs), n)
}
