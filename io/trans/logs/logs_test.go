package logs_test

import (
	"bytes"
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/trans/logs"
)

// TestLines guards against lines without time, process or zone, against lines
// for events of single requests, and against values that split a line.
func TestLines(t *testing.T) {
	var b bytes.Buffer
	l, err := logs.New(&b, logs.Settings{Level: "info", Process: "e1", Zone: "zone-a"}, clock.NewFake(1_796_382_000_123).Clock())
	assert.NilError(t, err)
	l.Debug("not shown")
	l.Warn("ring full", "refused", 12, "ring", "asks")
	logs.Event(l, model.Event{Kind: model.EventEjected, Instance: "i1", Pool: "log", Limit: "failures", Detail: "a\nb \x1b[31m"})
	logs.Event(l, model.Event{Kind: model.EventRequestRefused, Customer: "pomar-alto"})
	logs.Event(l, model.Event{Kind: model.EventTableInForce, Version: 3})
	logs.Event(l, model.Event{Kind: model.EventInstanceStep, Instance: "i1", Version: 3})
	golden.Assert(t, b.String(), "lines.txt")
}

// TestLevel guards against accepting an invalid level, such as fatal, with which
// the log would stay empty.
func TestLevel(t *testing.T) {
	for _, level := range []string{"", "fatal", "INFO"} {
		_, err := logs.New(&bytes.Buffer{}, logs.Settings{Level: level}, clock.Real())
		var e *logs.Error
		assert.Assert(t, errors.As(err, &e) && e.Kind == logs.KindLevel, level)
	}
}
