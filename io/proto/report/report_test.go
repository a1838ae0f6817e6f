package report_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"camphorridge/core/coord/runner"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/model"
	"camphorridge/core/state/sched"
	"camphorridge/core/state/trail"
	"camphorridge/io/proto/report"
)

const start = clock.Millis(1_796_382_000_000)

func status() report.Status {
	return report.Status{
		Member: "c1", Leader: "c2", Role: "follower", Term: 4, Commit: 120, Version: 118, Now: start,
		Contracts: []model.Contract{
			{
				Customer: "pruefkette", Version: 9, Covers: model.DomainRack, Queue: 64, RetryPercent: 10,
				Pools:          []model.PoolShare{{Pool: "audit", Instances: 8}, {Pool: "log", Instances: 2}},
				MaxUnavailable: 2, BudgetMillis: 2 * clock.Hour, WindowMillis: clock.Day, Spare: 8, SparePool: "portal",
			},
			{
				Customer: "pomar-alto", Version: 7, Covers: model.DomainZone, Concurrency: 320,
				Pools: []model.PoolShare{{Pool: "fees", Instances: 12}}, MaxUnavailable: 1, BudgetMillis: 90_500, WindowMillis: clock.Day,
				Quota: model.Quota{MilliCores: 64_000, MemoryMiB: 131_072},
			},
		},
		Instances: []model.Instance{
			{ID: "i2", Zone: "zone-a", Rack: "a-1", Pool: "log", Target: "log", Phase: model.PhaseReleasing, Slots: 8, Connections: 64, Reason: "maintenance kernel", PhaseSince: start - 5000, Version: 118},
			{ID: "i1", Zone: "zone-a", Rack: "a-1", Pool: "log", Target: "log", Slots: 8, MaintainedAt: start - 1000, PhaseSince: start - 1000, Version: 101, Reason: "returned\nfrom \x1b[31mmaintenance"},
		},
		Maintenance: []model.Maintenance{
			{Name: "kernel", Selector: model.Selector{Pool: "log", Zone: "zone-a"}, DeclaredAt: start - clock.Hour, Deadline: start - 1, Version: 90},
			{Name: "all", DeclaredAt: start, Deadline: start + clock.Day, Version: 91},
		},
		Processes: []report.ProcessStatus{
			{Name: "e2", Zone: "zone-b", Version: 110, DrainedVersion: 110, VersionSince: start - clock.Hour, LastReportAt: start - 10*clock.Second, Incarnation: 3},
			{Name: "e1", Zone: "zone-a", Version: 118, DrainedVersion: 117, VersionSince: start - 5000, LastReportAt: start - 400, Incarnation: 1},
			{Name: "e3", Zone: "zone-c"},
		},
	}
}

func events() []model.Event {
	at := func(ms clock.Millis, p model.Process, e model.Event) model.Event {
		e.Stamp, e.Process, e.Seq = model.Stamp{Wall: start - 60_000 + ms, Count: 1}, p, uint64(ms)
		return e
	}
	return trail.Merge([]model.Event{
		at(1, "e1", model.Event{Kind: model.EventStart}),
		at(900, "c1", model.Event{Kind: model.EventChangeApplied, Version: 118, Detail: "contract <pomar-alto> & co"}),
		at(905, "e1", model.Event{Kind: model.EventTableInForce, Version: 118}),
		at(30_000, "e2", model.Event{Kind: model.EventRequestRefused, Customer: "pomar-alto", Pool: "fees", Request: "r-1", Limit: "queue full", Detail: "</td><script>alert(1)</script>"}),
		at(30_001, "e2", model.Event{Kind: model.EventUpstreamLeaving, Instance: "i2", Pool: "log"}),
		at(59_000, "a-process-with-a-very-long-name", model.Event{Kind: "kind\"><b>", Detail: "tab\tand\x1b[0m"}),
	})
}

// eventsByProcess returns the events sorted by process instead of by time.
func eventsByProcess() []model.Event {
	out := events()
	slices.SortStableFunc(out, func(a, b model.Event) int { return strings.Compare(string(a.Process), string(b.Process)) })
	return out
}

func currentState(s report.Status) trail.CurrentState {
	o := trail.CurrentState{
		Now: s.Now, Contracts: map[model.Customer]model.Contract{}, Instances: map[model.InstanceID]model.Instance{},
		Maintenance: map[string]model.Maintenance{},
	}
	for _, c := range s.Contracts {
		o.Contracts[c.Customer] = c
	}
	for _, i := range s.Instances {
		o.Instances[i.ID] = i
	}
	for _, m := range s.Maintenance {
		o.Maintenance[m.Name] = m
	}
	for _, p := range s.Processes {
		o.Processes = append(o.Processes, trail.ProcessState{Name: p.Name, Zone: p.Zone, DrainedVersion: p.DrainedVersion, LastReport: p.LastReportAt})
	}
	return o
}

