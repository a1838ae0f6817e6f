package report

import (
	"cmp"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// The size of the page follows these bounds and not only the events.
const (
	// maxRows bounds the events shown one by one; the newest are kept. At
	// about 300 bytes each the page stays near 6 MB.
	maxRows = 20_000
	// groupRows is the number of events in one folded group.
	groupRows = 100
	// The overview has one mark for all events of a process in one of
	// overviewMarks equal spans of time.
	overviewMarks = 500
	markWidth     = 2
	laneHeight    = 22
	labelWidth    = 120
	labelRunes    = 18
	axisHeight    = 18
	// axisTicks is the number of spans that the axis is divided in.
	axisTicks = 5
)

//go:embed page.tmpl
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// severity colours an event: calm, watch or bad.
func severity(k model.EventKind) string {
	switch k {
	case model.EventRefused, model.EventUnknown, model.EventEjected, model.EventUpstreamGone:
		return "bad"
	case model.EventConflict, model.EventUpstreamLeft, model.EventWait, model.EventStop, model.EventWave:
		return "watch"
	default:
		return "calm"
	}
}

// pageData is what the template shows.
type pageData struct {
	Shown, Omitted int
	First, Last    string
	Width, Height  int
	Kinds          []pageKind
	Lanes          []pageLane
	Ticks          []pageTick
	Groups         []pageGroup
}

// pageKind is a kind of event with its filter. Class is made of an index, as
// the names of kinds may come from other processes.
type pageKind struct {
	Name, Class, Severity string
	Count                 int
}

type pageLane struct {
	// Label is the name, cut to fit the left margin.
	Name, Label string
	TextY, Base int
	Count       int
	Marks       []pageMark
}

type pageMark struct {
	X, Y, Width, Height int
	Severity, Title     string
	// Group is the group that holds the first event of the mark.
	Group int
}

type pageTick struct {
	X    int
	Text string
}

type pageGroup struct {
	ID          int
	Open        bool
	First, Last string
	Summary     string
	Rows        []pageRow
}

type pageRow struct {
	Time, Process, Kind, Class, Severity string
	Subject, Limit, Detail               string
}

// page writes the HTML page of the time line.
func page(w io.Writer, events []model.Event) error {
	omitted := max(len(events)-maxRows, 0)
	d := newPage(events[omitted:])
	d.Omitted = omitted
	var b strings.Builder
	if err := pageTemplate.Execute(&b, d); err != nil {
		return &Error{Op: "report time line", Kind: KindFormat, Err: fmt.Errorf("page: %w", err)}
	}
	return write(w, "report time line", b.String())
}

func newPage(events []model.Event) pageData {
	d := pageData{Shown: len(events), Width: labelWidth + overviewMarks*markWidth}
	if len(events) == 0 {
		return d
	}
	first, last := events[0].Stamp.Wall, events[len(events)-1].Stamp.Wall
	d.First, d.Last = timeText(first), timeText(last)
	lanes := distinct(events, func(e model.Event) model.Process { return e.Process })
	kinds := distinct(events, func(e model.Event) model.EventKind { return e.Kind })
	for i, k := range kinds {
		d.Kinds = append(d.Kinds, pageKind{Name: string(k), Class: fmt.Sprintf("k%d", i), Severity: severity(k)})
	}
	for _, e := range events {
		i, _ := slices.BinarySearch(kinds, e.Kind)
		d.Kinds[i].Count++
	}
	for i, p := range lanes {
		d.Lanes = append(d.Lanes, laneOf(p, i, events, first, last))
	}
	d.Height = len(lanes)*laneHeight + axisHeight
	for i := range axisTicks + 1 {
		at := first + (last-first)*clock.Millis(i)/axisTicks
		d.Ticks = append(d.Ticks, pageTick{X: labelWidth + i*overviewMarks*markWidth/axisTicks, Text: clockText(at)})
	}
	for from := 0; from < len(events); from += groupRows {
		d.Groups = append(d.Groups, groupOf(from, events[from:min(from+groupRows, len(events))], kinds))
	}
	return d
}

// distinct returns the keys of the events in ascending order.
func distinct[K cmp.Ordered](events []model.Event, key func(model.Event) K) []K {
	seen := map[K]bool{}
	for _, e := range events {
		seen[key(e)] = true
	}
	out := make([]K, 0, len(seen))
	for k := range seen {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// clockText returns the time of day in UTC.
func clockText(m clock.Millis) string {
	return time.UnixMilli(int64(m)).UTC().Format("15:04:05.000")
}

// markAt returns the mark of a time. It computes in floating point, as the
// stamps of a faulty process may be so far apart that integers overflow.
func markAt(at, first, last clock.Millis) int {
	span := max(float64(last)-float64(first), 1)
	return min(max(int((float64(at)-float64(first))/span*(overviewMarks-1)), 0), overviewMarks-1)
}

// laneOf puts the events of a process into the marks of its lane.
func laneOf(p model.Process, index int, events []model.Event, first, last clock.Millis) pageLane {
	l := pageLane{
		Name: clean(string(p)), TextY: index*laneHeight + laneHeight*2/3, Base: (index+1)*laneHeight - 1,
	}
	l.Label = l.Name
	if r := []rune(l.Name); len(r) > labelRunes {
		l.Label = string(r[:labelRunes-1]) + "…"
	}
	spans := make([][]model.Event, overviewMarks)
	groups := make([]int, overviewMarks)
	for i, e := range events {
		if e.Process != p {
			continue
		}
		l.Count++
		at := markAt(e.Stamp.Wall, first, last)
		if len(spans[at]) == 0 {
			groups[at] = i / groupRows
		}
		spans[at] = append(spans[at], e)
	}
	for at, in := range spans {
		if len(in) == 0 {
			continue
		}
		// One event has a mark of 6 units; the mark grows with the logarithm of
		// the number, up to the height of the lane.
		height := 6
		for n := len(in); n > 1 && height < laneHeight-4; n /= 2 {
			height += 2
		}
		l.Marks = append(l.Marks, pageMark{
			X: labelWidth + at*markWidth, Y: l.Base - height, Width: markWidth, Height: height,
			Severity: worst(in), Title: clockText(in[0].Stamp.Wall) + " " + tally(in), Group: groups[at],
		})
	}
	return l
}

// worst returns the most severe of the events' severities.
func worst(events []model.Event) string {
	found := "calm"
	for _, e := range events {
		switch s := severity(e.Kind); {
		case s == "bad":
			return s
		case s == "watch":
			found = s
		}
	}
	return found
}

// tally counts the events by kind.
func tally(events []model.Event) string {
	counts := map[model.EventKind]int{}
	for _, e := range events {
		counts[e.Kind]++
	}
	var parts []string
	for _, k := range distinct(events, func(e model.Event) model.EventKind { return e.Kind }) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[k], clean(string(k))))
	}
	return strings.Join(parts, ", ")
}

