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
	cfg                        Settings
	clk                        clock.Clock
	dispatcher                 D
	claims                     C
	client                     *uplink.Client
	idPrefix                   string
	idSequence                 atomic.Uint64
	smallBuffers, largeBuffers sync.Pool
	counts                     struct{ ran, notRun, unknown, duplicate, aborted, retries atomic.Int64 }
}

// New returns a handler that sends requests through client once dispatcher has
// granted them.
func New[D Dispatcher, C Claimer](cfg Settings, clk clock.Clock, dispatcher D, claims C, client *uplink.Client) *Handler[D, C] {
	var seed [6]byte
	// crypto/rand documents that Read never fails.
	_, _ = rand.Read(seed[:])
	f := &Handler[D, C]{cfg: cfg, clk: clk, dispatcher: dispatcher, claims: claims, client: client}
	// The random part keeps request IDs unique across restarts of the process.
	f.idPrefix = string(cfg.Self) + "-" + hex.EncodeToString(seed[:]) + "-"
	f.smallBuffers.New = func() any { b := make([]byte, smallBufferBytes); return &b }
	f.largeBuffers.New = func() any { b := make([]byte, cfg.BufferBytes); return &b }
	return f
}

// smallBufferBytes is the size of the buffers for short bodies. Thousands of
// queued requests would hold hundreds of MiB if each had a large buffer.
const smallBufferBytes = 4 << 10

// getBuffer returns a pooled buffer for a body of the given declared length; a
// negative length means that none was declared. A small buffer is used only if
// it is larger than length, because readUpTo recognizes the end of a body only
// while the buffer is not full.
func (f *Handler[D, C]) getBuffer(length int64) *[]byte {
	if length >= 0 && length < smallBufferBytes && f.cfg.BufferBytes >= smallBufferBytes {
		return f.smallBuffers.Get().(*[]byte)
	}
	return f.largeBuffers.Get().(*[]byte)
}

func (f *Handler[D, C]) putBuffer(b *[]byte) {
	if len(*b) == f.cfg.BufferBytes {
		f.largeBuffers.Put(b)
		return
	}
	f.smallBuffers.Put(b)
}

// Counts returns the counters.
func (f *Handler[D, C]) Counts() Counts {
	c := &f.counts
	return Counts{
		Ran: c.ran.Load(), NotRun: c.notRun.Load(), Unknown: c.unknown.Load(),
		Duplicate: c.duplicate.Load(), Aborted: c.aborted.Load(), Retries: c.retries.Load(),
	}
}

// exchange is the state of one request of a caller, from its arrival to its
// response.
type exchange struct {
	w      http.ResponseWriter
	r      *http.Request
	ctx    context.Context
	parsed parsedRequest
	// id is the request ID.
	id string
	// deadline is the time at which the request times out.
	deadline clock.Millis
	body     payload
	// fallback is the latest response of an upstream that did not run the
	// request; nil if there is none. It is delivered if the dispatcher refuses
	// any later attempt.
	fallback *bufferedResponse
}

// ServeHTTP implements http.Handler.
func (f *Handler[D, C]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := exchange{w: w, r: r, id: f.idPrefix + strconv.FormatUint(f.idSequence.Add(1), 36)}
	parsed, err := parse(&f.cfg, r)
	if err != nil {
		f.replyRefused(&x, err.Status, err.Err.Error(), 0)
		return
	}
	x.parsed = parsed
	x.deadline = f.clk.Now() + parsed.timeout
	ctx, cancel := context.WithTimeout(r.Context(), parsed.timeout.Duration())
	defer cancel()
	x.ctx = ctx
	if r.ContentLength != 0 {
		buf := f.getBuffer(r.ContentLength)
		defer f.putBuffer(buf)
		if x.body, err = readPayload(&f.cfg, w, r, *buf); err != nil {
			retryDelay := clock.Millis(0)
			if err.Status == http.StatusServiceUnavailable {
				retryDelay = clock.Second
			}
			f.replyRefused(&x, err.Status, err.Err.Error(), retryDelay)
			return
		}
	} else {
		x.body.whole = true
	}
	if parsed.key == "" {
		f.run(&x)
		return
	}
	f.runClaimed(&x)
}

// runClaimed runs a request that carries an idempotency key.
func (f *Handler[D, C]) runClaimed(x *exchange) {
	key := model.ClaimKey{Customer: x.parsed.customer, Service: x.parsed.service, Key: x.parsed.key}
	claim, err := f.claims.Claim(x.ctx, key, x.id)
	if err != nil {
		// The claim may have been granted although the response was lost, so
		// it is released.
		f.claims.Finish(model.ClaimOutcome{Key: key, Token: x.id, NotRun: true})
		f.replyRefused(x, http.StatusServiceUnavailable, "the idempotency key could not be claimed: "+err.Error(), clock.Second)
		return
	}
	if !claim.Granted {
		f.replyDuplicate(x, claim)
		return
	}
	outcome := model.ClaimOutcome{Key: key, Token: x.id, State: model.ClaimUnknown}
	// Deferred, because the outcome must also be recorded if run panics to
	// abort the caller's connection.
	defer func() { f.claims.Finish(outcome) }()
	result := f.run(x)
	switch {
	case result.notRun:
		outcome.NotRun = true
	case result.status != 0:
		outcome.State, outcome.Status = model.ClaimDone, result.status
	}
}

// runResult is the final outcome of a request. The zero value means that the
// outcome is unknown.
type runResult struct {
	notRun bool
	// status is the status code of a response that was read completely; 0
	// without one.
	status int
}

// run acquires a grant and sends the request, and repeats both until the
// request ran, its outcome is unknown, the dispatcher refuses it, or no further
// attempt is allowed. In each case the caller has been answered when run returns.
func (f *Handler[D, C]) run(x *exchange) runResult {
	req := entry.Request{Customer: x.parsed.customer, Pool: x.parsed.service, Deadline: x.deadline, ID: x.id}
	reason := ""
	for attempt := 1; ; attempt++ {
		grant, refusal := f.dispatcher.Acquire(x.ctx, req)
		switch {
		case refusal != nil && x.fallback != nil:
			return f.deliver(x, x.fallback, OutcomeNotRun)
		case refusal != nil && reason != "":
			f.replyRefused(x, http.StatusServiceUnavailable, reason, clock.Second)
			return runResult{notRun: true}
		case refusal != nil:
			f.replyRefused(x, refusalStatus(refusal.Kind), refusal.Reason, refusal.RetryAfter)
			return runResult{notRun: true}
		}
		sent := f.send(x, grant, attempt < f.cfg.MaxAttempts)
		if !sent.mayRetry {
			return sent.result
		}
		f.counts.retries.Add(1)
		req.Retry, req.Avoid, reason = true, grant.Upstream.Instance, sent.reason
	}
}

// refusalStatus returns the HTTP status code for a refusal by the dispatcher.
func refusalStatus(k entry.RefusalKind) int {
	switch k {
	case entry.RefusalNoContract:
		return http.StatusNotFound
	case entry.RefusalLimit:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}
