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

// tried is the result of one try.
type tried struct {
	verdict verdict
	// again says that the request provably did not run and may be tried again;
	// nothing was written to the caller then, and reason says what happened.
	again  bool
	reason string
}

// send makes one try under a grant and gives the grant back as soon as the
// upstream has nothing more to do with it.
func (f *Handler[D, C]) send(x *exchange, g entry.Grant, mayRetry bool) tried {
	begun := f.clk.Now()
	body := &outbound{head: x.body.head, rest: x.body.rest, limit: x.body.limit}
	end := func(o entry.Outcome) { f.gate.Done(g.Ticket, o, f.clk.Now()-begun) }
	up := uplink.Upstream{
		Name: string(g.Upstream.Instance), WriteDeadline: g.Upstream.WriteDeadline, Address: g.Upstream.Address, Incarnation: g.Upstream.Incarnation,
		MaxConnections: g.Upstream.Connections, HealthPath: g.Upstream.HealthPath,
	}
	if g.Upstream.LoanName != "" {
		up.Name = g.Upstream.LoanName
	}
	resp, res, err := f.link.Do(x.ctx, up, f.outgoing(x, body))
	if err != nil {
		streamed := body.detach()
		end(outcomeOf(x.ctx, res))
		if !res.NotRun {
			f.unknown(x, res.Kind)
			return tried{}
		}
		if mayRetry && !streamed && x.ctx.Err() == nil {
			return tried{again: true, reason: "the upstream could not be reached: " + res.Kind.String()}
		}
		f.refuse(x, http.StatusServiceUnavailable, "the upstream could not be reached: "+res.Kind.String(), clock.Second)
		return tried{verdict: verdict{notRun: true}}
	}
	defer func() { _ = resp.Body.Close() }()
	return f.receive(x, resp, res, body, end, mayRetry)
}

// receive takes the response in, whole when it fits the buffer, and passes it
// on.
func (f *Handler[D, C]) receive(x *exchange, resp *http.Response, res uplink.Result, body *outbound, end func(entry.Outcome), mayRetry bool) tried {
	buf := f.buffer(resp.ContentLength)
	defer f.release(buf)
	n, err := 0, error(io.EOF)
	if resp.Body != http.NoBody {
		n, err = readUpTo(resp.Body, *buf)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		body.detach()
		kind := kindOf(err)
		end(outcomeOf(x.ctx, uplink.Result{Kind: kind}))
		f.unknown(x, kind)
		return tried{}
	}
	if err == nil {
		return f.stream(x, resp, res.NotRun, (*buf)[:n], body, end)
	}
	streamed := body.detach()
	switch {
	case res.NotRun:
		end(entry.OutcomeBusy)
	case resp.StatusCode >= http.StatusInternalServerError:
		end(entry.OutcomeError)
	default:
		end(entry.OutcomeOK)
	}
	h := &held{status: resp.StatusCode, header: resp.Header, body: (*buf)[:n], length: resp.ContentLength}
	if !res.NotRun {
		return tried{verdict: f.deliver(x, h, OutcomeRan)}
	}
	if mayRetry && !streamed && x.ctx.Err() == nil {
		h.body = append([]byte(nil), h.body...)
		x.fallback = h
		return tried{again: true, reason: "the upstream did not run the request"}
	}
	return tried{verdict: f.deliver(x, h, OutcomeNotRun)}
}

// readUpTo reads until the buffer is full, which is a nil error, or the body
// ends, which is io.EOF.
func readUpTo(r io.Reader, buf []byte) (n int, err error) {
	for n < len(buf) && err == nil {
		var k int
		k, err = r.Read(buf[n:])
		n += k
	}
	return n, err
}

// stream passes on a response that is larger than the buffer. A response that
// ends early aborts the caller's connection, so that the caller sees it.
func (f *Handler[D, C]) stream(x *exchange, resp *http.Response, notRun bool, first []byte, body *outbound, end func(entry.Outcome)) tried {
	outcome := entry.OutcomeUnknown
	defer func() {
		body.detach()
		end(outcome)
	}()
	// A caller that does not read is cut off at the deadline.
	stop := context.AfterFunc(x.ctx, func() {
		_ = http.NewResponseController(x.w).SetWriteDeadline(past)
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
	_, err := x.w.Write(first)
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
		return tried{verdict: verdict{notRun: true}}
	}
	outcome = entry.OutcomeOK
	if resp.StatusCode >= http.StatusInternalServerError {
		outcome = entry.OutcomeError
	}
	f.counts.ran.Add(1)
	return tried{verdict: verdict{status: resp.StatusCode}}
}

// writerOnly hides the ReadFrom method of a response writer, whose errors do
// not tell which side failed.
type writerOnly struct{ io.Writer }

func kindOf(err error) uplink.Kind {
	var e *uplink.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return uplink.KindTruncated
}

// outcomeOf tells the dispatcher how a try without a response ended.
func outcomeOf(ctx context.Context, res uplink.Result) entry.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.Canceled) || res.Kind == uplink.KindCancelled:
		return entry.OutcomeCancelled
	case res.Kind == uplink.KindPoolFull:
		return entry.OutcomeBusy
	case res.NotRun:
		return entry.OutcomeConnect
	case res.Kind == uplink.KindTimeout:
		return entry.OutcomeTimeout
	}
	return entry.OutcomeUnknown
}

// outgoing builds the request of one try.
func (f *Handler[D, C]) outgoing(x *exchange, body *outbound) *http.Request {
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