func job() sched.JobReport {
	return sched.JobReport{
		JobSummary: sched.JobSummary{ID: "j-1", Queue: "q\x1b[31m", Status: jobs.StatusRunning, AcceptedAt: start - 4000, Deadline: start + 2500},
		Pool:       "log", Now: start,
		Steps: []sched.StepReport{
			{Step: 0, Tasks: 4, Done: 2, Running: 1, Waiting: 1, Runs: 5, Failures: 1, WaitReason: sched.WaitCapacity},
			{Step: 1, Tasks: 2, Waiting: 2, WaitReason: sched.WaitDependencies},
			{Step: 2, Tasks: 2, Waiting: 2, WaitReason: sched.WaitQuota, WaitDetail: "the tasks of customer a hold 4000 of 4000 milli-cores\x1b[31m"},
		},
		Runs: []sched.RunReport{{
			Task: jobs.TaskID{Job: "j-1", Index: 2}, Run: 2, Worker: "i-7", Percent: 40, StartedAt: start - 700, StopReason: "it makes no progress",
		}},
	}
}

func jobCustomers() []runner.CustomerStatus {
	return []runner.CustomerStatus{
		{ForeignJobCalls: 3, CustomerReport: sched.CustomerReport{
			Name: "alpen", Configured: true, WeightPermille: 1500, Quota: jobs.Resources{MilliCores: 64_000, MemoryMiB: 131_072},
			Held: jobs.Resources{MilliCores: 12_500, MemoryMiB: 2048, Accelerators: 1}, WaitingTasks: 4,
		}},
		{CustomerReport: sched.CustomerReport{Name: "gone\x1b[31m", Held: jobs.Resources{MilliCores: 500}}},
	}
}

type renderer func(w io.Writer, f report.Format) error

func renderers() map[string]renderer {
	s := status()
	state := currentState(s)
	explain := func(x trail.Explanation) renderer {
		return func(w io.Writer, f report.Format) error { return report.Explain(w, f, x) }
	}
	return map[string]renderer{
		"contracts": func(w io.Writer, f report.Format) error { return report.Contracts(w, f, s) },
		"contract":  func(w io.Writer, f report.Format) error { return report.Contract(w, f, s, "pruefkette") },
		"instances": func(w io.Writer, f report.Format) error { return report.Instances(w, f, s, model.Selector{}) },
		"selected": func(w io.Writer, f report.Format) error {
			return report.Instances(w, f, s, model.Selector{Pool: "log", Instance: "i2"})
		},
		"maintenance": func(w io.Writer, f report.Format) error { return report.Maintenance(w, f, s) },
		"status":      func(w io.Writer, f report.Format) error { return report.WriteStatus(w, f, s) },
		"timeline":    func(w io.Writer, f report.Format) error { return report.Timeline(w, f, eventsByProcess()) },
		"customer":    explain(trail.ExplainCustomer(state, events(), "pruefkette")),
		"instance":    explain(trail.ExplainInstance(state, events(), "i2")),
		"request":     explain(trail.ExplainRequest(state, events(), "r-1")),
		"job":         func(w io.Writer, f report.Format) error { return report.Job(w, f, job()) },
		"job-status":  func(w io.Writer, f report.Format) error { return report.JobStatus(w, f, "j-1", jobs.StatusRunning) },
		"jobs": func(w io.Writer, f report.Format) error {
			return report.Jobs(w, f, []sched.JobSummary{job().JobSummary, {ID: "j-2", Queue: "q", AcceptedAt: start}}, 7)
		},
		"job-customers": func(w io.Writer, f report.Format) error { return report.JobCustomers(w, f, jobCustomers(), 7, 12) },
		"unknown":       explain(trail.ExplainRequest(state, events(), "r-9")),
	}
}

// TestReports checks that the columns and keys on which operators and their scripts
// rely stay the same, that text has no escape character, which could control a
// terminal, and that JSON is valid and has no null in place of a list.
func TestReports(t *testing.T) {
	for name, render := range renderers() {
		t.Run(name, func(t *testing.T) {
			var text, js bytes.Buffer
			assert.NilError(t, render(&text, report.FormatText))
			assert.Assert(t, !strings.ContainsRune(text.String(), '\x1b'))
			golden.Assert(t, text.String(), name+".txt")
			assert.NilError(t, render(&js, report.FormatJSON))
			assert.Assert(t, json.Valid(js.Bytes()))
			assert.Assert(t, !strings.Contains(js.String(), "null"))
			golden.Assert(t, js.String(), name+".json")
			err := render(io.Discard, report.FormatHTML)
			var e *report.Error
			assert.Assert(t, name == "timeline" && err == nil || errors.As(err, &e) && e.Kind == report.KindFormat)
		})
	}
}

