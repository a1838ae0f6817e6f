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

// Request headers that control a stand-in upstream.
const (
	// FaultHeader names the fault to inject.
	FaultHeader = "Stand-Fault"
	// DelayHeader holds how long the request takes, in milliseconds.
	DelayHeader = "Stand-Delay-Ms"
	// IDHeader holds the caller's ID of the request, which is recorded.
	IDHeader = "Stand-Id"
)

// Values of FaultHeader.
const (
	// FaultHang delays the answer for an hour.
	FaultHang = "hang"
	// FaultCut closes the connection in the middle of the answer.
	FaultCut = "cut"
	// FaultFail answers with status 500.
	FaultFail = "fail"
	// FaultClose closes the connection without an answer.
	FaultClose = "close"
	// FaultNotRun refuses the request as not run.
	FaultNotRun = "not-run"
	// FaultNoLength answers without a Content-Length and closes the connection.
	FaultNoLength = "no-length"
	// FaultWrongID answers with the request ID of another request.
	FaultWrongID = "crossed"
)

// HandledRequest is one request that a stand-in upstream handles or has handled.
type HandledRequest struct {
	// Seq is the number of requests that the upstream recorded before this one.
	Seq    int
	ID     string
	Method string
	Path   string
	// Pool is the first segment of Path, which names the pool that the request is for.
	Pool     string
	Instance string
	// Entry is the value of the request's header Camphorridge-Entry.
	Entry   string
	Started clock.Millis
	// Ended is 0 while the request is being handled.
	Ended clock.Millis
	// Finished reports whether the handler has written its whole answer.
	Finished bool
	// Cut reports whether the handler ended before it had written its whole answer.
	Cut bool
}

// Options are the settings of a stand-in upstream.
type Options struct {
	Instance    string
	Zone        string
	Rack        string
	Pool        string
	Slots       int
	Connections int
	// AnnounceTo lists the upstream-facing addresses of the zone's entry
	// processes. Each announcement goes to one of them. If it is empty, the upstream
	// doesn't announce itself.
	AnnounceTo []string
	// Delay is how long a request takes if it has no DelayHeader.
	Delay time.Duration
	// Advertise is the address to announce, such as that of a relay. If it is
	// empty, the listening address is announced.
	Advertise string
	// Address is the address to listen on. If it is empty, a free port is used.
	Address string
}

// Upstream is a running stand-in upstream.
type Upstream struct {
	Options
	mu              sync.Mutex
	requests        []HandledRequest
	running         int
	maxRunning      int
	pool            string
	incarnation     uint64
	leaving         bool
	rejectionReason string
	server          *http.Server
	listener        net.Listener
	done            chan struct{}
	goroutines      sync.WaitGroup
}

// Start starts a stand-in upstream, which serves and announces itself until it is
// closed. Its incarnation is its start time. Start returns an error if it can't listen
// on the address.
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
	u.goroutines.Add(1)
	go func() {
		defer u.goroutines.Done()
		_ = u.server.Serve(l)
	}()
	if len(o.AnnounceTo) > 0 {
		u.goroutines.Add(1)
		go u.announceLoop()
	}
	return u, nil
}

// Addr returns the address that the upstream listens on.
func (u *Upstream) Addr() string { return u.listener.Addr().String() }

// announcedAddress returns the address that the upstream announces.
func (u *Upstream) announcedAddress() string {
	if u.Advertise != "" {
		return u.Advertise
	}
	return u.Addr()
}

// Close stops the upstream immediately, as if its process were killed. The
// connections close first: a handler whose delay ended before that would still
// answer.
func (u *Upstream) Close() {
	_ = u.server.Close()
	u.stop()
	u.goroutines.Wait()
}

// stop ends the announcements and the delays of requests.
func (u *Upstream) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	select {
	case <-u.done:
	default:
		close(u.done)
	}
}

// Leave announces that the upstream is leaving. It keeps serving.
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
	u.goroutines.Wait()
	return err
}

// HandledRequests returns a copy of the requests that the upstream has recorded, in
// the order of their start.
func (u *Upstream) HandledRequests() []HandledRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]HandledRequest(nil), u.requests...)
}

// MaxRunning returns the largest number of requests that ran at the same time since
// the start of the upstream.
func (u *Upstream) MaxRunning() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.maxRunning
}

// CurrentPool returns the pool that the upstream serves.
func (u *Upstream) CurrentPool() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.pool
}

// RejectionReason returns why the last announcement was rejected. It is empty if
// the announcement was accepted.
func (u *Upstream) RejectionReason() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rejectionReason
}

// RaiseIncarnation gives the upstream a higher incarnation, as a reboot does.
func (u *Upstream) RaiseIncarnation() {
	u.mu.Lock()
	u.incarnation++
	u.mu.Unlock()
}

