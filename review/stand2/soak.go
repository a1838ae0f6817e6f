package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const soakTime = 90 * time.Second

// playSoak plays random jobs and disruptions, to look for breaks.
func playSoak(s *system) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 2))
	s.rec.note("seed %d", seed)
	for i := range 12 {
		kind := "a"
		if i%3 == 0 {
			kind = "b"
		}
		pool := "huvo11a"
		if i >= 9 {
			pool = "kafi81c"
		}
		s.fleet.add(&minion{id: fmt.Sprintf("i-%08x", i+1), machine: fmt.Sprintf("m-%05x", i+1), pool: pool, labels: []string{kind, fmt.Sprintf("r1-%d", i/3)}, cpu: 16000, mem: 32768, guards: seed%2 == 0})
	}
	advice := ""
	if seed%3 == 0 {
		advice = `{"decideMs":20,"periodMs":1.5,"validMs":2000}`
	}
	target := "huvo11a"
	configure := func() error {
		return s.configure([]route{
			{name: "r-1", prefix: "/puxa400/", service: target, attempts: 3, stretch: 1.6},
			{name: "r-2", prefix: "/tije37/", service: "huvo11a", attempts: 4, stretch: 2.2, priority: 1},
			{name: "r-3", prefix: "/adv/", service: "huvo11a", attempts: 4, stretch: 2.2, advice: advice},
		}, []service{{name: "huvo11a", guards: seed%2 == 0}, {name: "kafi81c", guards: seed%2 == 0}, {name: standbyPool, guards: true, standby: true}})
	}
	if err := configure(); err != nil {
		return err
	}
	if err := s.waitReady(); err != nil {
		return err
	}
	var mu sync.Mutex
	cut := map[*minion]time.Time{}
	s.fleet.delay = func(m *minion) {
		mu.Lock()
		until := cut[m]
		mu.Unlock()
		if time.Now().Before(until) {
			time.Sleep(beatTimeout)
		}
	}
	pick := func() *minion { all := s.fleet.all(); return all[random.IntN(len(all))] }
	end := time.Now().Add(soakTime)
	var ids []string
	paths := map[string]string{}
	nextFault := time.Now().Add(5 * time.Second)
	frozen := map[*process]time.Time{}
	waves, nextWave := 0, time.Now().Add(3*time.Second)
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(100+random.IntN(250)) * time.Millisecond)
		for p, until := range frozen {
			if time.Now().After(until) {
				s.signal(p, syscall.SIGCONT)
				delete(frozen, p)
			}
		}
		if time.Until(end) > 15*time.Second {
			id := fmt.Sprintf("%016x", random.Uint64())
			p := randomPlan(random)
			path := []string{"/puxa400/", "/tije37/", "/adv/"}[random.IntN(3)]
			attempts := 4
			if path == "/puxa400/" {
				attempts = 3
			}
			s.fleet.know(id, p, attempts)
			paths[id] = path + id
			ids = append(ids, id)
			go func() { _ = s.submit(path+id, p.body()) }()
		}
		if len(ids) > 5 && random.IntN(6) == 0 {
			id := ids[random.IntN(len(ids))]
			go func() {
				status, _ := s.client(http.MethodDelete, paths[id], "")
				s.rec.note("client: DELETE %s: %d", id, status)
				if status == 200 || status == 410 {
					s.fleet.mu.Lock()
					if s.fleet.jobs[id].cancelled.IsZero() {
						s.fleet.jobs[id].cancelled = time.Now()
					}
					s.fleet.mu.Unlock()
				}
			}()
		}
		if waves > 0 {
			go s.cloud.checkWave(1 + random.IntN(waves))
		}
		if time.Now().After(nextWave) && time.Until(end) > 15*time.Second {
			nextWave = time.Now().Add(8 * time.Second)
			waves++
			var machines []string
			for _, m := range s.fleet.all() {
				if random.IntN(2) == 0 {
					machines = append(machines, m.machine)
				}
			}
			number, limit := waves, 1+random.IntN(3)
			go func() { _ = s.cloud.declare(number, machines, limit, 12) }()
		}
		if time.Now().Before(nextFault) || time.Until(end) < 20*time.Second || !s.trouble {
			continue
		}
		nextFault = time.Now().Add(time.Duration(2000+random.IntN(5000)) * time.Millisecond)
		switch random.IntN(9) {
		case 0, 1:
			if p := s.leader(); p != nil {
				s.kill(p)
				time.AfterFunc(time.Duration(random.IntN(3000))*time.Millisecond, func() { _ = s.start(p) })
			}
		case 2:
			if p := s.leader(); p != nil {
				s.signal(p, syscall.SIGSTOP)
				frozen[p] = time.Now().Add(time.Duration(500+random.IntN(7000)) * time.Millisecond)
			}
		case 3:
			p := s.controls[random.IntN(3)]
			s.kill(p)
			time.AfterFunc(time.Duration(random.IntN(3000))*time.Millisecond, func() { _ = s.start(p) })
		case 4:
			m := pick()
			m.crash("crash")
			time.AfterFunc(time.Duration(100+random.IntN(3000))*time.Millisecond, m.start)
		case 5:
			m := pick()
			mu.Lock()
			cut[m] = time.Now().Add(time.Duration(500+random.IntN(5500)) * time.Millisecond)
			mu.Unlock()
			s.rec.note("minion %s is cut off", m.id)
		case 6:
			if target == "huvo11a" {
				target = "kafi81c"
			} else {
				target = "huvo11a"
			}
			go func() { _ = configure() }()
		case 7:
			p := s.entries[random.IntN(2)]
			s.signal(p, syscall.SIGTERM)
			go func() { <-p.exited; _ = s.start(p) }()
		case 8:
			if p := s.leader(); p != nil {
				s.signal(p, syscall.SIGTERM)
				go func() { <-p.exited; _ = s.start(p) }()
			}
		}
	}
	states := map[string]int{}
	for _, id := range ids {
		st := s.state(paths[id])
		states[st]++
		if st == "queued" || st == "running" {
			s.rec.note("job %s is still %s: %s", id, st, s.fleet.jobs[id].plan.spec())
		}
	}
	s.rec.note("states %v", states)
	return nil
}

