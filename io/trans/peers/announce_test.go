package peers

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/model"
)

const validForm = "instance=za-i00&zone=za&rack=za-r0&pool=merge&address=127.0.0.1:9000" +
	"&slots=8&connections=64&incarnation=7&state=serving&health-path=/health"

// FuzzAnnouncement guards against forms that make the process panic, or that are
// accepted with values out of range.
func FuzzAnnouncement(f *testing.F) {
	f.Add(validForm)
	for _, bad := range []string{
		"slots=-1", "slots=1e9", "connections=0", "address=localhost:80", "address=127.0.0.1:0", "pool=a/b",
		"instance=", "incarnation=18446744073709551616", "state=gone", "health-path=x", "%zz", "zone=%00",
	} {
		f.Add(validForm + "&" + bad)
		f.Add(bad + "&" + validForm)
	}
	f.Fuzz(func(t *testing.T, body string) {
		form, err := url.ParseQuery(body)
		if err != nil {
			return
		}
		a, err := ParseAnnouncement(form)
		if err != nil {
			var e *Error
			assert.Assert(t, errors.As(err, &e) && e.Kind == KindInvalid)
			return
		}
		assert.Assert(t, model.ValidName(string(a.Instance)) && model.ValidName(string(a.Pool)) && ipPort(a.Address))
		assert.Assert(t, a.Slots >= 1 && a.Connections >= a.Slots && a.Connections <= maxConnections)
	})
}

// TestAnnounceHandler guards against accepting a malformed or oversized
// announcement, and against refusals that do not name the field and its value.
func TestAnnounceHandler(t *testing.T) {
	accepted := 0
	h := AnnounceHandler(func(model.Announcement) (AnnounceResult, error) {
		accepted++
		return AnnounceResult{Lease: 3000, Pool: "audit"}, nil
	})
	post := func(body string) (int, string) {
		r := httptest.NewRequest(http.MethodPost, "/announce", strings.NewReader(body))
		r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w.Code, w.Body.String()
	}
	status, body := post(validForm)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "lease-ms=3000&pool=audit\n")
	status, body = post(strings.Replace(validForm, "slots=8", "slots=many", 1))
	assert.Equal(t, status, http.StatusBadRequest)
	reason, err := url.ParseQuery(strings.TrimSpace(body))
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(reason.Get("reason"), `slots is "many": want a number from 1 to 1024`), body)
	status, _ = post(validForm + "&x=" + strings.Repeat("y", MaxAnnounceBytes))
	assert.Equal(t, status, http.StatusBadRequest)
	assert.Equal(t, accepted, 1)
}
