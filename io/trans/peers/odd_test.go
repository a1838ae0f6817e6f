package peers

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/model"
	"camphorridge/io/proto/wirepb"
)

// oddNumbers and oddAddresses are values that no announcement may have.
var (
	oddNumbers = []string{"", "0", "-1", "1.5", "1e9", "1e400", "NaN", "9223372036854775807", "99999999999999999999", strings.Repeat("9", 7000)}
	oddPorts   = []string{"", "0", "-1", "65536", "99999", "1e9", "1000000000", "http", strings.Repeat("[", 5000)}
)

// TestOddAnnouncementIsRefused guards against an announcement with an odd number or
// port that reaches the dispatcher or ends the process.
func TestOddAnnouncementIsRefused(t *testing.T) {
	h := AnnounceHandler(func(model.Announcement) (AnnounceResult, error) { panic("the announcement reached the dispatcher") })
	valid, err := url.ParseQuery(validForm)
	assert.NilError(t, err)
	refused := func(field, value string) {
		t.Helper()
		form := url.Values{}
		for k := range valid {
			form.Set(k, valid.Get(k))
		}
		form.Set(field, value)
		r := httptest.NewRequest(http.MethodPost, "/announce", strings.NewReader(form.Encode()))
		r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		assert.Equal(t, w.Code, http.StatusBadRequest, "%s %.40s", field, value)
	}
	for _, n := range oddNumbers {
		for _, field := range []string{"slots", "connections", "incarnation"} {
			refused(field, n)
		}
	}
	for _, port := range oddPorts {
		refused("address", "127.0.0.1:"+port)
	}
	for _, depth := range []int{301, 5000, 100_000} {
		for field := range valid {
			refused(field, strings.Repeat("[", depth))
		}
	}
}

// wireAnnouncement returns a valid announcement that a neighbour forwards.
func wireAnnouncement(instance string) *wirepb.Announcement {
	return &wirepb.Announcement{Instance: instance, Zone: "za", Rack: "r", Pool: "p", Address: "127.0.0.1:9000", Slots: 8, Connections: 64, Incarnation: 7}
}

// TestOddForwardedAnnouncementIsSkipped guards against a batch of announcements that
// is dropped because of one of them, so that the leases of the others expire.
func TestOddForwardedAnnouncementIsSkipped(t *testing.T) {
	for name, spoil := range map[string]func(a *wirepb.Announcement){
		"no instance":           func(a *wirepb.Announcement) { a.Instance = "" },
		"no pool":               func(a *wirepb.Announcement) { a.Pool = "" },
		"undefined state":       func(a *wirepb.Announcement) { a.State = math.MaxInt32 },
		"port 0":                func(a *wirepb.Announcement) { a.Address = "127.0.0.1:0" },
		"port too large":        func(a *wirepb.Announcement) { a.Address = "127.0.0.1:65536" },
		"port not a number":     func(a *wirepb.Announcement) { a.Address = "127.0.0.1:http" },
		"no slots":              func(a *wirepb.Announcement) { a.Slots = 0 },
		"slots too large":       func(a *wirepb.Announcement) { a.Slots, a.Connections = math.MaxInt64, math.MaxInt64 },
		"negative connections":  func(a *wirepb.Announcement) { a.Connections = math.MinInt64 },
		"connections too large": func(a *wirepb.Announcement) { a.Connections = 1 << 62 },
		"incarnation too large": func(a *wirepb.Announcement) { a.Incarnation = math.MaxUint64 },
	} {
		t.Run(name, func(t *testing.T) {
			odd := wireAnnouncement("odd")
			spoil(odd)
			var got []model.InstanceID
			s := &NeighbourServer{HandleAnnouncement: func(a model.Announcement) { got = append(got, a.Instance) }, Stamps: noStamps{}}
			_, err := s.Announce(context.Background(), &wirepb.AnnounceRequest{Announcements: []*wirepb.Announcement{wireAnnouncement("a"), odd, wireAnnouncement("b")}})
			assert.NilError(t, err)
			assert.DeepEqual(t, got, []model.InstanceID{"a", "b"})
		})
	}
}

// noStamps is a source of stamps that are all zero.
type noStamps struct{}

func (noStamps) Observe(model.Stamp) {}

func (noStamps) Next() model.Stamp { return model.Stamp{} }
