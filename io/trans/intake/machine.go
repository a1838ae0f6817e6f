package intake

import (
	"math"
	"syscall"
)

// machineMemory returns the memory of the machine in bytes.
func machineMemory() int64 {
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) != nil {
		return 1 << 30
	}
	return int64(min(uint64(info.Totalram)*uint64(info.Unit), math.MaxInt64))
}

// machineDescriptors returns the number of descriptors that the process may have open.
func machineDescriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 1024
	}
	return int(min(limit.Cur, 1<<20))
}

// ownDescriptors is the number of descriptors that are kept for listeners, files and the
// process's own calls to members of the group.
const ownDescriptors = 64

// connectionLimits returns the number of connections of clients and of members of the
// group, each of which cannot use up those of the other. The rest of the descriptors is
// for the process's own connections, of which it may open one for each request.
func connectionLimits(s Settings) (clients, members int) {
	usable := max(s.Descriptors-ownDescriptors, 16)
	if s.OutgoingPerClient {
		return usable / 2, usable / 8
	}
	return usable * 3 / 8, usable * 3 / 8
}
