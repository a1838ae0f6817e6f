package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"camphorridge/internal/stand"
)

// Ports of the processes. They are the same on all machines.
const (
	frontPort   = 8624
	readyPort   = 8622
	controlPort = 8623
	cloudPort   = 8621
	claimPort   = 6997
)

// process is one process of the system on an address of its own.
type process struct {
	role, ip, dir, settings string
	bootstrap               bool
	seeds                   []string
	cmd                     *exec.Cmd
	exited                  chan struct{}
}

// system is the system under test.
type system struct {
	root, dir string
	octet     int
	claim     net.Listener
	program   string
	rec       *record
	controls  []*process
	entries   []*process
	all       []*process
	// targets holds the addresses at which minions and the operator reach the control
	// processes.
	mu      sync.Mutex
	targets []string
	stdout  *os.File
	version int
}

func newSystem(root string, rec *record) (*system, error) {
	octet, claim, err := stand.ClaimNetwork(claimPort)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "camphorridge-review-")
	if err != nil {
		return nil, err
	}
	s := &system{root: root, dir: dir, octet: octet, claim: claim, rec: rec, program: filepath.Join(root, "target", "platform")}
	if _, err := os.Stat(s.program); err != nil {
		return nil, err
	}
	s.stdout, err = os.Create(filepath.Join(dir, "processes.log"))
	return s, err
}

func (s *system) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", s.octet, kind, n) }

func (s *system) cloudAddr() string { return fmt.Sprintf("%s:%d", s.ip(3, 1), cloudPort) }

// add adds a process without starting it.
func (s *system) add(role string, ip string) *process {
	p := &process{role: role, ip: ip, bootstrap: true, settings: filepath.Join(s.dir, ip+".conf")}
	if role == "control" {
		p.dir = filepath.Join(s.dir, "data-"+ip)
		s.controls = append(s.controls, p)
		s.mu.Lock()
		s.targets = append(s.targets, fmt.Sprintf("%s:%d", ip, controlPort))
		s.mu.Unlock()
	} else {
		s.entries = append(s.entries, p)
	}
	s.all = append(s.all, p)
	return p
}

// controlTargets returns the addresses in the operator's list.
func (s *system) controlTargets() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.targets)
}

