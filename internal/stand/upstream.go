package stand

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"camphorridge/core/state/clock"
)

// clk is the clock of all stand-ins.
var clk = clock.Real()

// Request headers that tell a stand-in upstream how to behave.
const (
	// FaultHeader is one of the faults below.
	FaultHeader = "Stand-Fault"
	// DelayHeader is the time in milliseconds that the request takes.
	DelayHeader = "Stand-Delay-Ms"
	// IDHeader is the caller's own name for the request, for the record.
	IDHeader = "Stand-Id"
)

// The faults.
const (
	FaultHang     = "hang"
	FaultCut      = "cut"
	FaultFail     = "fail"
	FaultClose    = "close"
	FaultNotRun   = "not-run"
	FaultNoLength = "no-length"
	// FaultCrossed answers under the identity of another request.
	FaultCrossed = "crossed"
)

// Run is one request that a stand-in upstream ran.
type Run struct {
	Seq      int
	ID       string
	Method   string
	Path     string
	Pool     string
	Instance string
	Entry    string
	Started  clock.Millis
	// Ended is 0 while the request runs.
	Ended clock.Millis
	// Finished says that the handler wrote its whole answer.
	Finished bool
	// Cut says that the connection closed before the answer was whole.
	Cut bool
}

// Options describe a stand-in upstream.
type Options struct {
	Instance    string
	Zone        string
	Rack        string
	Pool        string
	Slots       int
	Connections int
	// Announce lists the upstream-facing addresses of the zone's entry
	// processes; one of them is asked in turn.
	Announce []string
	// Delay is the time that a request takes unless its header says so.
	Delay time.Duration
	// Advertise is the address to announce, such as that of a relay; empty
	// announces Address.
	Advertise string
	// Address is the address to listen on; empty picks a free port.
	Address string
}

// Upstream is a running stand-in upstream.
type Upstream struct {
	Options
	mu          sync.Mutex
	runs        []Run
	running     int
	maxRunning  int
	pool        string
	incarnation uint64
	leaving     bool
	rejected    string
	server      *http.Server
	listener    net.Listener
	done        chan struct{}
	ended       sync.WaitGroup
}

// Start listens, announces and serves until Close.
func Start(o Options) (*Upstream, error) {
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, fmt.Errorf("stand-in upstream %s: %w", o.Instance, err)
	}
	u := &Upstream{
		Options: o, pool: o.Pool, listener: l, done: make(chan struct{}),
		incarnation: uint64(clk.Now()),
	}
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: 10 * time.Second}
	u.ended.Add(1)
	go func() {
		defer u.ended.Done()
		_ = u.server.Serve(l)
	}()
	if len(o.Announce) > 0 {
		u.ended.Add(1)
		go u.announceLoop()
	}
	return u, nil
}

// Addr is the address that the upstream serves.
func (u *Upstream) Addr() string { return u.listener.Addr().String() }

// announced is the address that the upstream announces.
func (u *Upstream) announced() string {
	if u.Advertise != "" {
		return u.Advertise
	}
	return u.Addr()
}

// Close stops at once, as a killed process does.
func (u *Upstream) Close() {
	u.stop()
	_ = u.server.Close()
	u.ended.Wait()
}

func (u *Upstream) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	select {
	case <-u.done:
	default:
		close(u.done)
	}
}

// Leave announces that the upstream leaves; it goes on to serve.
func (u *Upstream) Leave() {
	u.mu.Lock()
	u.leaving = true
	u.mu.Unlock()
	u.AnnounceOnce(context.Background())
}

// Shutdown finishes the requests in flight and then stops.
func (u *Upstream) Shutdown(ctx context.Context) error {
	err := u.server.Shutdown(ctx)
	u.stop()
	u.ended.Wait()
	return err
}

// Record returns a copy of the requests that the upstream ran.
func (u *Upstream) Record() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

// MaxRunning is the largest number of requests that ran at once.
func (u *Upstream) MaxRunning() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.maxRunning
}

// CurrentPool is the pool that the upstream serves now.
func (u *Upstream) CurrentPool() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.pool
}

// Rejected is the reason of the last rejected announcement; empty for none.
func (u *Upstream) Rejected() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rejected
}

// Restart gives the upstream a higher incarnation, as a reboot does.
func (u *Upstream) Restart() {
	u.mu.Lock()
	u.incarnation++
	u.mu.Unlock()
}

func (u *Upstream) begin(r *http.Request) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running++
	u.maxRunning = max(u.maxRunning, u.running)
	// The path is /<service>/..., and the service is the pool asked for.
	asked, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	u.runs = append(u.runs, Run{
		Seq: len(u.runs), ID: r.Header.Get(IDHeader), Method: r.Method, Path: r.URL.Path,
		Pool: asked, Instance: u.Instance,
		Entry: r.Header.Get("Camphorridge-Entry"), Started: clk.Now(),
	})
	return len(u.runs) - 1
}

