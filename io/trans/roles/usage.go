package roles

import (
	"os"
	"strconv"
	"strings"
	"syscall"

	"camphorridge/io/trans/peers"
)

// processCounters returns the counters of the resources that the process uses: CPU
// time, resident memory and control traffic.
func processCounters(t *peers.Traffic) []counter {
	return []counter{
		{"process-cpu-ms", cpuMillis},
		{"process-resident-bytes", residentBytes},
		{"control-bytes-sent", t.Sent},
		{"control-bytes-received", t.Received},
	}
}

// cpuMillis returns the user and system CPU time of the process in ms, or 0 if it
// is not available.
func cpuMillis() int64 {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return (r.Utime.Nano() + r.Stime.Nano()) / 1e6
}

// residentBytes returns the resident memory of the process, or 0 if it is not
// available.
func residentBytes() int64 {
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
