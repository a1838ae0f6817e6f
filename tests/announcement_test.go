package tests

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/internal/stand"
)

// announcement returns a valid announcement of an instance in zone za.
func announcement(instance, address string) url.Values {
	return url.Values{
		"instance": {instance}, "zone": {"za"}, "rack": {"za-r9"}, "pool": {"portal"}, "address": {address},
		"slots": {"8"}, "connections": {"64"}, "incarnation": {"5"}, "state": {"serving"}, "health-path": {"/health"},
	}
}

// withValues returns a copy of a form in which each pair of a field and a value
// replaces the values of the field.
func withValues(form url.Values, pairs ...string) url.Values {
	c := maps.Clone(form)
	for i := 0; i < len(pairs); i += 2 {
		c[pairs[i]] = []string{pairs[i+1]}
	}
	return c
}

// announce sends a form to an entry process, and returns the status and the
// reason of the answer.
func announce(t *testing.T, e *process, body string) (int, string) {
	t.Helper()
	resp, err := probeClient.Post("http://"+e.upstreamAddr+"/announce", "application/x-www-form-urlencoded", strings.NewReader(body))
	assert.NilError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	v, err := url.ParseQuery(strings.TrimSpace(string(b)))
	assert.NilError(t, err)
	return resp.StatusCode, v.Get("reason")
}

// TestUpstreamReplaced guards against requests that keep failing after their
// upstream was killed, and against a successor for the same instance that gets no
// requests or is confused with the killed process.
func TestUpstreamReplaced(t *testing.T) {
	s := startServing(t, threeZones("merge", "merge"))
	platform := s.platforms["za"]
	options := platform.Upstream("za-i00").Options
	options.Address = platform.Upstream("za-i00").Addr()
	platform.Kill("za-i00")
	for _, e := range s.callerAddrs("za") {
		s.wait(e+" to serve without it", func() bool {
			for range 10 {
				if status, _, _, err := call(t, e, "merge", nil); err != nil || status != http.StatusOK {
					return false
				}
			}
			return true
		})
	}
	assert.NilError(t, platform.Start(options))
	successor := platform.Upstream("za-i00")
	for _, e := range s.entries[:3] {
		s.wait(e.name+" to use the successor", func() bool {
			_, _, body, err := call(t, e.callerAddr, "merge", nil)
			return err == nil && strings.HasPrefix(body, "za-i00 ")
		})
		stale := withValues(announcement("za-i00", options.Address), "pool", "merge", "rack", "za-r0", "incarnation", "1")
		status, reason := announce(t, e, stale.Encode())
		assert.Equal(t, status, http.StatusConflict)
		assert.Assert(t, strings.Contains(reason, "incarnation"), "%s", reason)
	}
	assert.Assert(t, len(successor.HandledRequests()) >= 3)
	assert.Equal(t, successor.RejectionReason(), "")
}

// TestContradictingAnnouncements guards against an instance that serves two
// pools, and against two processes for one instance, because an entry process
// accepted the second of two contradicting announcements.
func TestContradictingAnnouncements(t *testing.T) {
	s := startServing(t, threeZones("merge"))
	first := announcement("za-x00", s.newIP()+":9000")
	status, reason := announce(t, s.find("e1"), first.Encode())
	assert.Equal(t, status, http.StatusOK, "%s", reason)
	other := s.platforms["za"].Upstream("za-i00")
	tests := []struct{ name, field, value string }{
		{"another pool", "pool", "merge"},
		{"another address", "address", s.newIP() + ":9000"},
		{"a lower incarnation", "incarnation", "4"},
		{"an address in use", "address", other.Addr()},
		{"another zone", "zone", "zb"},
	}
	for _, tt := range tests {
		// The other entry processes of the zone learn of the instance from e1.
		for _, e := range s.entries[:3] {
			s.wait(e.name+" to refuse "+tt.name, func() bool {
				// Renew the lease of the instance, so that it does not expire meanwhile.
				renewed, _ := announce(t, s.find("e1"), first.Encode())
				assert.Equal(t, renewed, http.StatusOK)
				if e.name != "e1" && !s.recordedInstance(e, "za-x00") {
					return false
				}
				status, reason = announce(t, e, withValues(first, tt.field, tt.value).Encode())
				return true
			})
			assert.Equal(t, status, http.StatusConflict, "%s to %s", tt.name, e.name)
			assert.Assert(t, reason != "")
		}
	}
	s.wait("the instance in its first pool", func() bool { return s.instance("za-x00").Pool == "portal" })
	for _, e := range s.callerAddrs("za") {
		_, _, body, err := call(t, e, "merge", nil)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(body, "za-i00 "), "%s", body)
	}
}

// recordedInstance reports whether the event log of an entry process contains the
// name of an instance.
func (s *system) recordedInstance(e *process, instance string) bool {
	resp, err := probeClient.Get("http://" + e.adminAddr + "/events")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return err == nil && strings.Contains(string(b), instance)
}

// TestMalformedAnnouncements guards against a malformed announcement that
// crashes an entry process, or that is accepted in part.
func TestMalformedAnnouncements(t *testing.T) {
	s := startServing(t, threeZones("merge"))
	good := announcement("za-x00", s.newIP()+":9000")
	tests := []struct{ name, field, value string }{
		{"no instance", "instance", ""},
		{"instance with a slash", "instance", "a/b"},
		{"long name", "instance", strings.Repeat("a", 200)},
		{"no zone", "zone", ""},
		{"no pool", "pool", ""},
		{"address without port", "address", "127.0.0.1"},
		{"address by name", "address", "localhost:80"},
		{"no slots", "slots", "0"},
		{"too many slots", "slots", "99999999999999999999"},
		{"fewer connections than slots", "connections", "4"},
		{"negative incarnation", "incarnation", "-1"},
		{"incarnation of letters", "incarnation", "x"},
		{"unknown state", "state", "gone"},
		{"health path without slash", "health-path", "health"},
	}
	e := s.find("e1")
	for _, tt := range tests {
		status, reason := announce(t, e, withValues(good, tt.field, tt.value).Encode())
		assert.Equal(t, status, http.StatusBadRequest, tt.name)
		assert.Assert(t, strings.Contains(reason, tt.field), "%s: %s", tt.name, reason)
	}
	for _, body := range []string{"", "%zz", strings.Repeat("a=b&", 10_000), "{\"instance\":\"x\"}"} {
		status, reason := announce(t, e, body)
		assert.Equal(t, status, http.StatusBadRequest)
		assert.Assert(t, reason != "")
	}
	status, outcome, _, err := call(t, e.callerAddr, "merge", http.Header{stand.IDHeader: {"after"}})
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprint(status, outcome), "200ran")
	assert.Equal(t, len(s.instances()), 3)
}

// TestUpstreamLossNoticedWithDeadEntry guards against the loss of an upstream
// that the leader never notices because an entry process that had heard from
// the upstream is dead too.
func TestUpstreamLossNoticedWithDeadEntry(t *testing.T) {
	s := startServing(t, threeZones("merge", "merge"))
	s.kill("e3")
	s.platforms["za"].Kill("za-i00")
	s.wait("the loss to be noticed", func() bool {
		return strings.HasPrefix(s.instance("za-i00").Reason, "lost:")
	})
	for _, id := range []string{"za-i01", "zb-i00", "zc-i00"} {
		assert.Assert(t, !strings.HasPrefix(s.instance(id).Reason, "lost:"), "%s is up", id)
	}
}
