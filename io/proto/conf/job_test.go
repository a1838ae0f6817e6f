package conf_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/jobs"
	"camphorridge/io/proto/conf"
)

const validJob = `[job]
id = nightly-7
queue = reports
spec = build --all
occurrences = 2
first-ms = 1796382000000
interval-ms = 60000
[step fetch]
tasks = 4
milli-cores = 500
memory-mib = 256
estimate-ms = 900
data-rack = r1-3
copies = yes
[step render]
tasks = 20
milli-cores = 2000
checkpoints = yes
gang = yes
after = fetch
[step send]
after = fetch, render
`

// TestJobFile checks that the steps of a job keep their order, their dependencies
// and the values of their keys.
func TestJobFile(t *testing.T) {
	j, err := conf.ParseJob("job.ini", []byte(validJob))
	assert.NilError(t, err)
	assert.DeepEqual(t, j, jobs.Job{
		ID: "nightly-7", Queue: "reports", Spec: "build --all", OccurrenceCount: 2, FirstDue: 1796382000000, Interval: 60_000,
		Steps: []jobs.Step{
			{TaskCount: 4, Resources: jobs.Resources{MilliCores: 500, MemoryMiB: 256}, Estimate: 900, DataRack: "r1-3", Speculative: true},
			{TaskCount: 20, Resources: jobs.Resources{MilliCores: 2000}, Checkpoints: true, Gang: true, DependsOn: []int{0}},
			{TaskCount: 1, DependsOn: []int{0, 1}},
		},
	})
}

// TestJobFileErrors checks that an invalid job file is rejected with an error that
// names the file and the key or the value at fault.
func TestJobFileErrors(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"no id", "id = nightly-7\n", "", "id"},
		{"no queue", "queue = reports\n", "", "queue"},
		{"no tasks", "tasks = 4", "tasks = 0", "tasks"},
		{"unknown key", "milli-cores = 500", "cores = 500", "cores"},
		{"not a flag", "gang = yes", "gang = true", "gang"},
		{"unknown step", "after = fetch\n", "after = fetched\n", "fetched"},
		{"later step", "estimate-ms = 900", "after = render", "render"},
		{"too many tasks", "occurrences = 2", "occurrences = 1000", "20000"},
		{"no steps", validJob[strings.Index(validJob, "[step fetch]"):], "", "no step"},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(validJob, c.old))
			_, err := conf.ParseJob("job.ini", []byte(strings.Replace(validJob, c.old, c.new, 1)))
			var e *conf.Error
			assert.Assert(t, errors.As(err, &e), "got %v", err)
			assert.ErrorContains(t, err, c.want)
			assert.ErrorContains(t, err, "job.ini")
		})
	}
}
