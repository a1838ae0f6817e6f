package stand

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestKilledUpstreamAnswersNothing guards against an empty answer with status 200 to a
// request in flight at Close, which a caller would take for a whole answer.
func TestKilledUpstreamAnswersNothing(t *testing.T) {
	u, err := Start(Options{Instance: "i", Delay: time.Hour})
	assert.NilError(t, err)
	const requests = 50
	results := make(chan error, requests)
	for range requests {
		go func() {
			resp, err := http.Get("http://" + u.Addr() + "/p/x")
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			results <- err
		}()
	}
	for len(u.HandledRequests()) < requests {
		<-clk.After(1)
	}
	u.Close()
	for range requests {
		assert.Assert(t, <-results != nil, "a request in flight was answered")
	}
}
