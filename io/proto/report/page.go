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

// Limits of the HTML page and dimensions of its overview. The limits bound the size
// of the page for any number of events.
const (
	// maxRows is the largest number of events on the page; the newest are kept. At
	// about 300 bytes per event the page stays near 6 MB.
	maxRows = 20_000
	// groupRows is the number of events in one collapsible group.
	groupRows = 100
	// overviewSpans is the number of equal time spans in the overview. All events of
	// a process within one span share one mark.
	overviewSpans = 500
	// Widths and heights are in units of the SVG view box.
	markWidth  = 2
	laneHeight = 22
	labelWidth = 120
	axisHeight = 18
	// labelRunes is the largest number of characters in the label of a lane.
	labelRunes = 18
	// axisTicks is the number of parts into which ticks divide the time axis.
	axisTicks = 5
)

//go:embed page.tmpl
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// severity returns the CSS class that sets the colour of an event: calm, watch or
// bad, in ascending order of severity.
func severity(k model.EventKind) string {
	switch k {
	case model.EventRequestRefused, model.EventOutcomeUnknown, model.EventEjected, model.EventUpstreamGone:
		return "bad"
	case model.EventChangeRefused, model.EventUpstreamLeaving, model.EventWait, model.EventStop, model.EventWave:
		return "watch"
	default:
		return "calm"
	}
}

// pageData is the input of the page template.
type pageData struct {
	Shown, Omitted int
	First, Last    string
	Width, Height  int
	Kinds          []pageKind
	Lanes          []pageLane
	Ticks          []pageTick
	Groups         []pageGroup
}

// pageKind is a kind of event. Class is the CSS class of its rows, by which the page
// hides and shows them. It is built from an index, because the names of kinds may
// come from other processes and are not trusted.
type pageKind struct {
	Name, Class, Severity string
	Count                 int
}

// pageLane is the row of one process in the overview.
type pageLane struct {
	// Label is Name, shortened to fit the left margin.
	Name, Label string
	// TextY and Base are the y coordinates of the label and of the bottom of the
	// lane.
	TextY, Base int
	// Count is the number of events of the process.
	Count int
	Marks []pageMark
}

// pageMark represents the events of a process within one time span.
type pageMark struct {
	X, Y, Width, Height int
	Severity, Title     string
	// Group is the ID of the group that holds the first event of the mark.
	Group int
}

// pageTick is a tick on the time axis and its label.
type pageTick struct {
	X    int
	Text string
}

// pageGroup is a collapsible table of up to groupRows events.
type pageGroup struct {
	ID          int
	Open        bool
	First, Last string
	Summary     string
	Rows        []pageRow
}

// pageRow is one event in the table of its group.
type pageRow struct {
	Time, Process, Kind, Class, Severity string
	Subject, Limit, Detail               string
}

// writePage writes the HTML page of the time line. If there are more than maxRows
// events, it leaves out the oldest.
func writePage(w io.Writer, events []model.Event) error {
	omitted := max(len(events)-maxRows, 0)
	d := newPageData(events[omitted:])
	d.Omitted = omitted
	var b strings.Builder
	if err := pageTemplate.Execute(&b, d); err != nil {
		return &Error{Op: "report time line", Kind: KindFormat, Err: fmt.Errorf("page: %w", err)}
	}
	return write(w, "report time line", b.String())
}

// newPageData returns the input of the page template. The events must be in causal
// order.
func newPageData(events []model.Event) pageData {
	d := pageData{Shown: len(events), Width: labelWidth + overviewSpans*markWidth}
	if len(events) == 0 {
		return d
	}
	first, last := events[0].Stamp.Wall, events[len(events)-1].Stamp.Wall
	d.First, d.Last = timeText(first), timeText(last)
	processes := distinct(events, func(e model.Event) model.Process { return e.Process })
	kinds := distinct(events, func(e model.Event) model.EventKind { return e.Kind })
	for i, k := range kinds {
		d.Kinds = append(d.Kinds, pageKind{Name: string(k), Class: fmt.Sprintf("k%d", i), Severity: severity(k)})
	}
	for _, e := range events {
		i, _ := slices.BinarySearch(kinds, e.Kind)
		d.Kinds[i].Count++
	}
	for i, p := range processes {
		d.Lanes = append(d.Lanes, newLane(p, i, events, first, last))
	}
	d.Height = len(processes)*laneHeight + axisHeight
	for i := range axisTicks + 1 {
		at := first + (last-first)*clock.Millis(i)/axisTicks
		d.Ticks = append(d.Ticks, pageTick{X: labelWidth + i*overviewSpans*markWidth/axisTicks, Text: timeOfDayText(at)})
	}
	for from := 0; from < len(events); from += groupRows {
		d.Groups = append(d.Groups, newGroup(from, events[from:min(from+groupRows, len(events))], kinds))
	}
	return d
}

