package front

import (
	"net/http"
	"strconv"
	"strings"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// maxKey bounds idempotency keys.
const maxKey = 255

// inbound is a request that was checked.
type inbound struct {
	customer model.Customer
	service  model.Pool
	timeout  clock.Millis
	// key is empty for a request that needs no claim.
	key string
}

// parse checks a request and returns what the front end needs of it.
func parse(cfg *Settings, r *http.Request) (in inbound, err *Error) {
	if r.Method == http.MethodConnect {
		return in, bad("method %s is not supported", r.Method)
	}
	if headerSize(r.Header) > cfg.MaxHeaderBytes {
		return in, fail("parse", KindRequest, http.StatusRequestHeaderFieldsTooLarge, "the header is larger than %d bytes", cfg.MaxHeaderBytes)
	}
	if r.ContentLength > cfg.MaxBodyBytes {
		return in, fail("parse", KindRequest, http.StatusRequestEntityTooLarge, "the body is larger than %d bytes", cfg.MaxBodyBytes)
	}
	path, found := strings.CutPrefix(r.URL.Path, "/")
	service, _, slash := strings.Cut(path, "/")
	if !found || !slash || !model.ValidName(service) {
		return in, bad("the path does not begin with /<service>/")
	}
	customers := r.Header[HeaderCustomer]
	if len(customers) != 1 || !model.ValidName(customers[0]) {
		return in, bad("%s must be given once and hold a name", HeaderCustomer)
	}
	in.customer, in.service = model.Customer(customers[0]), model.Pool(service)
	if in.timeout, err = parseTimeout(cfg, r.Header[HeaderTimeout]); err != nil {
		return in, err
	}
	in.key, err = parseKey(r)
	return in, err
}

func bad(format string, args ...any) *Error {
	return fail("parse", KindRequest, http.StatusBadRequest, format, args...)
}

func parseTimeout(cfg *Settings, values []string) (clock.Millis, *Error) {
	if len(values) == 0 {
		return cfg.DefaultTimeout, nil
	}
	n, err := strconv.ParseUint(values[0], 10, 31)
	if err != nil || n == 0 || len(values) > 1 {
		return 0, bad("%s must be given once, as a number of ms above 0", HeaderTimeout)
	}
	return min(clock.Millis(n), cfg.MaxTimeout), nil
}

// parseKey returns the idempotency key when the method makes it count.
func parseKey(r *http.Request) (string, *Error) {
	keys := r.Header[HeaderIdempotencyKey]
	if len(keys) == 0 {
		return "", nil
	}
	if len(keys) > 1 || keys[0] == "" || len(keys[0]) > maxKey {
		return "", bad("%s must be given once, with 1 to %d bytes", HeaderIdempotencyKey, maxKey)
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return "", nil
	}
	return keys[0], nil
}

// headerSize returns the size of the fields as net/http counts them.
func headerSize(h http.Header) int {
	n := 0
	for k, vs := range h {
		for _, v := range vs {
			n += len(k) + len(v) + 4
		}
	}
	return n
}
