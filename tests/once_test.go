package tests

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/internal/stand"
)

// TestEveryMethodRunsAtMostOnce guards against an HTTP library that resends a
// request by itself when a reused connection closes before the answer. It tries
// every method, with and without a body, and with and without an idempotency
// key.
func TestEveryMethodRunsAtMostOnce(t *testing.T) {
	s := startServing(t, threeZones("merge"))
	entry := s.find("e4").callerAddr
	n := 0
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE"} {
		for _, body := range []string{"", "body"} {
			for _, key := range []string{"", "Idempotency-Key", "X-Idempotency-Key"} {
				// This request leaves an idle connection to the upstream, which the next
				// request reuses.
				status, _, _, err := call(t, entry, "merge", nil)
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK)
				n++
				id := fmt.Sprintf("once-%d", n)
				r, err := http.NewRequestWithContext(t.Context(), method, "http://"+entry+"/merge/work", strings.NewReader(body))
				assert.NilError(t, err)
				r.Header = http.Header{stand.IDHeader: {id}, stand.FaultHeader: {stand.FaultClose}, "Camphorridge-Customer": {"acme"}}
				if key != "" {
					r.Header.Set(key, id)
				}
				// The test's own client must not resend the request either.
				r.GetBody, r.Close = nil, true
				resp, err := http.DefaultClient.Do(r)
				assert.NilError(t, err)
				_ = resp.Body.Close()
				assert.Equal(t, resp.Header.Get("Camphorridge-Outcome"), "unknown", "%s", method)
				assert.Equal(t, s.runCount(id), 1, "%s with body %q and key %q", method, body, key)
			}
		}
	}
}

// TestLateAnswerDoesNotReachNextRequest guards against an answer that arrives
// after its request has timed out, and is forwarded as the answer to the next
// request.
func TestLateAnswerDoesNotReachNextRequest(t *testing.T) {
	s := startServing(t, threeZones("merge"))
	entry := s.find("e4").callerAddr
	for n := range 5 {
		status, outcome, _, err := call(t, entry, "merge", http.Header{
			stand.IDHeader: {fmt.Sprintf("late-%d", n)}, stand.DelayHeader: {"400"}, "Camphorridge-Timeout-Ms": {"200"},
		})
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusGatewayTimeout)
		assert.Equal(t, outcome, "unknown")
		for m := range 20 {
			id := fmt.Sprintf("next-%d-%d", n, m)
			status, _, body, err := call(t, entry, "merge", http.Header{stand.IDHeader: {id}, stand.DelayHeader: {"30"}})
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, strings.Contains(body, " "+id+" "), "the body of the answer to %s lacks its ID: %q", id, body)
		}
	}
}
