package conf

import (
	"net/netip"
	"slices"
	"strings"

	"camphorridge/core/state/jobs"
	"camphorridge/core/state/model"
)

// maxPath is the largest length of a path that the platform accepts.
const maxPath = 4096

var nameRule = rule{
	allowed: "1 to 64 letters, digits, '-' and '_', starting with a letter or digit",
	accepts: model.ValidName,
}

var listenRule = rule{
	allowed: "ip:port with an IP number and a port from 0 to 65535",
	accepts: func(s string) bool {
		_, err := netip.ParseAddrPort(s)
		return err == nil
	},
}

var pathRule = rule{
	allowed: "a folder of at most 4096 bytes",
	accepts: func(s string) bool {
		return s != "" && len(s) <= maxPath && !strings.ContainsRune(s, 0)
	},
}

var specRule = rule{
	allowed: "at most 4000 bytes",
	accepts: func(s string) bool { return len(s) <= jobs.MaxSpecBytes },
}

// wordRule accepts one of the words.
func wordRule(words ...string) rule {
	return rule{
		allowed: strings.Join(words, ", "),
		accepts: func(s string) bool { return slices.Contains(words, s) },
	}
}

// parseMember parses zone@ip:port.
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
