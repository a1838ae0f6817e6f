package front

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"camphorridge/core/coord/entry"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/trans/uplink"
)

// Handler is the HTTP handler for callers.
type Handler[D Dispatcher, C Claimer] struct {
	cfg          Settings
	clk          clock.Clock
	gate         D
	claims       C
	link         *uplink.Client
	prefix       string
	number       atomic.Uint64
	small, large sync.Pool
	counts       struct{ ran, notRun, unknown, duplicate, aborted, retries atomic.Int64 }
}

// New returns a handler.
func New[D Dispatcher, C Claimer](cfg Settings, clk clock.Clock, gate D, claims C, link *uplink.Client) *Handler[D, C] {
	var seed [6]byte
	// Read never fails; see crypto/rand.
	_, _ = rand.Read(seed[:])
	f := &Handler[D, C]{cfg: cfg, clk: clk, gate: gate, claims: claims, link: link}
	// The random part keeps the identities of two runs of a process apart.
	f.prefix = string(cfg.Self) + "-" + hex.EncodeToString(seed[:]) + "-"
	f.small.New = func() any { b := make([]byte, smallBuffer); return &b }
	f.large.New = func() any { b := make([]byte, cfg.BufferBytes); return &b }
	return f
}

// smallBuffer is the size of the buffers for short bodies. A queue of thousands
// of them would hold hundreds of MiB in large buffers.
const smallBuffer = 4 << 10

// buffer returns a pooled buffer for a body of a declared length, below 0 for
// none, with room for one byte more.
func (f *Handler[D, C]) buffer(length int64) *[]byte {
	if length >= 0 && length < smallBuffer && f.cfg.BufferBytes >= smallBuffer {
		return f.small.Get().(*[]byte)
	}
	return f.large.Get().(*[]byte)
}

func (f *Handler[D, C]) release(b *[]byte) {
	if len(*b) == f.cfg.BufferBytes {
		f.large.Put(b)
		return
	}
	f.small.Put(b)
}

// Counts returns the counters.
func (f *Handler[D, C]) Counts() Counts {
	c := &f.counts
	return Counts{
		Ran: c.ran.Load(), NotRun: c.notRun.Load(), Unknown: c.unknown.Load(),
		Duplicate: c.duplicate.Load(), Aborted: c.aborted.Load(), Retries: c.retries.Load(),
	}
}

// exchange is one request of a caller on its way.
type exchange struct {
	w   http.ResponseWriter
	r   *http.Request
	ctx context.Context
	in  inbound
	id  string
	// deadline is when the caller stops waiting.
	deadline clock.Millis
	body     payload
	// fallback is the not-run answer of an upstream, for the case that the
	// retry is refused.
	fallback *held
}

// ServeHTTP implements http.Handler.
func (f *Handler[D, C]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := exchange{w: w, r: r, id: f.prefix + strconv.FormatUint(f.number.Add(1), 36)}
	in, bad := parse(&f.cfg, r)
	if bad != nil {
		f.refuse(&x, bad.Status, bad.Err.Error(), 0)
		return
	}
	x.in = in
	x.deadline = f.clk.Now() + in.timeout
	ctx, cancel := context.WithTimeout(r.Context(), in.timeout.Duration())
	defer cancel()
	x.ctx = ctx
	if r.ContentLength != 0 {
		buf := f.buffer(r.ContentLength)
		defer f.release(buf)
		if x.body, bad = readPayload(&f.cfg, w, r, *buf); bad != nil {
			f.refuse(&x, bad.Status, bad.Err.Error(), 0)
			return
		}
	} else {
		x.body.whole = true
	}
	if in.key == "" {
		f.run(&x)
		return
	}
	f.runClaimed(&x)
}

// runClaimed runs a request that carries an idempotency key.
func (f *Handler[D, C]) runClaimed(x *exchange) {
	key := model.ClaimKey{Customer: x.in.customer, Service: x.in.service, Key: x.in.key}
	answer, err := f.claims.Claim(x.ctx, key, x.id)
	if err != nil {
		// The claim may have been granted and its answer lost.
		f.claims.Finish(model.ClaimOutcome{Key: key, Token: x.id, NotRun: true})
		f.refuse(x, http.StatusServiceUnavailable, "the idempotency key could not be claimed: "+err.Error(), clock.Second)
		return
	}
	if !answer.Granted {
		f.duplicate(x, answer)
		return
	}
	end := model.ClaimOutcome{Key: key, Token: x.id, State: model.ClaimUnknown}
	// The outcome is recorded also when run ends by aborting the connection.
	defer func() { f.claims.Finish(end) }()
	v := f.run(x)
	switch {
	case v.notRun:
		end.NotRun = true
	case v.status != 0:
		end.State, end.Status = model.ClaimDone, v.status
	}
}

// verdict is what is known of a request at its end.
type verdict struct {
	notRun bool
	// status is that of a whole response that was read; 0 for unknown.
	status int
}

// run asks for grants and sends the request until it ran, its outcome is
// unknown, or no further try is allowed.
func (f *Handler[D, C]) run(x *exchange) verdict {
	ask := entry.Request{Customer: x.in.customer, Pool: x.in.service, Deadline: x.deadline, ID: x.id}
	reason := ""
	for try := 1; ; try++ {
		grant, refusal := f.gate.Ask(x.ctx, ask)
		switch {
		case refusal != nil && x.fallback != nil:
			return f.deliver(x, x.fallback, OutcomeNotRun)
		case refusal != nil && reason != "":
			f.refuse(x, http.StatusServiceUnavailable, reason, clock.Second)
			return verdict{notRun: true}
		case refusal != nil:
			f.refuse(x, refusalStatus(refusal.Kind), refusal.Reason, refusal.RetryAfter)
			return verdict{notRun: true}
		}
		t := f.send(x, grant, try < f.cfg.MaxAttempts)
		if !t.again {
			return t.verdict
		}
		f.counts.retries.Add(1)
		ask.Retry, ask.Avoid, reason = true, grant.Upstream.Instance, t.reason
	}
}

// refusalStatus returns the status for a refusal of the dispatcher.
func refusalStatus(k entry.RefusalKind) int {
	switch k {
	case entry.RefusalNoContract:
		return http.StatusNotFound
	case entry.RefusalLimit:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}
