package admin

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// prefix is the prefix of the name of every metric.
const prefix = "camphorridge_"

// quantiles holds the quantiles that every summary has.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Label is a constant label of all metrics of a process.
type Label struct {
	Name  string
	Value string
}

// namedMetric is a metric with its name in the registry.
type namedMetric struct {
	name   string
	metric any
}

// Expose writes the metrics in the Prometheus text format 0.0.4, sorted by name. It
// writes a sum only for histograms of NewHistogram, because the sum of the library's
// histograms and timers covers only the sampled values.
func Expose(w io.Writer, r metrics.Registry, labels []Label) error {
	x := exposer{labels: formatLabels(labels), usedNames: map[string]bool{}}
	var all []namedMetric
	r.Each(func(name string, m any) { all = append(all, namedMetric{name, m}) })
	slices.SortFunc(all, func(a, b namedMetric) int { return strings.Compare(a.name, b.name) })
	for _, n := range all {
		x.writeMetric(n.name, n.metric)
	}
	_, err := io.WriteString(w, x.out.String())
	return err
}

// exposer writes metrics to out. labels are the formatted labels of all metrics.
type exposer struct {
	out    strings.Builder
	labels string
	// usedNames holds the names that are in use, because two names of the registry can
	// be equal once sanitised.
	usedNames map[string]bool
}

func (x *exposer) writeMetric(name string, m any) {
	switch m := m.(type) {
	case metrics.Counter:
		x.writeSingle(name, "_total", "counter", float64(m.Count()))
	case metrics.Meter:
		x.writeSingle(name, "_total", "counter", float64(m.Count()))
	case gaugeVector:
		x.writeVector(name, m)
	case metrics.Gauge:
		x.writeSingle(name, "", "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		x.writeSingle(name, "", "gauge", m.Value())
	case metrics.Histogram:
		s := m.Snapshot()
		total, known := m.Sample().(interface{ Total() int64 })
		sum := math.NaN()
		if known {
			sum = float64(total.Total())
		}
		x.writeSummary(name, s.Percentiles(quantiles), sum, s.Count())
	case metrics.Timer:
		s := m.Snapshot()
		x.writeSummary(name, s.Percentiles(quantiles), math.NaN(), s.Count())
	}
}

func (x *exposer) writeSingle(name, suffix, kind string, v float64) {
	n := x.uniqueName(name, suffix, suffix)
	fmt.Fprintf(&x.out, "# TYPE %s %s\n", n, kind)
	x.writeSample(n, x.labels, v)
}

// writeVector writes one sample for each value, with the vector's label.
func (x *exposer) writeVector(name string, v gaugeVector) {
	n := x.uniqueName(name, "", "")
	fmt.Fprintf(&x.out, "# TYPE %s gauge\n", n)
	for _, s := range v.values() {
		labels := formatLabels([]Label{{Name: v.label, Value: s.Label}})
		if x.labels != "" {
			labels = x.labels + "," + labels
		}
		x.writeSample(n, labels, float64(s.Value))
	}
}

// writeSummary writes the quantiles, the sum and the count. It omits the sum if it is
// NaN, which means unknown.
func (x *exposer) writeSummary(name string, values []float64, sum float64, count int64) {
	n := x.uniqueName(name, "", "", "_sum", "_count")
	fmt.Fprintf(&x.out, "# TYPE %s summary\n", n)
	for i, q := range quantiles {
		labels := fmt.Sprintf(`quantile="%s"`, formatNumber(q))
		if x.labels != "" {
			labels = x.labels + "," + labels
		}
		v := values[i]
		if count == 0 {
			v = math.NaN()
		}
		x.writeSample(n, labels, v)
	}
	if !math.IsNaN(sum) {
		x.writeSample(n+"_sum", x.labels, sum)
	}
	x.writeSample(n+"_count", x.labels, float64(count))
}

func (x *exposer) writeSample(name, labels string, v float64) {
	if labels != "" {
		labels = "{" + labels + "}"
	}
	fmt.Fprintf(&x.out, "%s%s %s\n", name, labels, formatNumber(v))
}

// uniqueName returns prefix, the sanitised name and suffix, joined. If the name already
// ends in suffix, it gets no second one. uniqueName inserts a number before suffix if the name followed by any suffix in reserve is in use, because
// scrapers reject a page with two metrics of the same name. It then reserves the name
// followed by each suffix in reserve.
func (x *exposer) uniqueName(name, suffix string, reserve ...string) string {
	base := prefix + strings.TrimSuffix(sanitiseName(name), suffix)
	n := base
	for i := 2; slices.ContainsFunc(reserve, func(s string) bool { return x.usedNames[n+s] }); i++ {
		n = fmt.Sprintf("%s_%d", base, i)
	}
	for _, s := range reserve {
		x.usedNames[n+s] = true
	}
	return n + suffix
}

// sanitiseName replaces each character other than an ASCII letter or digit with an
// underscore.
func sanitiseName(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func formatLabels(labels []Label) string {
	var parts []string
	for _, l := range labels {
		parts = append(parts, fmt.Sprintf(`%s="%s"`, sanitiseName(l.Name), labelEscaper.Replace(l.Value)))
	}
	return strings.Join(parts, ",")
}

func formatNumber(v float64) string {
	if v == math.Trunc(v) && math.Abs(v) < 1<<53 {
		return strconv.FormatInt(int64(v), 10)
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}
