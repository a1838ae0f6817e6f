package front

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"camphorridge/core/state/model"

	"gotest.tools/v3/assert"
)

// TestOutcomesMatchArrivalsUnderOverload guards against the outcome not-run for
// a request that reached an upstream, and against a request that reached an
// upstream twice. The load exceeds the capacity, and deadlines expire in every
// phase of a request.
func TestOutcomesMatchArrivalsUnderOverload(t *testing.T) {
	var mu sync.Mutex
	arrived := map[string]int{}
	handler := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		arrived[r.Header.Get("X-Mark")]++
		mu.Unlock()
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(5 * time.Millisecond)
	}
	te := newTestEntry(t, 2, []model.Contract{contract("acme", 100, 60, 20)}, upstream(t, handler), upstream(t, handler))
	outcomes := map[string]string{}
	var wg sync.WaitGroup
	for w := range 32 {
		wg.Go(func() {
			for k := range 60 {
				mark := fmt.Sprint(w, ".", k)
				r := te.request(t, "POST", "acme", "hello", "X-Mark", mark, HeaderTimeout, fmt.Sprint(1+(w*k)%60))
				resp, err := te.client.Do(r)
				if !assert.Check(t, err) {
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				mu.Lock()
				outcomes[mark] = resp.Header.Get(HeaderOutcome) + ": " + resp.Header.Get(HeaderReason)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	te.waitIdle(t)
	mu.Lock()
	defer mu.Unlock()
	for mark, outcome := range outcomes {
		arrivals := arrived[mark]
		switch outcome[:3] {
		case "ran":
			assert.Check(t, arrivals == 1, "%s: %s, arrived %d times", mark, outcome, arrivals)
		case "not":
			assert.Check(t, arrivals == 0, "%s: %s, arrived %d times", mark, outcome, arrivals)
		default:
			assert.Check(t, arrivals <= 1, "%s: %s, arrived %d times", mark, outcome, arrivals)
		}
	}
}
