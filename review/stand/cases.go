package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Bounds of the deployment that the settings name.
const cancelBound = 3 * time.Second

// settleTime is how long the system runs before a case begins.
const settleTime = 5 * time.Second

// errLeaderChanged means that the leader changed although nothing was disturbed.
var errLeaderChanged = errors.New("the leader changed before the case began")

const twoTasks = `{"spec":"review","steps":[{"count":2,"cpu":500,"memMb":64,"estimateMs":%d}]}`

// otherEntries is the number of entry processes without relays.
const otherEntries = 6

// startAll starts the control processes, workers, an entry process behind relays and
// otherEntries without, of which it returns one.
func (s *system) startAll(taskTime time.Duration) (behind, direct *process, relays []*relay, leader int, err error) {
	if err = s.startControls(); err != nil {
		return
	}
	if err = s.configure(1, true); err != nil {
		return
	}
	for n := 1; n <= 4; n++ {
		s.startWorker(n, taskTime)
	}
	time.Sleep(settleTime)
	leader = s.leader()
	var seeds []string
	if relays, seeds, err = s.startRelays(leader); err != nil {
		return
	}
	if behind, err = s.startEntry(seeds); err != nil {
		return
	}
	for range otherEntries {
		if direct, err = s.startEntry(s.seeds()); err != nil {
			return
		}
	}
	time.Sleep(2 * time.Second)
	if s.leader() != leader {
		err = errLeaderChanged
	}
	return
}

func (s *system) allWorkers() []*worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.workers)
}

// workersUp returns the number of workers that have not ended.
func (s *system) workersUp() int {
	n := 0
	for _, w := range s.allWorkers() {
		select {
		case <-w.ended:
		default:
			n++
		}
	}
	return n
}

// allEvents returns the events of all workers for tasks of a job.
func (s *system) allEvents(job string) []event {
	var all []event
	for _, w := range s.allWorkers() {
		for _, e := range w.history() {
			if len(e.task) > len(job) && e.task[:len(job)] == job {
				all = append(all, e)
			}
		}
	}
	return all
}

// playHeldSubmission: an entry machine is cut off for five seconds while a submission is
// on its way. The client leaves, and cancels the job at another entry machine.
func playHeldSubmission(s *system, trouble bool) (bool, error) {
	const job, cutTime, patience = "00000000000000a1", 5 * time.Second, time.Second
	behind, direct, relays, _, err := s.startAll(2 * time.Second)
	if err != nil {
		return false, err
	}
	cutAt := time.Now()
	if trouble {
		for _, r := range relays {
			r.setCut(true)
		}
		s.rec.note("network: entry machine %s is cut off from all control machines", behind.ip)
	}
	status := s.client(behind, http.MethodPost, job, fmt.Sprintf(twoTasks, 2000), patience)
	if status != 0 {
		time.Sleep(time.Until(cutAt.Add(patience)))
	}
	cancelled := s.client(direct, http.MethodDelete, job, "", 3*time.Second)
	ackedAt := time.Now()
	if cancelled != http.StatusOK && cancelled != http.StatusGone {
		return false, fmt.Errorf("the cancel was answered with %d", cancelled)
	}
	s.client(direct, http.MethodGet, job, "", 3*time.Second)
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	if trouble {
		for _, r := range relays {
			r.setCut(false)
		}
		s.rec.note("network: the cut has ended")
	}
	time.Sleep(4 * time.Second)
	s.client(direct, http.MethodGet, job, "", 3*time.Second)
	broken := false
	for _, e := range s.allEvents(job) {
		if late := e.at.Sub(ackedAt); e.how == "start" && late > cancelBound {
			s.rec.note("UNASKED: task %s started %.1f s after the cancel was acknowledged with %d; the bound is %.1f s", e.task, late.Seconds(), cancelled, cancelBound.Seconds())
			broken = true
		}
	}
	return broken, nil
}

