package front

import (
	"context"
	"errors"
	"io"
	"net/http"

	"camphorridge/core/coord/entry"
	"camphorridge/core/state/clock"
	"camphorridge/io/trans/uplink"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	// result is the outcome of the request, unless mayRetry is set.
	result runResult
	// mayRetry is true if the request certainly did not run and another
	// attempt is allowed. Nothing has been written to the caller then, and
	// reason says why the attempt failed.
	mayRetry bool
	reason   string
}

// send makes one attempt under a grant. It releases the grant as soon as the
// attempt has failed or its response was read, before a buffered response is
// written to the caller.
func (f *Handler[D, C]) send(x *exchange, g entry.Grant, mayRetry bool) attemptResult {
	started := f.clk.Now()
	body := &attemptBody{head: x.body.head, rest: x.body.rest, restLimit: x.body.restLimit}
	releaseGrant := func(o entry.Outcome) { f.dispatcher.Done(g.Ticket, o, f.clk.Now()-started) }
	up := uplink.Upstream{
		Name: string(g.Upstream.Instance), WriteDeadline: g.Upstream.WriteDeadline, Address: g.Upstream.Address, Incarnation: g.Upstream.Incarnation,
		MaxConnections: g.Upstream.Connections, HealthPath: g.Upstream.HealthPath,
	}
	if g.Upstream.ConnectionName != "" {
		// Each loan has connections of its own.
		up.Name = g.Upstream.ConnectionName
	}
	resp, res, err := f.client.Do(x.ctx, up, f.upstreamRequest(x, body))
	if err != nil {
		streamed := body.detach()
		releaseGrant(attemptOutcome(x.ctx, res))
		if !res.NotRun {
			f.replyUnknown(x, res.Kind)
			return attemptResult{}
		}
		if mayRetry && !streamed && x.ctx.Err() == nil {
			return attemptResult{mayRetry: true, reason: "the upstream could not be reached: " + res.Kind.String()}
		}
		f.replyRefused(x, http.StatusServiceUnavailable, "the upstream could not be reached: "+res.Kind.String(), clock.Second)
		return attemptResult{result: runResult{notRun: true}}
	}
	defer func() { _ = resp.Body.Close() }()
	return f.receive(x, resp, res, body, releaseGrant, mayRetry)
}

// receive reads the response. A response whose body is smaller than the buffer is
// read completely and then delivered, or kept as x.fallback if the request may be
// retried. A larger one is streamed. If the body ends early while the buffer is
// being filled, the caller is told that the outcome is unknown.
func (f *Handler[D, C]) receive(x *exchange, resp *http.Response, res uplink.Result, body *attemptBody, releaseGrant func(entry.Outcome), mayRetry bool) attemptResult {
	buf := f.getBuffer(resp.ContentLength)
	defer f.putBuffer(buf)
	n, err := 0, error(io.EOF)
	if resp.Body != http.NoBody {
		n, err = readUpTo(resp.Body, *buf)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		body.detach()
		kind := failureKind(err)
		releaseGrant(attemptOutcome(x.ctx, uplink.Result{Kind: kind}))
		f.replyUnknown(x, kind)
		return attemptResult{}
	}
	if err == nil {
		return f.stream(x, resp, res.NotRun, (*buf)[:n], body, releaseGrant)
	}
	streamed := body.detach()
	switch {
	case res.NotRun:
		releaseGrant(entry.OutcomeBusy)
	case resp.StatusCode >= http.StatusInternalServerError:
		releaseGrant(entry.OutcomeError)
	default:
		releaseGrant(entry.OutcomeOK)
	}
	buffered := &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: (*buf)[:n], length: resp.ContentLength}
	if !res.NotRun {
		return attemptResult{result: f.deliver(x, buffered, OutcomeRan)}
	}
	if mayRetry && !streamed && x.ctx.Err() == nil {
		// Copied, because buf goes back to its pool before the retry.
		buffered.body = append([]byte(nil), buffered.body...)
		x.fallback = buffered
		return attemptResult{mayRetry: true, reason: "the upstream did not run the request"}
	}
	return attemptResult{result: f.deliver(x, buffered, OutcomeNotRun)}
}