// writeSettings writes the settings file of a process.
func (s *system) writeSettings(p *process) error {
	lines := []string{
		"node=" + p.role + "-" + p.ip, "role=" + p.role, "ip=" + p.ip, "zone=z1", "region=r1", "portRange=7060,7075",
		"seeds=" + strings.Join(p.seeds, ","), fmt.Sprintf("bootstrap=%v", p.bootstrap), "limits.cores=1",
		"discovery=registry", "entry=vip", "heartbeatMs=1500", "faultTolerance.machines=1", "faultTolerance.zones=1",
		"bounds.contactMs=3000", "bounds.ackTimeoutMs=4000", "bounds.drainMs=2000", "bounds.graceS=6", "bounds.catchUpS=4",
		"bounds.maxHoldMs=10000", "bounds.leaseMs=3000", "bounds.maintenanceS=2", "bounds.moveS=1.5", "bounds.requireFencing=false",
		"config_mode=highest", "commands=heartbeat", "advice=" + s.cloudAddr(), "cloud.address=" + s.cloudAddr(),
		"cloud.ratePerS=64.0", "cloud.dutyPerS=64.0",
	}
	if p.role == "control" {
		lines = append(lines, "machineClass=core", "serves=control", "inTolerance=true", "limits.memoryMb=280", "limits.maxFds=4096", "limits.diskMb=128",
			fmt.Sprintf("listen.control=%s:%d", p.ip, controlPort), "dataDir="+p.dir)
	} else {
		lines = append(lines, "machineClass=edge", "serves=edge", "inTolerance=false", "limits.memoryMb=284", "limits.maxFds=4100",
			fmt.Sprintf("listen.front=%s:%d", p.ip, frontPort), fmt.Sprintf("listen.readiness=%s:%d", p.ip, readyPort))
	}
	next := p.settings + ".next"
	if err := os.WriteFile(next, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	return os.Rename(next, p.settings)
}

// start starts a process with the command of the deploy file.
func (s *system) start(p *process) error {
	if p.dir != "" {
		if err := os.MkdirAll(p.dir, 0o700); err != nil {
			return err
		}
	}
	if err := s.writeSettings(p); err != nil {
		return err
	}
	p.cmd = exec.Command(s.program, p.role)
	p.cmd.Dir = s.root
	p.cmd.Env = append(os.Environ(), "CAMPHORRIDGE_CONFIG="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = s.stdout, s.stdout
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
	s.rec.add("process %s %s starts, pid %d, bootstrap %v", p.role, p.ip, p.cmd.Process.Pid, p.bootstrap)
	return nil
}

// signal sends a signal to a process.
func (s *system) signal(p *process, sig syscall.Signal) {
	s.rec.add("process %s %s gets signal %v", p.role, p.ip, sig)
	_ = p.cmd.Process.Signal(sig)
}

// kill ends a process as a loss of power does, and waits for its end.
func (s *system) kill(p *process) {
	s.signal(p, syscall.SIGKILL)
	<-p.exited
}

// seedsOf returns the addresses of control processes for settings files.
func seedsOf(ps []*process) []string {
	var all []string
	for _, p := range ps {
		all = append(all, fmt.Sprintf("%s:%d", p.ip, controlPort))
	}
	return all
}

// stop ends all processes and removes their files.
func (s *system) stop() {
	for _, p := range s.all {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
	_ = s.claim.Close()
	_ = s.stdout.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
}

// reply is what a caller sees of one call. status 0 means that there was no answer.
type reply struct {
	status int
	body   []byte
	at     time.Time
	target string
}

// send makes one call and follows two redirects.
func send(method, target, path, host string, headers map[string]string, body []byte, timeout time.Duration) reply {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	url := "http://" + target + path
	for range 3 {
		req, err := http.NewRequest(method, url, bytes.NewReader(body))
		if err != nil {
			return reply{at: time.Now(), target: target}
		}
		if host != "" {
			req.Host = host
		}
		req.Header.Set("Content-Type", "application/json")
		for k, v := range headers {
			req.Header.Set(k, v)
		}
		resp, err := client.Do(req)
		if err != nil {
			return reply{at: time.Now(), target: url}
		}
		b, err := io.ReadAll(io.LimitReader(resp.Body, 8<<20))
		_ = resp.Body.Close()
		if err != nil {
			return reply{at: time.Now(), target: url}
		}
		if resp.StatusCode != http.StatusTemporaryRedirect {
			return reply{status: resp.StatusCode, body: b, at: time.Now(), target: url}
		}
		url = resp.Header.Get("Location")
	}
	return reply{at: time.Now(), target: url}
}

// route is a route of the configuration.
type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"pathPrefix"`
	Type            string  `json:"type"`
	TimeoutMs       int     `json:"timeoutMs"`
	TargetLatencyMs int     `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Backend         string  `json:"backend"`
	Attempts        int     `json:"attempts"`
	Stretch         float64 `json:"stretch"`
	Advice          *advice `json:"advice,omitempty"`
}

type advice struct {
	DecideMs int     `json:"decideMs"`
	PeriodMs float64 `json:"periodMs"`
	ValidMs  int     `json:"validMs"`
}

type service struct {
	Name             string `json:"name"`
	HealthPath       string `json:"healthPath"`
	MaxConns         int    `json:"maxConns"`
	Protocol         string `json:"protocol"`
	TLS              bool   `json:"tls"`
	AdmissionControl bool   `json:"admissionControl"`
	Standby          bool   `json:"standby"`
}

type config struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

const (
	host      = "jobs.example"
	advHost   = "advised.example"
	otherHost = "other.example"
)

// newConfig returns a configuration with one pool and two queues, the second of which
// uses advice.
func newConfig(version int) config {
	q := route{Name: "r-1", Host: host, PathPrefix: "/q/", Type: "unsafe", TimeoutMs: 3000, TargetLatencyMs: 3600, Backend: "pool-1", Attempts: 4, Stretch: 1.6}
	a := q
	a.Name, a.Host, a.Advice = "r-2", advHost, &advice{DecideMs: 20, PeriodMs: 1, ValidMs: 3000}
	return config{
		Version: version, Routes: []route{q, a},
		Services: []service{
			{Name: "pool-1", HealthPath: "/healthz", MaxConns: 64, Protocol: "h1", AdmissionControl: true},
			{Name: "pool-off", HealthPath: "/healthz", MaxConns: 64, Protocol: "h1", AdmissionControl: true, Standby: true},
		},
		Limits: map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// configure sends a configuration as the operator does, until it is acknowledged or the
// time is over. It returns whether it was acknowledged.
func (s *system) configure(c config, until time.Time) bool {
	body, _ := json.Marshal(c)
	pause := 200 * time.Millisecond
	for n := 0; time.Now().Before(until); n++ {
		targets := s.controlTargets()
		target := targets[n%len(targets)]
		r := send(http.MethodPut, target, "/camphorridge/config", "", nil, body, time.Second)
		s.rec.add("operator: PUT configuration %d to %s: status %d", c.Version, target, r.status)
		if r.status == http.StatusOK {
			return true
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return false
}

// awaitReady waits until all entry processes say that they are ready.
func (s *system) awaitReady(until time.Time) bool {
	for _, p := range s.entries {
		for {
			if send(http.MethodGet, fmt.Sprintf("%s:%d", p.ip, readyPort), "/camphorridge/readyz", "", nil, nil, time.Second).status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return false
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return true
}

// launch starts three control and two entry processes, configures them and waits until
// they are ready.
func (s *system) launch() error {
	for i := range 3 {
		s.add("control", s.ip(1, i+1))
	}
	for i := range 2 {
		s.add("entry", s.ip(2, i+1))
	}
	for _, p := range s.all {
		p.seeds = seedsOf(s.controls)
		if err := s.start(p); err != nil {
			return err
		}
	}
	s.version = 1
	if !s.configure(newConfig(1), time.Now().Add(20*time.Second)) || !s.awaitReady(time.Now().Add(10*time.Second)) {
		return fmt.Errorf("the system is not ready after 20 s")
	}
	return nil
}

// leader returns the control process that answers a read of the configuration itself.
func (s *system) leader() *process {
	for _, p := range s.controls {
		client := &http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/camphorridge/config", p.ip, controlPort))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return p
		}
	}
	return nil
}