// playLostAnswer: the answer to a submission is lost because the open connection between
// the entry machine and the leader goes silent. The operator removes the queue meanwhile.
func playLostAnswer(s *system, trouble bool) (bool, error) {
	const job = "00000000000000b2"
	behind, direct, relays, _, err := s.startAll(2 * time.Second)
	if err != nil {
		return false, err
	}
	if trouble {
		relays[0].silence(job)
	}
	answered := make(chan int, 1)
	go func() { answered <- s.client(behind, http.MethodPost, job, fmt.Sprintf(twoTasks, 2000), 4*time.Second) }()
	if trouble {
		select {
		case <-relays[0].silenced:
			s.rec.note("network: the open connections between entry %s and the leader are silent from now on; new ones work", behind.ip)
		case <-time.After(2 * time.Second):
			return false, errors.New("the submission did not pass the relay")
		}
	}
	time.Sleep(100 * time.Millisecond)
	if err := s.configure(2, false); err != nil {
		return false, err
	}
	status := <-answered
	time.Sleep(3 * time.Second)
	s.client(direct, http.MethodGet, job, "", 3*time.Second)
	starts := 0
	for _, e := range s.allEvents(job) {
		if e.how == "start" {
			starts++
		}
	}
	rejected := status >= 400 && status < 500 || status == http.StatusServiceUnavailable
	if rejected && starts > 0 {
		s.rec.note("REFUSED: the only attempt to hand the job in was rejected with %d, and %d tasks of it started", status, starts)
		return true, nil
	}
	return false, nil
}

// playForeignHeartbeat: another writer on the machine of a worker sends one heartbeat for a
// service that the configuration does not name.
func playForeignHeartbeat(s *system, trouble bool) (bool, error) {
	const job = "00000000000000c3"
	_, direct, _, leader, err := s.startAll(8 * time.Second)
	if err != nil {
		return false, err
	}
	if status := s.client(direct, http.MethodPost, job, fmt.Sprintf(twoTasks, 8000), 3*time.Second); status != http.StatusOK {
		return false, fmt.Errorf("the submission was answered with %d", status)
	}
	time.Sleep(2 * time.Second)
	var victim *worker
	for _, w := range s.allWorkers() {
		if len(w.history()) > 0 {
			victim = w
		}
	}
	if victim == nil {
		return false, errors.New("no task started")
	}
	if trouble {
		status, _ := putHeartbeat(s.addr(kindControl, leader, controlPort), "agent-7", map[string]any{
			"backend": "night-backup", "address": "127.0.0.1:9090", "zone": victim.zone, "version": "v3", "capacity": 1, "state": "ready",
			"warmupLeftMs": 0, "seq": 1, "born": time.Now().UnixMilli(), "machine": victim.machine, "clockMs": 1,
		})
		s.rec.note("another writer: one heartbeat of agent-7, service night-backup, on machine %s, answered with %d", victim.machine, status)
	}
	time.Sleep(14 * time.Second)
	s.client(direct, http.MethodGet, job, "", 3*time.Second)
	return s.overlaps(job), nil
}

// overlaps notes the tasks of which two runs were at work at the same time.
func (s *system) overlaps(job string) bool {
	type span struct {
		event
		until time.Time
	}
	spans := map[string][]span{}
	for _, w := range s.allWorkers() {
		for _, e := range w.history() {
			if len(e.task) <= len(job) || e.task[:len(job)] != job {
				continue
			}
			if e.how == "start" {
				spans[e.task] = append(spans[e.task], span{e, time.Now()})
				continue
			}
			for i := range spans[e.task] {
				if x := &spans[e.task][i]; x.worker == e.worker && x.run == e.run {
					x.until = e.at
				}
			}
		}
	}
	broken := false
	for task, all := range spans {
		for i := range all {
			for k := range i {
				a, b := all[i], all[k]
				if a.at.Before(b.until) && b.at.Before(a.until) {
					s.rec.note("TWICE: task %s ran as run %d on %s and as run %d on %s at the same time", task, b.run, b.worker, a.run, a.worker)
					broken = true
				}
			}
		}
	}
	return broken
}

// Figures of playStuckWave. The pools and the wave are as large as those of the
// deployment.
const (
	smallPool, largePool = 8, 41
	waveMachines         = 25
	waveCap              = 11
	waveDeadline         = 24 * time.Second
	// finishBound is the bound finish_s, and idleBound how long a job may then have
	// nothing running.
	finishBound = 14 * time.Second
	idleBound   = 3 * time.Second
)

