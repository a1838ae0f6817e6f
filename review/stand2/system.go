package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of the processes. They are the same on all machines.
const (
	frontPort   = 8624
	readyPort   = 8622
	controlPort = 8623
	firstPort   = 7060
	lastPort    = 7075
	cloudPort   = 8621
	claimPort   = 6998
)

// The bounds of the deployment that the cases use.
const (
	maxHold      = 10 * time.Second
	stopTimeout  = 200 * time.Millisecond
	gangTimeout  = 3 * time.Second
	cancelBound  = 3 * time.Second
	finishBound  = 14 * time.Second
	idleBound    = 3 * time.Second
	restartBound = 6 * time.Second
	earlyBound   = 250 * time.Millisecond
	upkeepTime   = 2 * time.Second
	moveTime     = 1500 * time.Millisecond
	noticeBound  = 4500 * time.Millisecond
)

// standbyPool is the service whose machines are off.
const standbyPool = "lohu93e"

// process is a control or entry process of the system.
type process struct {
	role, ip, folder string
	cmd              *exec.Cmd
	exited           chan struct{}
}

// system is the system under test with all that stands around it.
type system struct {
	rec      *record
	trouble  bool
	folder   string
	octet    int
	claim    net.Listener
	controls []*process
	entries  []*process
	cloud    *cloud
	fleet    *fleet
	version  int
}

// newSystem starts three control and two entry processes, and the platform.
func newSystem(rec *record, trouble bool) (*system, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, trouble: trouble, folder: folder}
	if err := s.claimNetwork(); err != nil {
		return nil, err
	}
	s.fleet = newFleet(s)
	if s.cloud, err = newCloud(s); err != nil {
		return nil, err
	}
	for i := range 3 {
		s.controls = append(s.controls, s.newProcess("control", s.ip(1, i+1)))
	}
	for i := range 2 {
		s.entries = append(s.entries, s.newProcess("entry", s.ip(2, i+1)))
	}
	for i, p := range s.processes() {
		if err := s.writeSettings(p, i); err != nil {
			return nil, err
		}
	}
	for _, p := range s.processes() {
		if err := s.start(p); err != nil {
			s.stop()
			return nil, err
		}
	}
	return s, nil
}

// claimNetwork finds a loopback network 127.octet.x.y that no other run uses.
func (s *system) claimNetwork() error {
	for i := range 100 {
		octet := 20 + (os.Getpid()+i)%100
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.253:%d", octet, claimPort))
		if err == nil {
			s.octet, s.claim = octet, l
			return nil
		}
	}
	return fmt.Errorf("every loopback network is in use")
}

func (s *system) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", s.octet, kind, n) }

func (s *system) processes() []*process {
	return append(append([]*process{}, s.controls...), s.entries...)
}

func (s *system) newProcess(role, ip string) *process {
	return &process{role: role, ip: ip, folder: filepath.Join(s.folder, ip)}
}

// controlAddresses returns the addresses at which the control processes serve minions and
// the operator.
func (s *system) controlAddresses() []string {
	var all []string
	for _, p := range s.controls {
		all = append(all, fmt.Sprintf("%s:%d", p.ip, controlPort))
	}
	return all
}

