package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes. Each process has a loopback address of its own.
const (
	frontPort   = 8624
	readyPort   = 8622
	controlPort = 8623
	peerPort    = 7060
	claimPort   = 6998
)

// The third byte of the loopback addresses.
const (
	kindClaim = iota
	kindControl
	kindEntry
	kindPlatform
	kindRelay
)

// waitTimeout is the limit of each wait for a condition during the start.
const waitTimeout = 30 * time.Second

// process is a control or entry process of the system.
type process struct {
	role, ip string
	settings string
	// joins is set once the machine does not belong to those with which the whole system
	// started for the first time, or has lost its disk.
	joins  bool
	cmd    *exec.Cmd
	exited chan struct{}
}

// system is the system under test with its stand-ins.
type system struct {
	rec      *record
	dir      string
	octet    int
	claim    net.Listener
	platform *machineInterface
	controls []*process
	entries  []*process
	log      *os.File
	mu       sync.Mutex
	workers  []*worker
}

// newSystem claims a loopback network and a temporary folder, and starts the stand-in of
// the platform's machine interface.
func newSystem(rec *record) (*system, error) {
	s := &system{rec: rec}
	var err error
	for range 50 {
		s.octet = 20 + rand.IntN(200)
		if s.claim, err = net.Listen("tcp", s.addr(kindClaim, 1, claimPort)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	if s.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if s.log, err = os.Create(filepath.Join(s.dir, "output")); err != nil {
		return nil, err
	}
	s.platform, err = newMachineInterface(s.addr(kindPlatform, 1, 8621))
	return s, err
}

func (s *system) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", s.octet, kind, n) }

func (s *system) addr(kind, n, port int) string { return fmt.Sprintf("%s:%d", s.ip(kind, n), port) }

// stop ends all processes that the case started, and removes the temporary folder.
func (s *system) stop() {
	for _, p := range append(s.controls, s.entries...) {
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
	s.mu.Lock()
	workers := s.workers
	s.mu.Unlock()
	for _, w := range workers {
		w.close()
	}
	if s.claim != nil {
		_ = s.claim.Close()
	}
	_ = s.log.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// settingsOf returns the settings file of a machine, as the platform's page shows it.
func (s *system) settingsOf(p *process, n int, seeds []string) string {
	lines := []string{
		fmt.Sprintf("node=%s-%d", p.role, n), "role=" + p.role, "ip=" + p.ip, fmt.Sprintf("zone=zone-%d", n), "region=region-1",
		"zones.zone-1=region-1", "zones.zone-2=region-1", "zones.zone-3=region-1",
		fmt.Sprintf("portRange=%d,%d", peerPort, peerPort+15), "seeds=" + strings.Join(seeds, ","), fmt.Sprintf("bootstrap=%v", !p.joins),
		"limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "discovery=registry", "entry=vip", "heartbeatMs=1500",
		"faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regions=0",
		"bounds.contactMs=3000", "bounds.ackTimeoutMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000", "bounds.graceS=6",
		"bounds.configApplyMs=2000", "bounds.recoveryS=12", "bounds.maxHoldMs=10000", "bounds.stopTimeoutMs=200",
		"bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.status_s=120", "bounds.moveS=1.5", "bounds.maintenanceS=2",
		"bounds.requireFencing=false", "bounds.leaseMs=3000", "config_mode=highest", "commands=heartbeat", "cloud.address=" + s.platform.address,
	}
	if p.role == "control" {
		lines = append(lines, "machineClass=core", "serves=control", "inTolerance=true", "listen.control="+net.JoinHostPort(p.ip, fmt.Sprint(controlPort)),
			"dataDir="+s.dataFolder(p))
	} else {
		lines = append(lines, "machineClass=edge", "serves=edge", "inTolerance=false", "listen.front="+net.JoinHostPort(p.ip, fmt.Sprint(frontPort)),
			"listen.readiness="+net.JoinHostPort(p.ip, fmt.Sprint(readyPort)))
	}
	return strings.Join(lines, "\n") + "\n"
}

// seeds returns the addresses of the control processes.
func (s *system) seeds() []string {
	var all []string
	for n := range 3 {
		all = append(all, s.addr(kindControl, n+1, controlPort))
	}
	return all
}

// start writes the settings of a process and starts it with the command of the deploy
// file.
func (s *system) start(p *process, n int, seeds []string) error {
	p.settings = filepath.Join(s.dir, p.ip+".conf")
	if err := os.WriteFile(p.settings, []byte(s.settingsOf(p, n, seeds)), 0o600); err != nil {
		return err
	}
	p.cmd = exec.Command("target/platform", p.role)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CAMPHORRIDGE_CONFIG=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = s.log, s.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	s.rec.note("started %s %s", p.role, p.ip)
	return nil
}

// startAddedControl starts a control process on a new machine in the zone of the process
// with the given number.
func (s *system) startAddedControl(zone int) error {
	p := &process{role: "control", ip: s.ip(kindControl, len(s.controls)+1), joins: true}
	err := s.start(p, zone, s.seeds())
	s.controls = append(s.controls, p)
	return err
}

// terminate sends SIGTERM to a process and waits until it has exited, for at most grace.
func (s *system) terminate(p *process, grace time.Duration) {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(grace):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// loseDisk kills a control process and removes its data folder.
func (s *system) loseDisk(p *process) error {
	_ = p.cmd.Process.Kill()
	<-p.exited
	return os.RemoveAll(s.dataFolder(p))
}

func (s *system) dataFolder(p *process) string { return filepath.Join(s.dir, "data-"+p.ip) }

// startControls starts three control processes and waits for a leader.
func (s *system) startControls() error {
	for n := range 3 {
		p := &process{role: "control", ip: s.ip(kindControl, n+1)}
		if err := s.start(p, n+1, s.seeds()); err != nil {
			return err
		}
		s.controls = append(s.controls, p)
	}
	return s.wait("a leader", func() bool { return s.leader() > 0 })
}

// startEntry starts an entry process with the given seeds and waits until it is ready.
func (s *system) startEntry(seeds []string) (*process, error) {
	n := len(s.entries) + 1
	p := &process{role: "entry", ip: s.ip(kindEntry, n)}
	if err := s.start(p, n, seeds); err != nil {
		return nil, err
	}
	s.entries = append(s.entries, p)
	url := fmt.Sprintf("http://%s:%d/camphorridge/readyz", p.ip, readyPort)
	return p, s.wait("entry "+p.ip+" to be ready", func() bool {
		status, _ := call(http.MethodGet, url, "", "", time.Second)
		return status == http.StatusOK
	})
}

// leader returns the number of the control process that leads, or 0. Only the leader
// answers a read of the configuration without a redirect to another process.
func (s *system) leader() int {
	client := &http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for n := range 3 {
		resp, err := client.Get("http://" + s.addr(kindControl, n+1, controlPort) + "/camphorridge/config")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusTemporaryRedirect {
			for k := range 3 {
				if strings.Contains(resp.Header.Get("Location"), s.addr(kindControl, k+1, controlPort)) {
					return k + 1
				}
			}
		}
	}
	return 0
}

// wait waits until f returns true.
func (s *system) wait(what string, f func() bool) error {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if f() {
			return nil
		}
	}
	return fmt.Errorf("timed out waiting for %s", what)
}

// configure sends a configuration to the control processes in turn until one of them
// acknowledges it.
func (s *system) configure(version int, withQueue bool) error {
	queue := `{"name":"r-1","host":"h.example","pathPrefix":"/jobs/","type":"unsafe","timeoutMs":3000,"targetLatencyMs":3600,"priority":0,"backend":"pool-1","attempts":3,"stretch":1.6},`
	if !withQueue {
		queue = ""
	}
	body := fmt.Sprintf(`{"version":%d,"routes":[%s{"name":"r-2","host":"h.example","pathPrefix":"/other/","type":"unsafe","timeoutMs":3000,"targetLatencyMs":3600,"priority":0,"backend":"pool-2","attempts":3,"stretch":1.6}],"services":[{"name":"pool-1","healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"admissionControl":true,"standby":false},{"name":"pool-2","healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"admissionControl":true,"standby":false},{"name":"pool-3","healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"admissionControl":true,"standby":true}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, queue)
	return s.wait("configuration", func() bool {
		for n := range 3 {
			status, _ := call(http.MethodPut, "http://"+s.addr(kindControl, n+1, controlPort)+"/camphorridge/config", "", body, time.Second)
			if status == http.StatusOK {
				s.rec.note("operator: configuration %d (queue /jobs/: %v) acknowledged", version, withQueue)
				return true
			}
		}
		return false
	})
}

// client sends a client's call for a job of the queue /jobs/ to an entry process and notes
// it.
func (s *system) client(p *process, method, id, body string, timeout time.Duration) int {
	return s.clientOf("/jobs/", p, method, id, body, timeout)
}

// clientOf is client for a job of the queue with the given prefix.
func (s *system) clientOf(prefix string, p *process, method, id, body string, timeout time.Duration) int {
	s.rec.note("client: %s job %s to entry %s", method, id, p.ip)
	status, answer := call(method, fmt.Sprintf("http://%s:%d%s%s", p.ip, frontPort, prefix, id), "h.example", body, timeout)
	if status == 0 {
		s.rec.note("client: %s job %s: no answer (%s)", method, id, answer)
	} else {
		s.rec.note("client: %s job %s: status %d %s", method, id, status, strings.TrimSpace(answer))
	}
	return status
}

// call sends a request. It returns status 0 and the error's text without a complete
// answer within the timeout.
func call(method, url, host, body string, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	q.Host = host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Deadline-Ms", "3000")
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}
