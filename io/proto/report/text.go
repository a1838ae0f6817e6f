package report

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"camphorridge/core/state/clock"
)

// table is a text table with aligned columns.
type table struct {
	header []string
	rows   [][]string
}

func newTable(header ...string) *table { return &table{header: header} }

// add appends a row. An empty cell is shown as "-", so that scripts that split rows
// at white space find as many columns as without empty cells.
func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = printable(fmt.Sprint(c))
		if row[i] == "" {
			row[i] = "-"
		}
	}
	t.rows = append(t.rows, row)
}

// String returns the table with two spaces between the columns.
func (t *table) String() string {
	width := make([]int, len(t.header))
	for _, row := range append([][]string{t.header}, t.rows...) {
		for i, c := range row {
			width[i] = max(width[i], utf8.RuneCountInString(c))
		}
	}
	var b strings.Builder
	for _, row := range append([][]string{t.header}, t.rows...) {
		var line strings.Builder
		for i, c := range row {
			line.WriteString(c)
			line.WriteString(strings.Repeat(" ", width[i]-utf8.RuneCountInString(c)+2))
		}
		b.WriteString(strings.TrimRight(line.String(), " "))
		b.WriteByte('\n')
	}
	return b.String()
}

// printable replaces control characters and other invisible characters with
// U+FFFD. Some texts come from upstreams and callers, and such characters could
// break lines or control the operator's terminal.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return '\uFFFD'
		}
		return r
	}, s)
}

// timeText returns the date and the time in UTC, or "never" for 0.
func timeText(m clock.Millis) string {
	if m == 0 {
		return "never"
	}
	return time.UnixMilli(int64(m)).UTC().Format("2006-01-02T15:04:05.000Z")
}

// durationText returns a duration in the largest unit of which it is a whole number.
func durationText(m clock.Millis) string {
	for _, u := range []struct {
		unit clock.Millis
		name string
	}{{clock.Day, "d"}, {clock.Hour, "h"}, {clock.Minute, "min"}, {clock.Second, "s"}} {
		if m != 0 && m%u.unit == 0 {
			return strconv.FormatInt(int64(m/u.unit), 10) + u.name
		}
	}
	return strconv.FormatInt(int64(m), 10) + "ms"
}

// ageText returns the duration from then to now, rounded to 0.1 s, or "never" if
// then is 0.
func ageText(now, then clock.Millis) string {
	if then == 0 {
		return "never"
	}
	return fmt.Sprintf("%.1fs", float64(now-then)/float64(clock.Second))
}