// readUpTo reads until buf is full or a read fails. The error is nil if buf is
// full, and io.EOF if r ended before that.
func readUpTo(r io.Reader, buf []byte) (n int, err error) {
	for n < len(buf) && err == nil {
		var k int
		k, err = r.Read(buf[n:])
		n += k
	}
	return n, err
}

// stream forwards a response that does not fit the buffer; buffered is the part
// of its body that was already read. If the response cannot be forwarded to its
// end, stream panics with http.ErrAbortHandler to abort the caller's connection,
// so that the caller notices the truncation.
func (f *Handler[D, C]) stream(x *exchange, resp *http.Response, notRun bool, buffered []byte, body *attemptBody, releaseGrant func(entry.Outcome)) attemptResult {
	outcome := entry.OutcomeUnknown
	defer func() {
		body.detach()
		releaseGrant(outcome)
	}()
	// At the deadline, interrupts a write that blocks because the caller does
	// not read.
	stop := context.AfterFunc(x.ctx, func() {
		_ = http.NewResponseController(x.w).SetWriteDeadline(expiredDeadline)
	})
	defer stop()
	h := x.w.Header()
	copyHeader(h, resp.Header)
	h.Set(HeaderOutcome, OutcomeRan)
	if notRun {
		h.Set(HeaderOutcome, OutcomeNotRun)
	}
	h.Set(HeaderRequestID, x.id)
	x.w.WriteHeader(resp.StatusCode)
	_, err := x.w.Write(buffered)
	callerGone := err != nil
	if err == nil {
		_, err = io.Copy(writerOnly{x.w}, resp.Body)
		var e *uplink.Error
		callerGone = err != nil && !errors.As(err, &e)
	}
	if err != nil {
		if callerGone {
			outcome = entry.OutcomeCancelled
		}
		f.counts.aborted.Add(1)
		f.counts.unknown.Add(1)
		panic(http.ErrAbortHandler)
	}
	if notRun {
		outcome = entry.OutcomeBusy
		f.counts.notRun.Add(1)
		return attemptResult{result: runResult{notRun: true}}
	}
	outcome = entry.OutcomeOK
	if resp.StatusCode >= http.StatusInternalServerError {
		outcome = entry.OutcomeError
	}
	f.counts.ran.Add(1)
	return attemptResult{result: runResult{status: resp.StatusCode}}
}

// writerOnly hides the ReadFrom method of a response writer, because its errors
// do not say whether the read or the write failed.
type writerOnly struct{ io.Writer }

func failureKind(err error) uplink.Kind {
	var e *uplink.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return uplink.KindTruncated
}

// attemptOutcome returns the outcome to report to the dispatcher for an attempt
// without a complete response.
func attemptOutcome(ctx context.Context, res uplink.Result) entry.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.Canceled) || res.Kind == uplink.KindCancelled:
		return entry.OutcomeCancelled
	case res.Kind == uplink.KindNoFreeConnection:
		return entry.OutcomeBusy
	case res.NotRun:
		return entry.OutcomeConnect
	case res.Kind == uplink.KindTimeout:
		return entry.OutcomeTimeout
	}
	return entry.OutcomeUnknown
}

// upstreamRequest builds the request of one attempt. The request shares the header
// of the caller's request, in which upstreamRequest sets HeaderRequestID.
func (f *Handler[D, C]) upstreamRequest(x *exchange, body *attemptBody) *http.Request {
	out := &http.Request{
		Method: x.r.Method, URL: x.r.URL, Header: x.r.Header, Host: x.r.Host,
		ContentLength: x.body.size,
	}
	x.r.Header[HeaderRequestID] = []string{x.id}
	if x.body.whole && x.body.size == 0 {
		return out
	}
	out.Body = body
	if x.body.whole {
		out.GetBody = func() (io.ReadCloser, error) {
			return body.rewind(x.body.head), nil
		}
	}
	return out
}
