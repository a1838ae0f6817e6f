package peers

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/wirepb"
	"camphorridge/io/trans/intake"
)

// TestDenseRequestsOfMembersAreLimited guards against requests between processes that
// take far more memory, or time, once they are decoded.
func TestDenseRequestsOfMembersAreLimited(t *testing.T) {
	gate := intake.New(intake.Defaults(256<<20, 1024), clock.Real(), nil)
	events := EventsServer{Events: func(uint64) ([]model.Event, int64) { return nil, 0 }}
	s := gate.Server(Mux(nil, nil, nil, nil, events), intake.Options{
		Class: intake.Members, MaxBodyBytes: int64(MaxRequestBytes), MaxHeaderBytes: 16 << 10, Copies: 3, Eager: true,
		DecodedBytes: DecodedBytes, IdleTimeout: time.Minute,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.Serve(gate.Listener(l, intake.Members)) }()
	t.Cleanup(func() { _ = s.Close() })
	post := func(path, contentType string, body []byte) int {
		resp, err := http.Post("http://"+l.Addr().String()+path, contentType, bytes.NewReader(body))
		assert.NilError(t, err)
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	path := wirepb.TimelinePathPrefix + "Events"
	assert.Equal(t, post(path, "application/protobuf", nil), 200)
	// Fields that the message does not have are kept by the decoder.
	unknown := bytes.Repeat(protowire.AppendBytes(protowire.AppendTag(nil, 900, protowire.BytesType), nil), 1<<20)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	assert.Equal(t, post(path, "application/protobuf", unknown), 200)
	runtime.ReadMemStats(&after)
	assert.Check(t, after.TotalAlloc-before.TotalAlloc < 16*uint64(len(unknown)))
	r, err := http.NewRequest(http.MethodPost, wirepb.WorkPathPrefix+"Handle", nil)
	assert.NilError(t, err)
	// The job of a call, with many empty steps.
	d := requestMessages[wirepb.WorkPathPrefix+"Handle"]
	job := d.Fields().ByName("job")
	step := job.Message().Fields().ByName("steps")
	const steps = 100_000
	body := protowire.AppendTag(nil, job.Number(), protowire.BytesType)
	body = protowire.AppendBytes(body, bytes.Repeat(protowire.AppendBytes(protowire.AppendTag(nil, step.Number(), protowire.BytesType), nil), steps))
	n, ok := DecodedBytes(r, body)
	assert.Check(t, ok && n > steps*1000)
}