// distinct returns the keys of the events, each once and in ascending order.
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

// timeOfDayText returns the time of day in UTC, without the date.
func timeOfDayText(m clock.Millis) string {
	return time.UnixMilli(int64(m)).UTC().Format("15:04:05.000")
}

// markIndex returns the index of the time span, and so of the mark, for the time at.
// It uses floating point, because the stamps of a process with a wrong clock may be
// so far apart that integers overflow.
func markIndex(at, first, last clock.Millis) int {
	span := max(float64(last)-float64(first), 1)
	return min(max(int((float64(at)-float64(first))/span*(overviewSpans-1)), 0), overviewSpans-1)
}

// newLane returns the lane of process p, the index-th from the top, with a mark for
// each time span in which p has events.
func newLane(p model.Process, index int, events []model.Event, first, last clock.Millis) pageLane {
	l := pageLane{
		Name: printable(string(p)), TextY: index*laneHeight + laneHeight*2/3, Base: (index+1)*laneHeight - 1,
	}
	l.Label = l.Name
	if r := []rune(l.Name); len(r) > labelRunes {
		l.Label = string(r[:labelRunes-1]) + "…"
	}
	spans := make([][]model.Event, overviewSpans)
	groups := make([]int, overviewSpans)
	for i, e := range events {
		if e.Process != p {
			continue
		}
		l.Count++
		mark := markIndex(e.Stamp.Wall, first, last)
		if len(spans[mark]) == 0 {
			groups[mark] = i / groupRows
		}
		spans[mark] = append(spans[mark], e)
	}
	for mark, inSpan := range spans {
		if len(inSpan) == 0 {
			continue
		}
		// The mark of one event is 6 units high. The height grows with the
		// logarithm of the number of events, up to the height of the lane.
		height := 6
		for n := len(inSpan); n > 1 && height < laneHeight-4; n /= 2 {
			height += 2
		}
		l.Marks = append(l.Marks, pageMark{
			X: labelWidth + mark*markWidth, Y: l.Base - height, Width: markWidth, Height: height,
			Severity: worstSeverity(inSpan), Title: timeOfDayText(inSpan[0].Stamp.Wall) + " " + countsText(inSpan), Group: groups[mark],
		})
	}
	return l
}

// worstSeverity returns the highest severity among the events.
func worstSeverity(events []model.Event) string {
	highest := "calm"
	for _, e := range events {
		switch s := severity(e.Kind); {
		case s == "bad":
			return s
		case s == "watch":
			highest = s
		}
	}
	return highest
}

// countsText returns the number of events of each kind, separated by commas.
func countsText(events []model.Event) string {
	counts := map[model.EventKind]int{}
	for _, e := range events {
		counts[e.Kind]++
	}
	var parts []string
	for _, k := range distinct(events, func(e model.Event) model.EventKind { return e.Kind }) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[k], printable(string(k))))
	}
	return strings.Join(parts, ", ")
}

// newGroup returns the group of the given events. from is the index of the first of
// them on the page; kinds holds the kinds of all events of the page, sorted.
func newGroup(from int, events []model.Event, kinds []model.EventKind) pageGroup {
	g := pageGroup{
		ID: from / groupRows, Open: from == 0,
		First: timeText(events[0].Stamp.Wall), Last: timeOfDayText(events[len(events)-1].Stamp.Wall),
		Summary: countsText(events),
	}
	for _, e := range events {
		kind, _ := slices.BinarySearch(kinds, e.Kind)
		g.Rows = append(g.Rows, pageRow{
			Time: timeOfDayText(e.Stamp.Wall) + fmt.Sprintf("+%d", e.Stamp.Count), Process: printable(string(e.Process)),
			Kind: printable(string(e.Kind)), Class: fmt.Sprintf("k%d", kind), Severity: severity(e.Kind),
			Subject: subjectText(e), Limit: printable(e.Limit), Detail: printable(e.Detail),
		})
	}
	return g
}

// subjectText returns the objects that an event concerns, as name=value pairs.
func subjectText(e model.Event) string {
	var parts []string
	for _, p := range [][2]string{
		{"customer", string(e.Customer)}, {"pool", string(e.Pool)}, {"instance", string(e.Instance)}, {"request", e.Request},
	} {
		if p[1] != "" {
			parts = append(parts, p[0]+"="+printable(p[1]))
		}
	}
	if e.Version != 0 {
		parts = append(parts, fmt.Sprintf("version=%d", e.Version))
	}
	return strings.Join(parts, " ")
}
