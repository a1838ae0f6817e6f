package report

import (
	"io"

	"camphorridge/core/state/model"
	"camphorridge/core/state/trail"
)

// Timeline writes the events of all processes, merged in causal order.
func Timeline(w io.Writer, f Format, events []model.Event) error {
	events = trail.Merge(events)
	if f == FormatHTML {
		return writePage(w, events)
	}
	return render(w, "report time line", f, func() string { return eventsTable(events).String() },
		func() any { return object{{"events", mapObjects(events, eventObject)}} })
}

func eventsTable(events []model.Event) *table {
	t := newTable("TIME", "COUNT", "PROCESS", "EVENT", "CUSTOMER", "POOL", "INSTANCE", "REQUEST", "VERSION", "LIMIT", "DETAIL")
	for _, e := range events {
		var version any = "-"
		if e.Version != 0 {
			version = e.Version
		}
		t.add(timeText(e.Stamp.Wall), e.Stamp.Count, e.Process, e.Kind, e.Customer, e.Pool, e.Instance, e.Request, version, e.Limit, e.Detail)
	}
	return t
}
