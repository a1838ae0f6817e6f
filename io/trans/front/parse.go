package front

import (
	"net/http"
	"strconv"
	"strings"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// maxKeyBytes bounds the length of an idempotency key.
const maxKeyBytes = 255

// parsedRequest is what the front end needs from a valid request.
type parsedRequest struct {
	customer model.Customer
	service  model.Pool
	timeout  clock.Millis
	// key is the idempotency key; empty if the request needs no claim.
	key string
}

// parse validates a request and returns what the front end needs from it.
func parse(cfg *Settings, r *http.Request) (req parsedRequest, err *Error) {
	if r.Method == http.MethodConnect {
		return req, badRequest("method %s is not supported", r.Method)
	}
	if headerBytes(r.Header) > cfg.MaxHeaderBytes {
		return req, newError("parse", KindRequest, http.StatusRequestHeaderFieldsTooLarge, "the header is larger than %d bytes", cfg.MaxHeaderBytes)
	}
	if r.ContentLength > cfg.MaxBodyBytes {
		return req, newError("parse", KindRequest, http.StatusRequestEntityTooLarge, "the body is larger than %d bytes", cfg.MaxBodyBytes)
	}
	path, found := strings.CutPrefix(r.URL.Path, "/")
	service, _, slash := strings.Cut(path, "/")
	if !found || !slash || !model.ValidName(service) {
		return req, badRequest("the path does not begin with /<service>/")
	}
	customers := r.Header[HeaderCustomer]
	if len(customers) != 1 || !model.ValidName(customers[0]) {
		return req, badRequest("%s must be given once and hold a name", HeaderCustomer)
	}
	req.customer, req.service = model.Customer(customers[0]), model.Pool(service)
	if req.timeout, err = parseTimeout(cfg, r.Header[HeaderTimeout]); err != nil {
		return req, err
	}
	req.key, err = parseKey(r)
	return req, err
}

func badRequest(format string, args ...any) *Error {
	return newError("parse", KindRequest, http.StatusBadRequest, format, args...)
}

func parseTimeout(cfg *Settings, values []string) (clock.Millis, *Error) {
	if len(values) == 0 {
		return cfg.DefaultTimeout, nil
	}
	n, err := strconv.ParseUint(values[0], 10, 31)
	if err != nil || n == 0 || len(values) > 1 {
		return 0, badRequest("%s must be given once, as a number of ms above 0", HeaderTimeout)
	}
	return min(clock.Millis(n), cfg.MaxTimeout), nil
}

// parseKey validates the idempotency key and returns it. For methods without
// side effects it returns an empty key.
func parseKey(r *http.Request) (string, *Error) {
	keys := r.Header[HeaderIdempotencyKey]
	if len(keys) == 0 {
		return "", nil
	}
	if len(keys) > 1 || keys[0] == "" || len(keys[0]) > maxKeyBytes {
		return "", badRequest("%s must be given once, with 1 to %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return "", nil
	}
	return keys[0], nil
}

// headerBytes returns the size of the header fields as net/http counts it: on the
// wire, with 4 bytes per field for the colon, the space and the line break.
func headerBytes(h http.Header) int {
	n := 0
	for k, vs := range h {
		for _, v := range vs {
			n += len(k) + len(v) + 4
		}
	}
	return n
}
