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

// rebootGrace is the maximum time that a reboot waits for requests in flight. A
// drained instance has none.
const rebootGrace = 5 * time.Second

// Platform is a stand-in for the platform that runs instances and reboots them. It
// runs stand-in upstreams in this process and reboots them on request. It has nothing
// to do with the users' platform that package platform connects to and whose stand-in
// is in that package's tests.
type Platform struct {
	// RebootTime is how long an instance is down during a reboot.
	RebootTime time.Duration
	mu         sync.Mutex
	// upstreams holds the running upstream of each instance.
	upstreams map[string]*Upstream
	// reboots holds the number of started reboots of each instance.
	reboots map[string]int
	// history holds the requests that stopped upstreams have handled.
	history    []HandledRequest
	server     *http.Server
	listener   net.Listener
	goroutines sync.WaitGroup
}

// StartPlatform starts the given upstreams, and the platform's HTTP interface at the
// given address.
func StartPlatform(address string, rebootTime time.Duration, all []Options) (*Platform, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("stand-in platform: %w", err)
	}
	p := &Platform{
		RebootTime: rebootTime, listener: l,
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
	p.goroutines.Add(1)
	go func() {
		defer p.goroutines.Done()
		_ = p.server.Serve(l)
	}()
	return p, nil
}

// Addr returns the address of the platform's interface.
func (p *Platform) Addr() string { return p.listener.Addr().String() }

// Close stops the HTTP interface, waits for reboots to end, and stops all upstreams
// without finishing their requests.
func (p *Platform) Close() {
	_ = p.server.Close()
	p.goroutines.Wait()
	p.closeUpstreams()
}

func (p *Platform) closeUpstreams() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.upstreams {
		u.Close()
	}
}

// Upstream returns a running upstream, or nil if the instance is unknown or down.
func (p *Platform) Upstream(instance string) *Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstreams[instance]
}

// HandledRequests returns the requests that all upstreams have handled, including
// those before reboots, sorted by their start.
func (p *Platform) HandledRequests() []HandledRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := append([]HandledRequest(nil), p.history...)
	for _, u := range p.upstreams {
		out = append(out, u.HandledRequests()...)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Started < out[j].Started })
	return out
}

// Reboots returns the number of started reboots of an instance.
func (p *Platform) Reboots(instance string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reboots[instance]
}

// Kill stops an upstream immediately, as a crash does. The requests that it has
// handled are kept.
func (p *Platform) Kill(instance string) {
	u := p.remove(instance)
	if u == nil {
		return
	}
	u.Close()
	p.saveRequests(u)
}

// Start starts an upstream whose instance is down, as after a repair. Its incarnation
// is its start time, and so higher than before.
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

// remove removes and returns a running upstream, or returns nil if there is none.
func (p *Platform) remove(instance string) *Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[instance]
	delete(p.upstreams, instance)
	return u
}

// saveRequests adds the requests of a stopped upstream to the history.
func (p *Platform) saveRequests(u *Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = append(p.history, u.HandledRequests()...)
}

// handleReboot starts the reboot of an instance and answers without waiting for its
// end.
func (p *Platform) handleReboot(w http.ResponseWriter, r *http.Request) {
	instance := r.URL.Query().Get("instance")
	u := p.remove(instance)
	if u == nil {
		http.Error(w, "instance is unknown or down", http.StatusNotFound)
		return
	}
	p.mu.Lock()
	p.reboots[instance]++
	p.mu.Unlock()
	p.goroutines.Add(1)
	go func() {
		defer p.goroutines.Done()
		p.reboot(u)
	}()
	w.WriteHeader(http.StatusAccepted)
}

// reboot stops an upstream, waits for RebootTime, and starts it again at the same
// address and in the pool that it served last. If the start fails, the instance stays
// down.
func (p *Platform) reboot(u *Upstream) {
	ctx, cancel := context.WithTimeout(context.Background(), rebootGrace)
	defer cancel()
	o := u.Options
	o.Pool = u.CurrentPool()
	o.Address = u.Addr()
	_ = u.Shutdown(ctx)
	p.saveRequests(u)
	<-clk.After(clock.FromDuration(p.RebootTime))
	next, err := Start(o)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.upstreams[o.Instance] = next
	p.mu.Unlock()
}

// handleLeave makes an instance announce that it is leaving.
func (p *Platform) handleLeave(w http.ResponseWriter, r *http.Request) {
	u := p.Upstream(r.URL.Query().Get("instance"))
	if u == nil {
		http.Error(w, "instance is unknown or down", http.StatusNotFound)
		return
	}
	u.Leave()
	w.WriteHeader(http.StatusOK)
}

// handleSummary writes the number of requests by pool, the largest number of
// requests that ran at the same time on one instance, and the number of reboots. The
// second counts only upstreams that are up, since their last start.
func (p *Platform) handleSummary(w http.ResponseWriter, _ *http.Request) {
	counts := map[string]int{}
	for _, r := range p.HandledRequests() {
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
