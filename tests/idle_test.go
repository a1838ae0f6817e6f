package tests

import (
	"bufio"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// metrics returns the values of a process's metrics by name, without the prefix
// camphorridge_. The map is empty if the process does not answer.
func (s *system) metrics(p *process) map[string]float64 {
	out := map[string]float64{}
	resp, err := probeClient.Get("http://" + p.adminAddr + "/metrics")
	if err != nil {
		return out
	}
	defer resp.Body.Close()
	for sc := bufio.NewScanner(resp.Body); sc.Scan(); {
		name, rest, ok := strings.Cut(sc.Text(), "{")
		_, value, found := strings.Cut(rest, "} ")
		if v, err := strconv.ParseFloat(value, 64); ok && found && err == nil {
			out[strings.TrimPrefix(name, "camphorridge_")] = v
		}
	}
	return out
}

// formatMetrics returns the metrics of every process as text, for the message
// of a wait that timed out.
func (s *system) formatMetrics() string {
	var b strings.Builder
	for _, p := range slices.Concat(s.controls, s.entries) {
		fmt.Fprintf(&b, "%s in %s:\n", p.name, p.zone)
		m := s.metrics(p)
		for _, name := range slices.Sorted(maps.Keys(m)) {
			fmt.Fprintf(&b, "  %s %v\n", name, m[name])
		}
	}
	return b.String()
}

// idlePeriod is how long the benchmark measures the idle processes.
const idlePeriod = 10 * time.Second

// BenchmarkIdleProcesses reports the CPU time, the memory and the traffic of the
// processes while nothing changes, as the mean over the processes of each role. It
// does so for fleets of different sizes, whose differences show the cost per
// instance.
func BenchmarkIdleProcesses(b *testing.B) {
	for _, c := range []struct{ perZone, leaseMillis int }{{17, 3000}, {170, 3000}, {510, 3000}, {17, 15000}, {255, 15000}, {510, 15000}} {
		perZone := c.perZone
		b.Run(fmt.Sprintf("instances=%d/lease-ms=%d", 3*perZone, c.leaseMillis), func(b *testing.B) {
			l := threeZones()
			l.allSettings = fmt.Sprintf("[limits]\nlease-ms = %d\n", c.leaseMillis)
			for z := range l.upstreams {
				l.upstreams[z] = strings.Split(strings.Repeat("merge,", perZone-1)+"merge", ",")
			}
			for b.Loop() {
				s := startSystem(b, l)
				s.wait("all instances", func() bool {
					out, err := s.cli("instances")
					return err == nil && strings.Count(out, "serving") == 3*perZone
				})
				s.reportIdleCost(b, s.entries, "entry")
				s.reportIdleCost(b, s.controls, "control")
			}
		})
	}
}

// reportIdleCost reports the CPU use, the memory, and the bytes of control traffic
// per second of the processes of one role, each as the mean over the processes.
func (s *system) reportIdleCost(b *testing.B, all []*process, role string) {
	before := make([]map[string]float64, len(all))
	for i, p := range all {
		before[i] = s.metrics(p)
	}
	time.Sleep(idlePeriod)
	var cpu, memory, bytes float64
	for i, p := range all {
		after := s.metrics(p)
		cpu += after["process_cpu_ms_total"] - before[i]["process_cpu_ms_total"]
		memory += after["process_resident_bytes_total"]
		for _, name := range []string{"control_bytes_sent_total", "control_bytes_received_total"} {
			bytes += after[name] - before[i][name]
		}
	}
	n, seconds := float64(len(all)), idlePeriod.Seconds()
	// The metric is in ms: 10 ms of CPU time per second are 1 % of a core.
	b.ReportMetric(cpu/n/seconds/10, role+"-core-%")
	b.ReportMetric(memory/n/(1<<20), role+"-MiB")
	b.ReportMetric(bytes/n/seconds/1024, role+"-KiB/s")
}