// writeSettings writes the settings file of a process, with the keys of a small
// deployment.
func (s *system) writeSettings(p *process, n int) error {
	zones := []string{"wien-a", "wien-b", "linz-c"}
	class := "core"
	if p.role == "entry" {
		class = "edge"
	}
	lines := []string{
		fmt.Sprintf("node=%s-%d", p.role, n), "role=" + p.role, "machineClass=" + class, "ip=" + p.ip, "zone=" + zones[n%3], "region=at-ost",
		"zones.wien-a=at-ost", "zones.wien-b=at-ost", "zones.linz-c=at-ost",
		fmt.Sprintf("portRange=%d,%d", firstPort, lastPort), "seeds=" + strings.Join(s.controlAddresses(), ","),
		"bootstrap=true", "limits.cpuShare=0.56", "limits.cores=1", "limits.memoryMb=280", "limits.maxFds=4096", "limits.linkMbps=1000.0",
		"discovery=registry", "entry=vip", "heartbeatMs=1500", "contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing",
		"faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.ackTimeoutMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000",
		"bounds.graceS=6", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250", "bounds.maxStretchMs=5000",
		"bounds.recoveryS=12", "bounds.maxHoldMs=10000", "bounds.stopTimeoutMs=200", "bounds.gangTimeoutMs=3000", "bounds.cancel_ms=3000",
		"bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.remoteFactor=1.5",
		"bounds.checkpointS=0.5", "bounds.restoreMs=600", "bounds.noticeMs=4500", "bounds.moveS=1.5", "bounds.maintenanceS=2",
		"bounds.requireFencing=false", "bounds.leaseMs=3000", "bounds.thawSlackMs=300", "bounds.paceMs=100", "bounds.harmMs=4000",
		"config_mode=highest", "commands=heartbeat", "advice=" + s.cloud.address, "cloud.address=" + s.cloud.address,
		"cloud.ratePerS=64.0", "cloud.duties=", "cloud.dutyPerS=64.0",
	}
	if p.role == "control" {
		lines = append(lines, "serves=control", "inTolerance=true", "limits.diskMb=128",
			fmt.Sprintf("listen.control=%s:%d", p.ip, controlPort), "dataDir="+filepath.Join(p.folder, "data"))
	} else {
		lines = append(lines, "serves=edge", "inTolerance=false", "limits.diskMb=0",
			fmt.Sprintf("listen.front=%s:%d", p.ip, frontPort), fmt.Sprintf("listen.readiness=%s:%d", p.ip, readyPort))
	}
	if err := os.MkdirAll(filepath.Join(p.folder, "data"), 0o750); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.folder, "node.conf"), []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts a process with the command of the deploy file.
func (s *system) start(p *process) error {
	out, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	p.cmd = exec.Command("target/platform", p.role)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.folder, "CAMPHORRIDGE_CONFIG=" + filepath.Join(p.folder, "node.conf")}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	s.rec.note("started %s %s, process %d", p.role, p.ip, p.cmd.Process.Pid)
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
	return nil
}

// kill sends SIGKILL to a process and waits for its end.
func (s *system) kill(p *process) {
	s.rec.note("SIGKILL to %s %s", p.role, p.ip)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

func (s *system) signal(p *process, sig syscall.Signal) {
	s.rec.note("%v to %s %s", sig, p.role, p.ip)
	_ = p.cmd.Process.Signal(sig)
}

// stop ends all processes and stand-ins.
func (s *system) stop() {
	s.fleet.stop()
	for _, p := range s.processes() {
		if p.cmd == nil || p.cmd.Process == nil {
			continue
		}
		_ = p.cmd.Process.Kill()
		if p.exited != nil {
			<-p.exited
		}
	}
	s.cloud.stop()
	_ = s.claim.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// wait waits until f returns true.
func wait(what string, limit time.Duration, f func() bool) error {
	for deadline := time.Now().Add(limit); !f(); {
		if time.Now().After(deadline) {
			return fmt.Errorf("timed out waiting for %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// waitReady waits until all entry processes report that they are ready.
func (s *system) waitReady() error {
	for _, e := range s.entries {
		url := fmt.Sprintf("http://%s:%d/camphorridge/readyz", e.ip, readyPort)
		if err := wait("entry "+e.ip, 20*time.Second, func() bool {
			status, _ := send(http.MethodGet, url, "", "", time.Second)
			return status == http.StatusOK
		}); err != nil {
			return err
		}
	}
	return nil
}

// leader returns the control process that answers a read of the configuration itself.
func (s *system) leader() *process {
	for _, p := range s.controls {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/camphorridge/config", p.ip, controlPort), nil)
		if err != nil {
			cancel()
			continue
		}
		resp, err := noRedirects.Do(q)
		if err == nil {
			_ = resp.Body.Close()
		}
		cancel()
		if err == nil && resp.StatusCode == http.StatusOK {
			return p
		}
	}
	return nil
}

// noRedirects is a client that does not follow redirects and keeps no connections.
var noRedirects = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}