// recordStart records the start of a request and returns its index in requests.
func (u *Upstream) recordStart(r *http.Request) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running++
	u.maxRunning = max(u.maxRunning, u.running)
	// The path is /<service>/..., and the service is the name of the pool.
	pool, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	u.requests = append(u.requests, HandledRequest{
		Seq: len(u.requests), ID: r.Header.Get(IDHeader), Method: r.Method, Path: r.URL.Path,
		Pool: pool, Instance: u.Instance,
		Entry: r.Header.Get("Camphorridge-Entry"), Started: clk.Now(),
	})
	return len(u.requests) - 1
}

// recordEnd records the end of the request at the index seq of requests.
func (u *Upstream) recordEnd(seq int, finished bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	u.requests[seq].Ended = clk.Now()
	u.requests[seq].Finished = finished
	u.requests[seq].Cut = !finished
}

// ServeHTTP handles one request and records it. Health checks and requests that are
// refused as not run are not recorded.
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
	seq := u.recordStart(r)
	finished := false
	defer func() { u.recordEnd(seq, finished) }()
	if !u.delay(r) {
		// A return would send an empty answer with status 200.
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Camphorridge-Request-Id", r.Header.Get("Camphorridge-Request-Id"))
	if fault == FaultWrongID {
		w.Header().Set("Camphorridge-Request-Id", "of-another-request")
	}
	finished = u.writeAnswer(w, r, fault, body)
}

// delay waits for as long as the request should take. It returns false if the
// connection is closed or the upstream is stopped in the meantime.
func (u *Upstream) delay(r *http.Request) bool {
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

// writeAnswer writes the answer, with the given fault if any, and reports whether it
// wrote the whole answer.
func (u *Upstream) writeAnswer(w http.ResponseWriter, r *http.Request, fault string, body []byte) bool {
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

// answerWithoutLength writes an answer whose end is marked only by the end of the
// connection, so that the reader can't tell a complete answer from a truncated one.
// It reports whether it wrote the whole answer.
func (u *Upstream) answerWithoutLength(w http.ResponseWriter, text string) bool {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer c.Close()
	_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+text)
	return err == nil
}

// announceLoop announces the upstream three times per lease until it is stopped.
func (u *Upstream) announceLoop() {
	defer u.goroutines.Done()
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

// reannounceLease is the assumed lease after a change of pool. It is short so that
// the change is announced immediately.
const reannounceLease = 10 * time.Millisecond

// defaultLease is the assumed lease if no entry process has granted one.
const defaultLease = 1500 * time.Millisecond

var announceClient = &http.Client{Timeout: 500 * time.Millisecond}

// AnnounceOnce tries the entry processes in turn until one answers the announcement,
// and returns the lease. It starts with an entry process that depends on the time, so
// that the announcements are spread over all of them.
func (u *Upstream) AnnounceOnce(ctx context.Context) time.Duration {
	u.mu.Lock()
	form := u.announcement()
	start := int(clk.Now() / 100)
	u.mu.Unlock()
	for i := range u.AnnounceTo {
		addr := u.AnnounceTo[(start+i)%len(u.AnnounceTo)]
		answer, status, err := post(ctx, "http://"+addr+"/announce", form)
		if err != nil {
			continue
		}
		return u.applyAnswer(answer, status)
	}
	return defaultLease
}

// announcement returns the announcement to send. The caller must hold mu.
func (u *Upstream) announcement() url.Values {
	state := "serving"
	if u.leaving {
		state = "leaving"
	}
	return url.Values{
		"instance": {u.Instance}, "zone": {u.Zone}, "rack": {u.Rack}, "pool": {u.pool},
		"address": {u.announcedAddress()}, "slots": {strconv.Itoa(u.Slots)},
		"connections": {strconv.Itoa(u.Connections)},
		"incarnation": {strconv.FormatUint(u.incarnation, 10)},
		"state":       {state}, "health-path": {"/health"},
	}
}

// applyAnswer applies the answer to an announcement and returns the lease. If the
// answer assigns the instance to another pool, the upstream serves that pool from
// then on, with a higher incarnation.
func (u *Upstream) applyAnswer(answer url.Values, status int) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rejectionReason = ""
	if status != http.StatusOK {
		u.rejectionReason = answer.Get("reason")
		return defaultLease
	}
	if p := answer.Get("pool"); p != "" && p != u.pool {
		u.pool = p
		u.incarnation++
		return reannounceLease
	}
	ms, err := strconv.Atoi(answer.Get("lease-ms"))
	if err != nil || ms <= 0 {
		return defaultLease
	}
	return time.Duration(ms) * time.Millisecond
}

// post sends a form and returns the decoded answer and the HTTP status.
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
