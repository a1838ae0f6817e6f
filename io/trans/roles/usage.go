package roles

import (
	"os"
	"strconv"
	"strings"
	"syscall"

	"camphorridge/io/trans/peers"
)

// processCounters lists what the process itself costs: processor time, resident memory
// and the bytes of control traffic.
func processCounters(t *peers.Traffic) []counter {
	return []counter{
		{"process-cpu-ms", cpuMillis},
		{"process-resident-bytes", residentBytes},
		{"control-bytes-sent", t.Sent},
		{"control-bytes-received", t.Received},
	}
}

// cpuMillis is the user and system time of the process.
func cpuMillis() int64 {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return (r.Utime.Nano() + r.Stime.Nano()) / 1e6
}

// residentBytes is 0 where the system does not tell.
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
