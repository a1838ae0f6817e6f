package codec

import (
	"errors"
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/io/proto/wirepb"
)

// TestOddJobCounts guards against a job or a snapshot whose numbers of tasks overflow,
// so that the process ends when it allocates them.
func TestOddJobCounts(t *testing.T) {
	for _, c := range []struct {
		times  int64
		counts []int64
	}{
		{1 << 62, []int64{4}},
		{math.MaxInt64, []int64{2, 2}},
		{1 << 60, []int64{16}},
		{math.MinInt64, []int64{1}},
		{-1, []int64{1}},
		{1, []int64{1, math.MaxInt64}},
		{0, []int64{1, math.MaxInt64, math.MaxInt64}},
		{0, []int64{1 << 62, 1 << 62, 1 << 62, 1 << 62, 1}},
		{0, []int64{math.MinInt64}},
		{0, []int64{maxDecodedTasks, 1}},
		{maxDecodedTasks/2 + 1, []int64{2}},
	} {
		t.Run(fmt.Sprint(c.times, c.counts), func(t *testing.T) {
			job := &wirepb.Job{Id: "a", Times: c.times}
			for _, n := range c.counts {
				job.Steps = append(job.Steps, &wirepb.JobStep{Count: n})
			}
			_, err := JobFromWire(job)
			var e *Error
			assert.Assert(t, errors.As(err, &e) && e.Kind == KindRange, "%v", err)
			_, err = JobStateFromWire(&wirepb.JobsSnapshot{Records: []*wirepb.JobRecord{{Job: job}}})
			assert.Assert(t, errors.As(err, &e) && e.Kind == KindRange, "%v", err)
		})
	}
	_, err := JobFromWire(&wirepb.Job{Id: "a", Times: maxDecodedTasks / 2, Steps: []*wirepb.JobStep{{Count: 1}, {Count: 1}}})
	assert.NilError(t, err)
}