// playStuckWave: a worker of a pool is lost for good, so that one task of a lasting step
// has no place. The step may miss one task, so that no other machine of the pool may be
// maintained. All of them are due in a wave. Then a client hands a small job in. The
// spare pool is empty, and the machines of the other pool all have a lasting task.
func playStuckWave(s *system, trouble bool) (bool, error) {
	const lasting, small, others = "00000000000000d4", "00000000000000d5", "00000000000000d6"
	if err := s.startControls(); err != nil {
		return false, err
	}
	if err := s.configure(1, true); err != nil {
		return false, err
	}
	var victim *worker
	var due []string
	for n := 1; n <= smallPool+largePool; n++ {
		pool := "pool-1"
		if n > smallPool {
			pool = "pool-2"
		}
		w := s.startWorkerIn(pool, n, time.Second)
		if n == smallPool {
			victim = w
		} else if len(due) < waveMachines {
			due = append(due, w.machine)
		}
	}
	entry, err := s.startEntry(s.seeds())
	if err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":500,"memMb":64,"estimateMs":1000,"longRunning":true,"antiAffinity":1,"mayMiss":1}]}`, lastingSpec, smallPool)
	if status := s.client(entry, http.MethodPost, lasting, body, 3*time.Second); status != http.StatusOK {
		return false, fmt.Errorf("the submission was answered with %d", status)
	}
	body = fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":500,"memMb":64,"estimateMs":1000,"longRunning":true,"antiAffinity":1}]}`, lastingSpec, largePool)
	if status := s.clientOf("/other/", entry, http.MethodPost, others, body, 3*time.Second); status != http.StatusOK {
		return false, fmt.Errorf("the submission was answered with %d", status)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		s.platform.remove(victim)
		victim.close()
		s.rec.note("worker %s is lost for good with its machine %s; it was one of %d", victim.id, victim.machine, smallPool)
	}
	time.Sleep(6 * time.Second)
	wave := fmt.Sprintf(`{"wave":1,"machines":["%s"],"deadlineS":%d,"cap":%d}`, strings.Join(due, `","`), int(waveDeadline.Seconds()), waveCap)
	if err := s.wait("the wave", func() bool {
		status, _ := call(http.MethodPost, "http://"+s.addr(kindControl, s.leader(), controlPort)+"/camphorridge/wave-start", "", wave, time.Second)
		return status == http.StatusOK
	}); err != nil {
		return false, err
	}
	s.rec.note("operator: wave 1 of %d machines, %d at once, within %v", len(due), waveCap, waveDeadline)
	time.Sleep(waveDeadline + 2*time.Second)
	if status := s.client(entry, http.MethodPost, small, fmt.Sprintf(twoTasks, 1000), 3*time.Second); status != http.StatusOK {
		return false, fmt.Errorf("the submission was answered with %d", status)
	}
	acceptedAt := time.Now()
	if s.startsInTime(small, acceptedAt) {
		return false, nil
	}
	s.client(entry, http.MethodGet, small, "", 3*time.Second)
	s.rec.note("LOST: %v after the end of the traffic no task of job %s has run: %d workers of pool-1 are up, with 500 of 16000 milli-cores of each in use, and a task needs 500",
		finishBound+idleBound, small, smallPool-1)
	return true, nil
}

// startsInTime waits until a task of a job starts, until finishBound and idleBound after
// the end of the traffic.
func (s *system) startsInTime(job string, trafficEnd time.Time) bool {
	s.rec.note("client: the traffic ends")
	for time.Since(trafficEnd) < finishBound+idleBound {
		time.Sleep(100 * time.Millisecond)
		if len(s.allEvents(job)) > 0 {
			return true
		}
	}
	return false
}

// playEscapedSpec: a client hands in a job whose specification has an escape character, as
// texts for terminals do. Another job runs beside it.
func playEscapedSpec(s *system, trouble bool) (bool, error) {
	const other, job = "00000000000000e5", "00000000000000e6"
	_, direct, _, _, err := s.startAll(12 * time.Second)
	if err != nil {
		return false, err
	}
	if status := s.client(direct, http.MethodPost, other, fmt.Sprintf(twoTasks, 12000), 3*time.Second); status != http.StatusOK {
		return false, fmt.Errorf("the submission was answered with %d", status)
	}
	time.Sleep(time.Second)
	spec := "build --colour"
	if trouble {
		spec = `build --prompt \u001b[31mred\u001b[0m`
	}
	body := fmt.Sprintf(`{"spec":"%s","steps":[{"count":8,"cpu":500,"memMb":64,"estimateMs":2000}]}`, spec)
	s.rec.note("client: the body of the next job is %s", body)
	if status := s.client(direct, http.MethodPost, job, body, 3*time.Second); status != http.StatusOK {
		return false, fmt.Errorf("the submission was answered with %d", status)
	}
	if s.startsInTime(job, time.Now()) {
		return false, nil
	}
	s.client(direct, http.MethodGet, job, "", 3*time.Second)
	s.rec.note("LOST: %v after the end of the traffic no task of job %s has run; %d workers are up, with 16000 milli-cores each for 8 tasks of 500", finishBound+idleBound, job, s.workersUp())
	return true, nil
}

