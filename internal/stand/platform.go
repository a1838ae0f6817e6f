package stand

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"camphorridge/core/state/clock"
)

// rebootGrace bounds the wait for requests in flight at a reboot; a drained
// instance has none.
const rebootGrace = 5 * time.Second

// Platform hosts several stand-in upstreams in one process and reboots them
// on request, as the platform's interface does.
type Platform struct {
	// RebootTime is how long an instance is away at a reboot.
	RebootTime time.Duration
	mu         sync.Mutex
	upstreams  map[string]*Upstream
	reboots    map[string]int
	history    []Run
	server     *http.Server
	listener   net.Listener
	ended      sync.WaitGroup
}

// StartPlatform starts the upstreams and the platform's HTTP interface.
func StartPlatform(address string, reboot time.Duration, all []Options) (*Platform, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("stand-in platform: %w", err)
	}
	p := &Platform{
		RebootTime: reboot, listener: l,
		upstreams: map[string]*Upstream{}, reboots: map[string]int{},
	}
	for _, o := range all {
		u, err := Start(o)
		if err != nil {
			p.closeUpstreams()
			_ = l.Close()
			return nil, err
		}
		p.upstreams[o.Instance] = u
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /reboot", p.handleReboot)
	mux.HandleFunc("POST /leave", p.handleLeave)
	mux.HandleFunc("GET /summary", p.handleSummary)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	p.ended.Add(1)
	go func() {
		defer p.ended.Done()
		_ = p.server.Serve(l)
	}()
	return p, nil
}

// Addr is the address of the platform's interface.
func (p *Platform) Addr() string { return p.listener.Addr().String() }

// Close stops all upstreams at once.
func (p *Platform) Close() {
	_ = p.server.Close()
	p.ended.Wait()
	p.closeUpstreams()
}

func (p *Platform) closeUpstreams() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.upstreams {
		u.Close()
	}
}

// Upstream returns a hosted upstream; nil for an unknown or absent one.
func (p *Platform) Upstream(instance string) *Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstreams[instance]
}

// Record returns what all hosted upstreams ran, including before reboots.
func (p *Platform) Record() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := append([]Run(nil), p.history...)
	for _, u := range p.upstreams {
		out = append(out, u.Record()...)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Started < out[j].Started })
	return out
}

// Reboots is the number of reboots of an instance.
func (p *Platform) Reboots(instance string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reboots[instance]
}

// Kill stops an upstream at once and keeps its record.
func (p *Platform) Kill(instance string) {
	u := p.take(instance)
	if u == nil {
		return
	}
	u.Close()
	p.keep(u)
}

// Start starts an upstream that is absent, under a higher incarnation than
// before, as after a repair.
func (p *Platform) Start(o Options) error {
	u, err := Start(o)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstreams[o.Instance] = u
	return nil
}

func (p *Platform) take(instance string) *Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[instance]
	delete(p.upstreams, instance)
	return u
}

func (p *Platform) keep(u *Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = append(p.history, u.Record()...)
}

func (p *Platform) handleReboot(w http.ResponseWriter, r *http.Request) {
	instance := r.URL.Query().Get("instance")
	u := p.take(instance)
	if u == nil {
		http.Error(w, "unknown or absent instance", http.StatusNotFound)
		return
	}
	p.mu.Lock()
	p.reboots[instance]++
	p.mu.Unlock()
	p.ended.Add(1)
	go func() {
		defer p.ended.Done()
		p.reboot(u)
	}()
	w.WriteHeader(http.StatusAccepted)
}

func (p *Platform) reboot(u *Upstream) {
	ctx, cancel := context.WithTimeout(context.Background(), rebootGrace)
	defer cancel()
	o := u.Options
	o.Pool = u.CurrentPool()
	o.Address = u.Addr()
	_ = u.Shutdown(ctx)
	p.keep(u)
	<-clk.After(clock.FromDuration(p.RebootTime))
	next, err := Start(o)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.upstreams[o.Instance] = next
	p.mu.Unlock()
}

func (p *Platform) handleLeave(w http.ResponseWriter, r *http.Request) {
	u := p.Upstream(r.URL.Query().Get("instance"))
	if u == nil {
		http.Error(w, "unknown or absent instance", http.StatusNotFound)
		return
	}
	u.Leave()
	w.WriteHeader(http.StatusOK)
}

// handleSummary prints the number of requests by pool and the largest number
// that ran at once on one instance.
func (p *Platform) handleSummary(w http.ResponseWriter, _ *http.Request) {
	counts := map[string]int{}
	for _, r := range p.Record() {
		counts[r.Pool]++
	}
	p.mu.Lock()
	most, reboots := 0, 0
	for _, u := range p.upstreams {
		most = max(most, u.MaxRunning())
	}
	for _, n := range p.reboots {
		reboots += n
	}
	p.mu.Unlock()
	names := make([]string, 0, len(counts))
	for n := range counts {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		fmt.Fprintf(w, "%s %s\n", n, strconv.Itoa(counts[n]))
	}
	fmt.Fprintf(w, "most-at-once %d\nreboots %d\n", most, reboots)
}
