package report

import (
	"fmt"
	"io"
	"strings"

	"camphorridge/core/state/model"
	"camphorridge/core/state/trail"
)

// adviceTexts holds the advice to the operator for each action. %s stands for the
// target of the advice.
var adviceTexts = map[trail.Action]string{
	trail.ActionRaiseLimit:     "raise %s in the contract",
	trail.ActionApplyContract:  "apply a contract: %s",
	trail.ActionAddPool:        "add the pool to the %s",
	trail.ActionAllowMoreTime:  "allow a longer %s",
	trail.ActionAddInstances:   "add instances to %s",
	trail.ActionStartUpstream:  "start the upstream of %s",
	trail.ActionRepairUpstream: "repair the upstream of %s",
	trail.ActionRestartProcess: "restart %s or declare it lost",
	trail.ActionCheckPlatform:  "check the platform for %s",
	trail.ActionWait:           "wait for %s",
	trail.ActionInspect:        "check the limit %s",
}

// adviceText returns the advice as a phrase, or the action and the target if the
// action has no phrase.
func adviceText(a trail.Advice) string {
	text, ok := adviceTexts[a.Action]
	if !ok {
		return string(a.Action) + " " + a.Target
	}
	return fmt.Sprintf(text, a.Target)
}

// Explain writes the explanation of a customer, an instance or a request.
func Explain(w io.Writer, f Format, x trail.Explanation) error {
	return render(w, "report explanation", f, func() string { return explainText(x) }, func() any { return explainObject(x) })
}

func explainText(x trail.Explanation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s at %s\n", x.Subject, printable(x.Name), timeText(x.Now))
	if !x.Found {
		b.WriteString("not found in the current state or in the retained events\n")
	}
	if x.Instance.ID != "" {
		t := newTable("ZONE", "RACK", "POOL", "TARGET", "PHASE", "SINCE", "REASON")
		i := x.Instance
		t.add(i.Zone, i.Rack, i.Pool, i.Target, i.Phase, timeText(i.PhaseSince), i.Reason)
		writeSection(&b, "Present", t)
	}
	pools := newTable("POOL", "USE", "PROMISED", "SERVING", "RELEASING", "MAINTENANCE")
	for _, p := range x.Pools {
		pools.add(p.Pool, poolUse(p), p.Promised, p.Serving, p.Releasing, p.Maintenance)
	}
	writeSection(&b, "Pools", pools)
	writeSection(&b, "Limits reached", limitHitsTable(x.LimitHits))
	writeSection(&b, "Current obstacles", obstaclesTable(x.Obstacles))
	if x.OmittedEvents > 0 {
		fmt.Fprintf(&b, "\n%d older events are left out\n", x.OmittedEvents)
	}
	writeSection(&b, "Events", eventsTable(x.Events))
	writeSection(&b, "Events of the same instances around the time of the request", eventsTable(x.RelatedEvents))
	return b.String()
}

// writeSection writes the title and the table, or nothing if the table has no rows.
func writeSection(b *strings.Builder, title string, t *table) {
	if len(t.rows) > 0 {
		fmt.Fprintf(b, "\n%s\n%s", title, t)
	}
}

// poolUse returns whether the pool holds spare instances or serves requests.
func poolUse(p trail.PoolState) string {
	if p.Spare {
		return "spare"
	}
	return "work"
}

func limitHitsTable(hits []trail.LimitHit) *table {
	t := newTable("LIMIT", "EVENT", "COUNT", "FIRST", "LAST", "TO-UNBLOCK", "DETAIL")
	for _, h := range hits {
		t.add(h.Limit, h.Kind, h.Count, timeText(h.First.Wall), timeText(h.Last.Wall), adviceText(h.Advice), h.Detail)
	}
	return t
}

func obstaclesTable(obstacles []trail.Obstacle) *table {
	t := newTable("OBSTACLE", "CONCERNS", "SINCE", "TO-UNBLOCK")
	for _, o := range obstacles {
		since := "-"
		if o.Since != 0 {
			since = timeText(o.Since)
		}
		t.add(o.Kind, obstacleSubjects(o), since, adviceText(o.Advice))
	}
	return t
}

// obstacleSubjects returns the objects and values that an obstacle concerns, as
// name=value pairs.
func obstacleSubjects(o trail.Obstacle) string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	add("instance", string(o.Instance))
	add("pool", string(o.Pool))
	add("process", string(o.Process))
	add("customer", string(o.Customer))
	add("maintenance", o.Maintenance)
	if o.Limit != "" {
		add("limit", fmt.Sprintf("%s:%d", o.Limit, o.Value))
	}
	if o.Missing > 0 {
		add("missing", fmt.Sprint(o.Missing))
	}
	if o.Deadline > 0 {
		add("deadline", timeText(o.Deadline))
	}
	return strings.Join(parts, " ")
}

func adviceObject(a trail.Advice) object {
	return object{{"action", a.Action}, {"target", a.Target}}
}

func stampObject(s model.Stamp) object {
	return object{{"stamp-ms", s.Wall}, {"stamp-count", s.Count}}
}

func explainObject(x trail.Explanation) object {
	o := object{{"subject", x.Subject}, {"name", x.Name}, {"now-ms", x.Now}, {"known", x.Found}}
	if x.Contract.Customer != "" {
		o = append(o, field{"contract", contractObject(x.Contract)})
	}
	if x.Instance.ID != "" {
		o = append(o, field{"instance", instanceObject(x.Instance)})
	}
	return append(
		o,
		field{"pools", mapObjects(x.Pools, func(p trail.PoolState) object {
			return object{
				{"pool", p.Pool},
				{"spare", p.Spare},
				{"promised", p.Promised},
				{"serving", p.Serving},
				{"releasing", p.Releasing},
				{"maintenance", p.Maintenance},
			}
		})},
		field{"bounds", mapObjects(x.LimitHits, func(h trail.LimitHit) object {
			return object{
				{"limit", h.Limit},
				{"kind", h.Kind},
				{"count", h.Count},
				{"first", stampObject(h.First)},
				{"last", stampObject(h.Last)},
				{"detail", h.Detail},
				{"advice", adviceObject(h.Advice)},
			}
		})},
		field{"blocks", mapObjects(x.Obstacles, obstacleObject)},
		field{"omitted", x.OmittedEvents},
		field{"events", mapObjects(x.Events, eventObject)},
		field{"context", mapObjects(x.RelatedEvents, eventObject)},
	)
}

func obstacleObject(o trail.Obstacle) object {
	return object{
		{"kind", o.Kind},
		{"instance", o.Instance},
		{"pool", o.Pool},
		{"process", o.Process},
		{"customer", o.Customer},
		{"maintenance", o.Maintenance},
		{"limit", o.Limit},
		{"value", o.Value},
		{"missing", o.Missing},
		{"since-ms", o.Since},
		{"deadline-ms", o.Deadline},
		{"advice", adviceObject(o.Advice)},
	}
}
