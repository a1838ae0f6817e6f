package peers

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// MaxAnnounceBytes is the maximum size of the body of an announcement.
const MaxAnnounceBytes = 8 << 10

// The upper limits of slots, connections and the incarnation in an announcement.
const (
	maxSlots       = 1024
	maxConnections = 65536
	maxIncarnation = 1 << 62
)

// withinLimits reports whether the numbers and the address of an announcement are
// within the limits of an announcement that comes from an upstream.
func withinLimits(a model.Announcement) bool {
	return ipPort(a.Address) && a.Slots >= 1 && a.Slots <= maxSlots && a.Connections >= a.Slots && a.Connections <= maxConnections &&
		a.Incarnation >= 1 && a.Incarnation <= maxIncarnation
}

// AnnounceResult is the response to an accepted announcement.
type AnnounceResult struct {
	// Lease is the time after which the announcement expires unless it is
	// renewed.
	Lease clock.Millis
	// Pool is the pool to which the control group assigned the instance; empty
	// if unknown.
	Pool model.Pool
}

// AnnounceFunc passes an announcement to the dispatcher. An error means that the
// announcement is refused.
type AnnounceFunc func(a model.Announcement) (AnnounceResult, error)

// AnnounceHandler returns a handler that serves POST /announce to upstreams. The
// response is form-encoded. For an accepted announcement it holds the field
// lease-ms and, if the pool of the instance is known, the field pool. Otherwise it
// holds only the field reason, and the status is 400 if the announcement is
// malformed and 409 if it is refused.
func AnnounceHandler(announce AnnounceFunc) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, MaxAnnounceBytes)
		if err := r.ParseForm(); err != nil {
			refuseAnnouncement(w, http.StatusBadRequest, err)
			return
		}
		a, err := ParseAnnouncement(r.PostForm)
		if err != nil {
			refuseAnnouncement(w, http.StatusBadRequest, err)
			return
		}
		got, err := announce(a)
		if err != nil {
			refuseAnnouncement(w, http.StatusConflict, err)
			return
		}
		v := url.Values{"lease-ms": {strconv.FormatInt(int64(got.Lease), 10)}}
		if got.Pool != "" {
			v.Set("pool", string(got.Pool))
		}
		fmt.Fprintln(w, v.Encode())
	})
	return mux
}

func refuseAnnouncement(w http.ResponseWriter, status int, err error) {
	w.WriteHeader(status)
	fmt.Fprintln(w, url.Values{"reason": {err.Error()}}.Encode())
}

// ParseAnnouncement reads an announcement from a form. The error is an *Error of
// KindInvalid that names the field, its value and the allowed values.
func ParseAnnouncement(f url.Values) (model.Announcement, error) {
	p := formParser{form: f}
	a := model.Announcement{
		Instance:    model.InstanceID(p.name("instance")),
		Zone:        model.Zone(p.name("zone")),
		Rack:        model.Rack(p.name("rack")),
		Pool:        model.Pool(p.name("pool")),
		Address:     p.address("address"),
		Slots:       int(p.number("slots", 1, maxSlots)),
		Connections: int(p.number("connections", 1, maxConnections)),
		Incarnation: uint64(p.number("incarnation", 1, maxIncarnation)),
		State:       p.state("state"),
		HealthPath:  f.Get("health-path"),
	}
	if p.err == nil && a.HealthPath != "" && a.HealthPath[0] != '/' {
		p.fail("health-path", a.HealthPath, "a path that starts with /")
	}
	if p.err == nil && a.Connections < a.Slots {
		p.fail("connections", f.Get("connections"), "at least the number of slots")
	}
	if p.err != nil {
		return model.Announcement{}, p.err
	}
	return a, nil
}

// formParser reads the fields of a form and keeps the first error.
type formParser struct {
	form url.Values
	err  error
}

func (p *formParser) fail(field, value, allowed string) {
	if p.err == nil {
		p.err = &Error{Op: "announcement", Kind: KindInvalid, Err: fmt.Errorf("%s is %q: want %s", field, value, allowed)}
	}
}

func (p *formParser) name(field string) string {
	v := p.form.Get(field)
	if !model.ValidName(v) {
		p.fail(field, v, fmt.Sprintf("1 to %d letters, digits, dashes or underscores, starting with a letter or digit", model.MaxNameBytes))
		return ""
	}
	return v
}

func (p *formParser) address(field string) string {
	v := p.form.Get(field)
	if !ipPort(v) {
		p.fail(field, v, "ip:port")
		return ""
	}
	return v
}

func (p *formParser) number(field string, low, high int64) int64 {
	n, err := strconv.ParseInt(p.form.Get(field), 10, 64)
	if err != nil || n < low || n > high {
		p.fail(field, p.form.Get(field), fmt.Sprintf("a number from %d to %d", low, high))
		return 0
	}
	return n
}

func (p *formParser) state(field string) model.AnnounceState {
	switch v := p.form.Get(field); v {
	case "", "serving":
		return model.AnnounceServing
	case "leaving":
		return model.AnnounceLeaving
	default:
		p.fail(field, v, "serving or leaving")
		return model.AnnounceServing
	}
}
