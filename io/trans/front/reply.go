package front

import (
	"io"
	"net/http"
	"strconv"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/trans/uplink"
)

// bufferedResponse is a complete response of an upstream.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// length is the declared length of the body; negative if none was
	// declared. A response to HEAD declares one although it has no body.
	length int64
}

// deliver writes a complete upstream response to the caller.
func (f *Handler[D, C]) deliver(x *exchange, r *bufferedResponse, outcome string) runResult {
	h := x.w.Header()
	copyHeader(h, r.header)
	h[HeaderOutcome] = []string{outcome}
	h[HeaderRequestID] = []string{x.id}
	if x.r.Method != http.MethodHead && bodyAllowed(r.status) {
		h["Content-Length"] = []string{strconv.Itoa(len(r.body))}
	}
	x.w.WriteHeader(r.status)
	// An error means that the caller has disconnected, which does not change
	// the outcome.
	_, _ = x.w.Write(r.body)
	if outcome == OutcomeNotRun {
		f.counts.notRun.Add(1)
		return runResult{notRun: true}
	}
	f.counts.ran.Add(1)
	return runResult{status: r.status}
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

func copyHeader(to, from http.Header) {
	for k, v := range from {
		to[k] = v
	}
}

// replyRefused answers a request that did not run. With a retryDelay of 0 the
// answer has no Retry-After header.
func (f *Handler[D, C]) replyRefused(x *exchange, status int, reason string, retryDelay clock.Millis) {
	f.counts.notRun.Add(1)
	if retryDelay > 0 {
		x.w.Header().Set("Retry-After", strconv.FormatInt(retryAfterSeconds(retryDelay), 10))
	}
	f.reply(x, status, OutcomeNotRun, reason)
}

// replyUnknown answers a request that may have run but for which no complete,
// valid response was received.
func (f *Handler[D, C]) replyUnknown(x *exchange, k uplink.Kind) {
	f.counts.unknown.Add(1)
	status := http.StatusBadGateway
	if k == uplink.KindTimeout {
		status = http.StatusGatewayTimeout
	}
	f.reply(x, status, OutcomeUnknown, k.String())
}

// replyDuplicate answers a request whose idempotency key is already claimed.
func (f *Handler[D, C]) replyDuplicate(x *exchange, a model.ClaimAnswer) {
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

// reply writes a response that the front end itself creates.
func (f *Handler[D, C]) reply(x *exchange, status int, outcome, reason string) {
	h := x.w.Header()
	h.Set(HeaderOutcome, outcome)
	h.Set(HeaderReason, reason)
	h.Set(HeaderRequestID, x.id)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, outcome+": "+reason+"\n")
}

// retryAfterSeconds returns the value of a Retry-After header, rounded up to
// whole seconds.
func retryAfterSeconds(d clock.Millis) int64 {
	return int64((d + clock.Second - 1) / clock.Second)
}