// Figures of playLargeReply: the specification has the largest size that a client may
// use.
const (
	largeSpecBytes = 4000
	smallTasks     = 1400
)

// playLargeReply: a client hands in a job of many small tasks with a large specification.
// Another job runs beside it.
func playLargeReply(s *system, trouble bool) (bool, error) {
	const other, job = "00000000000000f7", "00000000000000f8"
	_, direct, _, _, err := s.startAll(12 * time.Second)
	if err != nil {
		return false, err
	}
	if status := s.client(direct, http.MethodPost, other, fmt.Sprintf(twoTasks, 12000), 3*time.Second); status != http.StatusOK {
		return false, fmt.Errorf("the submission was answered with %d", status)
	}
	time.Sleep(time.Second)
	spec := "build"
	if trouble {
		spec = strings.Repeat("x", largeSpecBytes)
	}
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":10,"memMb":16,"estimateMs":2000}]}`, spec, smallTasks)
	s.rec.note("client: the next job has a specification of %d bytes and %d tasks of 10 milli-cores and 16 MB", len(spec), smallTasks)
	if status := s.client(direct, http.MethodPost, job, body, 3*time.Second); status != http.StatusOK {
		return false, fmt.Errorf("the submission was answered with %d", status)
	}
	if s.startsInTime(job, time.Now()) {
		return false, nil
	}
	s.client(direct, http.MethodGet, job, "", 3*time.Second)
	s.rec.note("LOST: %v after the end of the traffic no task of job %s has run; %d workers are up, with 16000 milli-cores each for %d tasks of 10", finishBound+idleBound, job, s.workersUp(), smallTasks)
	return true, nil
}

// Figures of playReplacedVoter: the settings bounds.graceS, bounds.catchUpS and
// bounds.recoveryS, and the time that the new machine gets before the old one is stopped.
const (
	grace        = 6 * time.Second
	successorLed = 10 * time.Second
	diskDown     = time.Second
	recovery     = 12 * time.Second
)

// playReplacedVoter: a control machine is replaced as planned: the new one comes first,
// and the old one is stopped and removed after more than twice catchUpS. Right after that
// another control machine loses its disk.
func playReplacedVoter(s *system, trouble bool) (bool, error) {
	const job = "00000000000000a7"
	if err := s.startControls(); err != nil {
		return false, err
	}
	if err := s.configure(1, true); err != nil {
		return false, err
	}
	for n := 1; n <= 4; n++ {
		s.startWorker(n, 2*time.Second)
	}
	entry, err := s.startEntry(s.seeds())
	if err != nil {
		return false, err
	}
	if status := s.client(entry, http.MethodPost, job, fmt.Sprintf(twoTasks, 2000), 3*time.Second); status != http.StatusOK {
		return false, fmt.Errorf("the submission was answered with %d", status)
	}
	leader := s.leader()
	old, other := 1+leader%3, 1+(leader+1)%3
	if err := s.startAddedControl(old); err != nil {
		return false, err
	}
	time.Sleep(successorLed)
	if s.leader() != leader {
		return false, errLeaderChanged
	}
	s.terminate(s.controls[old-1], grace)
	s.rec.note("operator: control machine %d, a follower, has got SIGTERM and is removed for good; its successor started %v before", old, successorLed)
	if trouble {
		if err := s.loseDisk(s.controls[other-1]); err != nil {
			return false, err
		}
		s.rec.note("control machine %d has lost its disk", other)
		time.Sleep(diskDown)
		s.controls[other-1].joins = true
		if err := s.start(s.controls[other-1], other, s.seeds()); err != nil {
			return false, err
		}
	}
	time.Sleep(recovery + 2*time.Second)
	known := false
	for range 5 {
		if s.client(entry, http.MethodGet, job, "", 3*time.Second) == http.StatusOK {
			known = true
			break
		}
		time.Sleep(2 * time.Second)
	}
	for n := range s.controls {
		if n != old-1 {
			status, _ := call(http.MethodGet, "http://"+s.addr(kindControl, n+1, controlPort)+"/camphorridge/config", "", "", time.Second)
			s.rec.note("operator: read of the configuration at control machine %d: status %d", n+1, status)
		}
	}
	if !known {
		s.rec.note("LOST: over %v after all machines are back an accepted job can't be asked for, and no configuration can be read", recovery)
	}
	return !known, nil
}
