package front

import (
	"io"
	"net/http"
	"strconv"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/trans/uplink"
)

// held is a whole response of an upstream.
type held struct {
	status int
	header http.Header
	body   []byte
	// length is the declared length, which a response to HEAD has without a
	// body; below 0 for none.
	length int64
}

// deliver passes a whole response on.
func (f *Handler[D, C]) deliver(x *exchange, r *held, outcome string) verdict {
	h := x.w.Header()
	copyHeader(h, r.header)
	h[HeaderOutcome] = []string{outcome}
	h[HeaderRequestID] = []string{x.id}
	if x.r.Method != http.MethodHead && bodyAllowed(r.status) {
		h["Content-Length"] = []string{strconv.Itoa(len(r.body))}
	}
	x.w.WriteHeader(r.status)
	// An error means that the caller is gone; the outcome stays what it is.
	_, _ = x.w.Write(r.body)
	if outcome == OutcomeNotRun {
		f.counts.notRun.Add(1)
		return verdict{notRun: true}
	}
	f.counts.ran.Add(1)
	return verdict{status: r.status}
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

func copyHeader(to, from http.Header) {
	for k, v := range from {
		to[k] = v
	}
}

// refuse answers a request that did not run.
func (f *Handler[D, C]) refuse(x *exchange, status int, reason string, after clock.Millis) {
	f.counts.notRun.Add(1)
	if after > 0 {
		x.w.Header().Set("Retry-After", strconv.FormatInt(retryAfter(after), 10))
	}
	f.reply(x, status, OutcomeNotRun, reason)
}

// unknown answers a request of which bytes were written and no whole response
// came back.
func (f *Handler[D, C]) unknown(x *exchange, k uplink.Kind) {
	f.counts.unknown.Add(1)
	status := http.StatusBadGateway
	if k == uplink.KindTimeout {
		status = http.StatusGatewayTimeout
	}
	f.reply(x, status, OutcomeUnknown, k.String())
}

// duplicate answers a request whose key was claimed before.
func (f *Handler[D, C]) duplicate(x *exchange, a model.ClaimAnswer) {
	f.counts.duplicate.Add(1)
	first := OutcomeUnknown
	switch a.FirstState {
	case model.ClaimRunning:
		first = "running"
	case model.ClaimDone:
		first = "done " + strconv.Itoa(a.Status)
	case model.ClaimUnknown:
	}
	x.w.Header().Set(HeaderFirstOutcome, first)
	f.reply(x, http.StatusConflict, OutcomeDuplicate, "the idempotency key was used before: "+first)
}

// reply writes a response of the front end's own.
func (f *Handler[D, C]) reply(x *exchange, status int, outcome, reason string) {
	h := x.w.Header()
	h.Set(HeaderOutcome, outcome)
	h.Set(HeaderReason, reason)
	h.Set(HeaderRequestID, x.id)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, outcome+": "+reason+"\n")
}

// retryAfter returns the value of a Retry-After header, in whole seconds.
func retryAfter(d clock.Millis) int64 {
	return int64((d + clock.Second - 1) / clock.Second)
}