func (u *Upstream) end(seq int, finished bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	u.runs[seq].Ended = clk.Now()
	u.runs[seq].Finished = finished
	u.runs[seq].Cut = !finished
}

// ServeHTTP runs one request and records it.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	fault := r.Header.Get(FaultHeader)
	if fault == FaultNotRun {
		w.Header().Set("Camphorridge-Outcome", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	seq := u.begin(r)
	finished := false
	defer func() { u.end(seq, finished) }()
	if !u.wait(r) {
		return
	}
	w.Header().Set("Camphorridge-Request-Id", r.Header.Get("Camphorridge-Request-Id"))
	if fault == FaultCrossed {
		w.Header().Set("Camphorridge-Request-Id", "of-another-request")
	}
	finished = u.answer(w, r, fault, body)
}

// wait takes the time that the request asks for; false when it was cut.
func (u *Upstream) wait(r *http.Request) bool {
	d := u.Delay
	if ms, err := strconv.Atoi(r.Header.Get(DelayHeader)); err == nil {
		d = time.Duration(ms) * time.Millisecond
	}
	if r.Header.Get(FaultHeader) == FaultHang {
		d = time.Hour
	}
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	case <-u.done:
		return false
	}
}

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, fault string, body []byte) bool {
	text := fmt.Sprintf("%s %s %s %d\n", u.Instance, r.Header.Get(IDHeader), r.URL.Path, len(body))
	switch fault {
	case FaultFail:
		http.Error(w, "the stand-in was asked to fail", http.StatusInternalServerError)
	case FaultClose:
		panic(http.ErrAbortHandler)
	case FaultCut:
		w.Header().Set("Content-Length", strconv.Itoa(len(text)+1000))
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case FaultNoLength:
		return u.answerWithoutLength(w, text)
	default:
		_, err := io.WriteString(w, text)
		return err == nil
	}
	return true
}

// answerWithoutLength ends the body by closing the connection, so that its
// end can't be told from a cut.
func (u *Upstream) answerWithoutLength(w http.ResponseWriter, text string) bool {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer c.Close()
	_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+text)
	return err == nil
}

func (u *Upstream) announceLoop() {
	defer u.ended.Done()
	for {
		lease := u.AnnounceOnce(context.Background())
		t := time.NewTimer(lease / 3)
		select {
		case <-t.C:
		case <-u.done:
			t.Stop()
			return
		}
	}
}

// soon is the lease after a change of pool, which is announced at once.
const soon = 10 * time.Millisecond

// defaultLease is used until an entry process tells the lease.
const defaultLease = 1500 * time.Millisecond

var announceClient = &http.Client{Timeout: 500 * time.Millisecond}

// AnnounceOnce announces to the first entry process that answers, starting
// with another one each time, and returns the lease.
func (u *Upstream) AnnounceOnce(ctx context.Context) time.Duration {
	u.mu.Lock()
	form := u.form()
	start := int(clk.Now() / 100)
	u.mu.Unlock()
	for i := range u.Announce {
		addr := u.Announce[(start+i)%len(u.Announce)]
		answer, status, err := post(ctx, "http://"+addr+"/announce", form)
		if err != nil {
			continue
		}
		return u.take(answer, status)
	}
	return defaultLease
}

// form returns the announcement; mu is held.
func (u *Upstream) form() url.Values {
	state := "serving"
	if u.leaving {
		state = "leaving"
	}
	return url.Values{
		"instance": {u.Instance}, "zone": {u.Zone}, "rack": {u.Rack}, "pool": {u.pool},
		"address": {u.announced()}, "slots": {strconv.Itoa(u.Slots)},
		"connections": {strconv.Itoa(u.Connections)},
		"incarnation": {strconv.FormatUint(u.incarnation, 10)},
		"state":       {state}, "health-path": {"/health"},
	}
}

// take reads the answer to an announcement. An instance that was assigned to
// another pool serves that pool from then on, under a higher incarnation.
func (u *Upstream) take(answer url.Values, status int) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rejected = ""
	if status != http.StatusOK {
		u.rejected = answer.Get("reason")
		return defaultLease
	}
	if p := answer.Get("pool"); p != "" && p != u.pool {
		u.pool = p
		u.incarnation++
		return soon
	}
	ms, err := strconv.Atoi(answer.Get("lease-ms"))
	if err != nil || ms <= 0 {
		return defaultLease
	}
	return time.Duration(ms) * time.Millisecond
}

func post(ctx context.Context, to string, form url.Values) (url.Values, int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, to, strings.NewReader(form.Encode()))
	if err != nil {
		return nil, 0, err
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	resp, err := announceClient.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil {
		return nil, 0, err
	}
	v, err := url.ParseQuery(strings.TrimSpace(string(b)))
	return v, resp.StatusCode, err
}
