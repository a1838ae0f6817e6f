package front

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"camphorridge/core/state/model"

	"gotest.tools/v3/assert"
)

func reader(s string) io.Reader {
	if s == "" {
		return nil
	}
	return strings.NewReader(s)
}

func (te *testEntry) do(t testing.TB, r *http.Request) (*http.Response, string) {
	t.Helper()
	resp, err := te.client.Do(r)
	assert.NilError(t, err)
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp, string(b)
}

func upstream(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func echo(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	_, _ = io.WriteString(w, r.Method+" "+r.URL.Path+" "+string(b))
}

// TestRequestAndResponsePassThrough guards against a front end that alters
// requests or responses, or opens a connection for each request.
func TestRequestAndResponsePassThrough(t *testing.T) {
	te := newTestEntry(t, 8, []model.Contract{contract("acme", 8, 8, 10)}, upstream(t, echo))
	for range 3 {
		resp, body := te.do(t, te.request(t, "POST", "acme", "hello"))
		assert.Equal(t, resp.StatusCode, 200)
		assert.Equal(t, resp.Header.Get(HeaderOutcome), OutcomeRan)
		assert.Equal(t, body, "POST /svc/x hello")
	}
	big := strings.Repeat("x", 300<<10)
	resp, body := te.do(t, te.request(t, "PUT", "acme", big))
	assert.Equal(t, resp.StatusCode, 200)
	assert.Assert(t, body == "PUT /svc/x "+big)
	assert.Equal(t, te.upstreams.Counts().Opened, int64(1))
}