func groupOf(from int, events []model.Event, kinds []model.EventKind) pageGroup {
	g := pageGroup{
		ID: from / groupRows, Open: from == 0,
		First: timeText(events[0].Stamp.Wall), Last: clockText(events[len(events)-1].Stamp.Wall),
		Summary: tally(events),
	}
	for _, e := range events {
		kind, _ := slices.BinarySearch(kinds, e.Kind)
		g.Rows = append(g.Rows, pageRow{
			Time: clockText(e.Stamp.Wall) + fmt.Sprintf("+%d", e.Stamp.Count), Process: clean(string(e.Process)),
			Kind: clean(string(e.Kind)), Class: fmt.Sprintf("k%d", kind), Severity: severity(e.Kind),
			Subject: subjectText(e), Limit: clean(e.Limit), Detail: clean(e.Detail),
		})
	}
	return g
}

// subjectText lists the objects of an event.
func subjectText(e model.Event) string {
	var parts []string
	for _, p := range [][2]string{
		{"customer", string(e.Customer)}, {"pool", string(e.Pool)}, {"instance", string(e.Instance)}, {"request", e.Request},
	} {
		if p[1] != "" {
			parts = append(parts, p[0]+"="+clean(p[1]))
		}
	}
	if e.Version != 0 {
		parts = append(parts, fmt.Sprintf("version=%d", e.Version))
	}
	return strings.Join(parts, " ")
}