// TestPage checks that text from callers, upstreams and other processes never becomes
// markup, and that the page loads no resources from other hosts.
func TestPage(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, report.Timeline(&b, report.FormatHTML, events()))
	for _, s := range []string{"<script", "<b>", "http://", "https://", "src=", "url(", "\x1b"} {
		assert.Assert(t, !strings.Contains(b.String(), s), s)
	}
	golden.Assert(t, b.String(), "timeline.html")
	b.Reset()
	assert.NilError(t, report.Timeline(&b, report.FormatHTML, nil))
	golden.Assert(t, b.String(), "empty.html")
}

// TestPageIsBounded checks that many events do not make the page too large for a
// browser.
func TestPageIsBounded(t *testing.T) {
	var many []model.Event
	for i := range 25_000 {
		many = append(many, model.Event{
			Stamp: model.Stamp{Wall: start + clock.Millis(i*7)}, Process: model.Process(fmt.Sprintf("e%02d", i%20)),
			Seq: uint64(i), Kind: model.EventRequestRefused, Customer: "pomar-alto", Request: fmt.Sprintf("r-%d", i), Limit: "queue full",
		})
	}
	var b bytes.Buffer
	assert.NilError(t, report.Timeline(&b, report.FormatHTML, many))
	assert.Assert(t, strings.Contains(b.String(), "5000 older events are left out"))
	assert.Equal(t, strings.Count(b.String(), "<tr class"), 20_000)
	assert.Assert(t, b.Len() < 10<<20, "%d bytes", b.Len())
	t.Logf("%d bytes", b.Len())
}

// TestPageOfFaultyStamps checks that events of a process with a wrong clock do not
// keep the page from being written.
func TestPageOfFaultyStamps(t *testing.T) {
	var faulty []model.Event
	for _, wall := range []clock.Millis{math.MaxInt64, 0, math.MinInt64, start} {
		faulty = append(faulty, model.Event{Stamp: model.Stamp{Wall: wall}, Process: "e1", Kind: model.EventWait})
	}
	var b bytes.Buffer
	assert.NilError(t, report.Timeline(&b, report.FormatHTML, faulty))
	assert.Equal(t, strings.Count(b.String(), "<tr class"), len(faulty))
}

// TestNotFound checks that an unknown customer or format is an error and does not
// give an empty report.
func TestNotFound(t *testing.T) {
	err := report.Contract(io.Discard, report.FormatText, status(), "pomar")
	var e *report.Error
	assert.Assert(t, errors.As(err, &e) && e.Kind == report.KindNotFound)
	_, err = report.ParseFormat("yaml")
	assert.ErrorContains(t, err, "yaml")
}

// TestEventCodec checks that no field of an event is lost when it is encoded and
// decoded.
func TestEventCodec(t *testing.T) {
	text := func(t *rapid.T, name string) string { return rapid.StringN(0, 8, -1).Draw(t, name) }
	rapid.Check(t, func(t *rapid.T) {
		in := make([]model.Event, rapid.IntRange(0, 4).Draw(t, "n"))
		for i := range in {
			in[i] = model.Event{
				Stamp:   model.Stamp{Wall: clock.Millis(rapid.Int64().Draw(t, "wall")), Count: rapid.Uint32().Draw(t, "count")},
				Process: model.Process(text(t, "process")), Seq: rapid.Uint64().Draw(t, "seq"), Kind: model.EventKind(text(t, "kind")),
				Customer: model.Customer(text(t, "customer")), Pool: model.Pool(text(t, "pool")), Instance: model.InstanceID(text(t, "instance")),
				Request: text(t, "request"), Version: model.Version(rapid.Uint64().Draw(t, "version")), Limit: text(t, "limit"), Detail: text(t, "detail"),
			}
		}
		data, err := report.EventsToJSON(in)
		assert.NilError(t, err)
		out, err := report.EventsFromJSON(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, in, out)
	})
}

// TestEventDecodeErrors checks that unknown keys are ignored, and that a truncated or
// otherwise malformed response is rejected.
func TestEventDecodeErrors(t *testing.T) {
	whole := `{"stamp-ms":1,"stamp-count":0,"process":"e1","seq":1,"kind":"wait","new-key":[]}`
	events, err := report.EventsFromJSON([]byte("[" + whole + "]"))
	assert.NilError(t, err)
	assert.Equal(t, events[0].Kind, model.EventWait)
	for _, bad := range []string{
		"", "{}", "[1]", "[" + whole, strings.Replace("["+whole+"]", `"seq":1`, `"seq":-1`, 1),
		strings.Replace("["+whole+"]", `"seq":1,`, "", 1),
	} {
		_, err := report.EventsFromJSON([]byte(bad))
		var e *report.Error
		assert.Assert(t, errors.As(err, &e) && e.Kind == report.KindDecode, bad)
	}
}