func randomPlan(r *rand.Rand) *plan {
	p := &plan{}
	steps := 1 + r.IntN(3)
	for i := range steps {
		x := step{Count: 1 + r.IntN(5), CPU: 500 * (1 + r.IntN(6)), Mem: 256 * (1 + r.IntN(8)), Millis: 100 + r.IntN(1500)}
		if i > 0 && r.IntN(3) > 0 {
			x.After = []int{r.IntN(i)}
		}
		switch r.IntN(8) {
		case 0, 1:
			x.Gang, x.Saves = true, r.IntN(2) == 0
		case 2:
			x.PerMinion = 1
		case 3:
			x.Label = "b"
		case 4:
			x.Saves = true
		case 5:
			x.FailsOnce = true
		}
		if x.Gang && r.IntN(4) == 0 {
			x.FailsOnce = true
		}
		p.Steps = append(p.Steps, x)
	}
	if r.IntN(6) == 0 {
		p.Times, p.FirstRun, p.Interval = 1+r.IntN(4), time.Now().UnixMilli()+int64(r.IntN(4000)), int64(300+r.IntN(2000))
	}
	if r.IntN(12) == 0 {
		p.Steps[len(p.Steps)-1].Lasts = true
		p.Steps[len(p.Steps)-1].Gang = false
		p.Steps[len(p.Steps)-1].PerMinion, p.Steps[len(p.Steps)-1].MayMiss, p.Steps[len(p.Steps)-1].Label = 1, 1, ""
		p.Times = 0
	}
	return p
}
