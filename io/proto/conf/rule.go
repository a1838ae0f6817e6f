package conf

import (
	"net/netip"
	"slices"
	"strings"

	"camphorridge/core/state/jobs"
	"camphorridge/core/state/model"
)

// maxPathBytes is the length of the longest path that the operating system accepts.
const maxPathBytes = 4096

var nameRule = textRule{
	allowed: "1 to 64 letters, digits, '-' and '_', starting with a letter or digit",
	accepts: model.ValidName,
}

var listenRule = textRule{
	allowed: "ip:port with an IP address and a port from 0 to 65535",
	accepts: func(s string) bool {
		_, err := netip.ParseAddrPort(s)
		return err == nil
	},
}

var pathRule = textRule{
	allowed: "a folder path of at most 4096 bytes",
	accepts: func(s string) bool {
		return s != "" && len(s) <= maxPathBytes && !strings.ContainsRune(s, 0)
	},
}

var specRule = textRule{
	allowed: "at most 4000 bytes",
	accepts: func(s string) bool { return len(s) <= jobs.MaxSpecBytes },
}

// oneOfRule returns a rule that accepts exactly the given words.
func oneOfRule(words ...string) textRule {
	return textRule{
		allowed: strings.Join(words, ", "),
		accepts: func(s string) bool { return slices.Contains(words, s) },
	}
}

// parseMember parses the zone and the address of the process name, written as
// zone@ip:port. ok is false if the value is malformed, the zone is not a valid
// name, the port is 0 or the IP address is unspecified.
func parseMember(name, value string) (m model.Member, ok bool) {
	zone, address, ok := strings.Cut(value, "@")
	if !ok || !model.ValidName(zone) {
		return m, false
	}
	ap, err := netip.ParseAddrPort(address)
	if err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() {
		return m, false
	}
	return model.Member{Name: model.Process(name), Zone: model.Zone(zone), Address: address}, true
}
