package main

import (
	"fmt"
	"net/http"
	"time"
)

// playForeignHeartbeat plays a heartbeat of another writer, with fields missing, that
// names the id of a minion at work.
func playForeignHeartbeat(s *system) error {
	for i := range 4 {
		s.fleet.add(&minion{id: fmt.Sprintf("i-%08x", i+1), machine: fmt.Sprintf("m-%05x", i+1), pool: "huvo11a", labels: []string{"a", fmt.Sprintf("r1-%d", i/2)}, cpu: 16000, mem: 32768, guards: true})
	}
	if err := s.configure([]route{{name: "r-1", prefix: "/puxa400/", service: "huvo11a", attempts: 4, stretch: 1.6}}, []service{{name: "huvo11a", guards: true}}); err != nil {
		return err
	}
	if err := s.waitReady(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	const id = "5c0e7a21d94b36f8"
	p := &plan{Steps: []step{{Count: 4, CPU: 4000, Mem: 256, Millis: 8000}}}
	s.fleet.know(id, p, 4)
	if err := s.submit("/puxa400/"+id, p.body()); err != nil {
		return err
	}
	if err := wait("the tasks to start", 10*time.Second, func() bool { return s.fleet.runsOf(id) == 4 }); err != nil {
		return err
	}
	time.Sleep(time.Second)
	victim := s.fleet.busiest()
	if s.trouble {
		body := fmt.Sprintf(`{"backend":"huvo11a","address":"127.0.0.1:8080","zone":"wien-a","state":"ready","seq":1,"born":%d}`, time.Now().UnixMilli())
		status, answer := 0, ""
		for _, a := range s.controlAddresses() {
			if status, answer = send(http.MethodPut, "http://"+a+"/camphorridge/instances/"+victim.id, "", body, time.Second); status != 0 && status < 500 {
				break
			}
		}
		s.rec.note("another writer: PUT /camphorridge/instances/%s %s: %d %s", victim.id, body, status, answer)
	}
	err := wait("the job to complete", 40*time.Second, func() bool { return s.state("/puxa400/"+id) == "completed" })
	s.rec.note("the job is shown as %s; minion %s had %d heartbeats acknowledged and %d not", s.state("/puxa400/"+id), victim.id, victim.goodBeat.Load(), victim.refusedBeats.Load())
	return err
}

// The jobs of playGangReservation.
const (
	longJob    = "1111111111111111"
	watchJob   = "2222222222222222"
	gangJob    = "3333333333333333"
	smallJob   = "4444444444444444"
	smallJobs  = 3
	batchQueue = "/puxa400/"
	watchQueue = "/tije37/"
)

// playGangReservation plays a gang that no longer fits beside a long task, because a minion
// is lost for good, and checks that other jobs of the service still run.
func playGangReservation(s *system) error {
	const machines = 8
	for i := range machines {
		s.fleet.add(&minion{id: fmt.Sprintf("i-%08x", i+1), machine: fmt.Sprintf("m-%05x", i+1), pool: "huvo11a", labels: []string{"a", fmt.Sprintf("r1-%d", i/2)}, cpu: 16000, mem: 32768, guards: true})
	}
	routes := []route{
		{name: "r-1", prefix: batchQueue, service: "huvo11a", attempts: 4, stretch: 1.6},
		{name: "r-2", prefix: watchQueue, service: "huvo11a", attempts: 4, stretch: 2.2, priority: 1},
	}
	if err := s.configure(routes, []service{{name: "huvo11a", guards: true}}); err != nil {
		return err
	}
	if err := s.waitReady(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	hand := func(prefix, id string, p *plan) error {
		s.fleet.know(id, p, 4)
		return s.submit(prefix+id, p.body())
	}
	// The long task, and a job that lasts, one of whose tasks fails once, 20 s later.
	if err := hand(batchQueue, longJob, &plan{Steps: []step{{Count: 1, CPU: 10000, Mem: 256, Millis: 70_000}}}); err != nil {
		return err
	}
	if err := hand(watchQueue, watchJob, &plan{Steps: []step{{Count: 1, CPU: 500, Mem: 256, Millis: 20_000, Lasts: true, FailsOnce: true}}}); err != nil {
		return err
	}
	if err := wait("the first jobs to start", 10*time.Second, func() bool { return s.fleet.runsOf(longJob) == 1 && s.fleet.runsOf(watchJob) == 1 }); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if s.trouble {
		s.fleet.idlest().crash("it is lost for good")
	}
	time.Sleep(5 * time.Second)
	gang := &plan{Steps: []step{{Count: machines - 1, CPU: 10000, Mem: 256, Millis: 2000, Gang: true}, {Count: 1, CPU: 500, Mem: 256, Lasts: true, After: []int{0}}}}
	if err := hand(batchQueue, gangJob, gang); err != nil {
		return err
	}
	time.Sleep(200 * time.Millisecond)
	small := map[string]string{}
	for i := range smallJobs {
		id := fmt.Sprintf("%s%d", smallJob[1:], i)
		small[id] = batchQueue
		if err := hand(batchQueue, id, &plan{Steps: []step{{Count: 1, CPU: 1000, Mem: 256, Millis: 500}}}); err != nil {
			return err
		}
	}
	s.rec.note("the traffic has ended")
	s.watchIdle(time.Now().Add(finishBound), small, 1000, 256, 30*time.Second)
	for id, prefix := range map[string]string{longJob: batchQueue, watchJob: watchQueue, gangJob: batchQueue} {
		s.rec.note("job %s is shown as %s", id, s.state(prefix+id))
	}
	for id, prefix := range small {
		s.rec.note("job %s is shown as %s", id, s.state(prefix+id))
	}
	return nil
}

// watchIdle watches for the given time that no job of those given, from a time on, and no
// task that lasts has nothing running for idleBound, while there is room for it twice over
// and under half of the service is in use.
func (s *system) watchIdle(from time.Time, jobs map[string]string, cpu, mem int, limit time.Duration) {
	idleSince := map[string]time.Time{}
	reported := map[string]bool{}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		now := time.Now()
		used, capacity := s.fleet.use("huvo11a")
		room := s.fleet.room("huvo11a", cpu, mem)
		check := func(id string, from time.Time) {
			if now.Before(from) || s.fleet.runsOf(id) > 0 || s.fleet.isDone(id) || room < 2 || 2*used >= capacity {
				delete(idleSince, id)
				return
			}
			if idleSince[id].IsZero() {
				idleSince[id] = now
			}
			if idle := now.Sub(idleSince[id]); idle >= idleBound && !reported[id] {
				reported[id] = true
				s.rec.broken("LOST", "job %s has had nothing running for %.1f s, with room for %d more such tasks and %d of %d cpu in use", id, idle.Seconds(), room, used, capacity)
			}
		}
		for id := range jobs {
			check(id, from)
		}
		if last := s.fleet.lastRun(watchJob); !last.IsZero() {
			check(watchJob, last.Add(restartBound))
		}
	}
}

// playForeignEntries plays entries of another writer, with fields missing, in the
// platform's list of machines. They name machines at work as if these were in standby.
func playForeignEntries(s *system) error {
	for i := range 6 {
		pool := "kafi81c"
		if i >= 4 {
			pool = "huvo11a"
		}
		s.fleet.add(&minion{id: fmt.Sprintf("i-%08x", i+1), machine: fmt.Sprintf("m-%05x", i+1), pool: pool, labels: []string{"a", fmt.Sprintf("r1-%d", i)}, cpu: 16000, mem: 32768, guards: true})
	}
	routes := []route{
		{name: "r-1", prefix: batchQueue, service: "huvo11a", attempts: 4, stretch: 1.6, priority: 1},
		{name: "r-2", prefix: watchQueue, service: "kafi81c", attempts: 4, stretch: 2.2},
	}
	if err := s.configure(routes, []service{{name: "huvo11a", guards: true}, {name: "kafi81c", guards: true}, {name: standbyPool, guards: true, standby: true}}); err != nil {
		return err
	}
	if err := s.waitReady(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	watch := &plan{Steps: []step{{Count: 3, CPU: 2000, Mem: 256, Lasts: true, PerMinion: 1, MayMiss: 1}}}
	s.fleet.know(watchJob, watch, 4)
	if err := s.submit(watchQueue+watchJob, watch.body()); err != nil {
		return err
	}
	if err := wait("the job that lasts to start", 10*time.Second, func() bool { return s.fleet.runsOf(watchJob) == 3 }); err != nil {
		return err
	}
	if s.trouble {
		s.cloud.addForeign(s.fleet.machinesOf(watchJob), standbyPool)
	}
	// More work comes than the two machines of its service can take.
	for n, end := 0, time.Now().Add(70*time.Second); time.Now().Before(end); n++ {
		id := fmt.Sprintf("%016x", 0x6000+n)
		p := &plan{Steps: []step{{Count: 8, CPU: 4000, Mem: 256, Millis: 2000}}}
		s.fleet.know(id, p, 4)
		if status, _ := s.client(http.MethodPost, batchQueue+id, p.body()); status != http.StatusOK {
			s.rec.note("client: POST %s: %d", id, status)
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.rec.note("job %s is shown as %s, with %d tasks at work", watchJob, s.state(watchQueue+watchJob), s.fleet.runsOf(watchJob))
	return nil
}
