package report

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"camphorridge/core/state/model"
	"camphorridge/core/state/trail"
)

// sortedBy returns a copy of in, sorted by key, so that equal states give equal
// reports.
func sortedBy[T any, K cmp.Ordered](in []T, key func(T) K) []T {
	out := slices.Clone(in)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return out
}

// sortedContracts returns the contracts sorted by customer.
func sortedContracts(s Status) []model.Contract {
	return sortedBy(s.Contracts, func(c model.Contract) model.Customer { return c.Customer })
}

// valueOrDerived returns the text of a limit in a contract. For 0 it is "derived",
// because the system then computes the limit.
func valueOrDerived(n int) string {
	if n == 0 {
		return "derived"
	}
	return fmt.Sprint(n)
}

// Contracts writes the list of contracts.
func Contracts(w io.Writer, f Format, s Status) error {
	return render(w, "report contracts", f, func() string {
		t := newTable("CUSTOMER", "VERSION", "COVERS", "POOLS", "INSTANCES", "CONCURRENCY", "QUEUE", "MAX-UNAVAILABLE", "BUDGET", "WINDOW", "SPARE")
		for _, c := range sortedContracts(s) {
			instances := 0
			for _, p := range c.Pools {
				instances += p.Instances
			}
			t.add(c.Customer, c.Version, c.Covers, len(c.Pools), instances, valueOrDerived(c.Concurrency), c.Queue,
				c.MaxUnavailable, durationText(c.BudgetMillis), durationText(c.WindowMillis), c.Spare)
		}
		return t.String()
	}, func() any { return object{{"contracts", mapObjects(sortedContracts(s), contractObject)}} })
}

// Contract writes the contract of the named customer, with the limits that follow
// from it. As text, it also writes the number of serving instances of each pool. It
// returns an *Error of KindNotFound if the customer has no contract.
func Contract(w io.Writer, f Format, s Status, name model.Customer) error {
	i := slices.IndexFunc(s.Contracts, func(c model.Contract) bool { return c.Customer == name })
	if i < 0 {
		return &Error{Op: "report contract", Kind: KindNotFound, Err: fmt.Errorf("customer %s has no contract", name)}
	}
	c := s.Contracts[i]
	return render(w, "report contract", f, func() string { return contractText(c, s.Instances) },
		func() any {
			return append(contractObject(c), object{{"limits", mapObjects(deriveLimits(c, s.Instances).All(), limitObject)}}...)
		})
}

func contractText(c model.Contract, instances []model.Instance) string {
	t := newTable("SETTING", "VALUE")
	t.add("customer", c.Customer)
	t.add("version", c.Version)
	t.add("covers", c.Covers)
	t.add("concurrency", valueOrDerived(c.Concurrency))
	t.add("queue", c.Queue)
	t.add("retry-percent", c.RetryPercent)
	t.add("max-unavailable", c.MaxUnavailable)
	t.add("budget", durationText(c.BudgetMillis))
	t.add("window", durationText(c.WindowMillis))
	t.add("spare instances", c.Spare)
	t.add("spare pool", c.SparePool)
	t.add("quota milli-cores", c.Quota.MilliCores)
	t.add("quota memory-mib", c.Quota.MemoryMiB)
	t.add("quota accelerators", c.Quota.Accelerators)
	p := newTable("POOL", "PROMISED", "SERVING")
	for _, share := range c.Pools {
		serving := 0
		for _, i := range instances {
			if i.Pool == share.Pool && i.Phase == model.PhaseServing {
				serving++
			}
		}
		p.add(share.Pool, share.Instances, serving)
	}
	return t.String() + "\n" + p.String() + "\n" + limitsTable(deriveLimits(c, instances)).String()
}

// Instances writes the instances that match the selector, sorted by id.
func Instances(w io.Writer, f Format, s Status, sel model.Selector) error {
	var selected []model.Instance
	for _, i := range sortedBy(s.Instances, func(i model.Instance) model.InstanceID { return i.ID }) {
		if sel.Matches(i) {
			selected = append(selected, i)
		}
	}
	return render(w, "report instances", f, func() string {
		t := newTable("INSTANCE", "ZONE", "RACK", "POOL", "TARGET", "PHASE", "SINCE", "MAINTAINED", "SLOTS", "VERSION", "REASON")
		for _, i := range selected {
			t.add(i.ID, i.Zone, i.Rack, i.Pool, i.Target, i.Phase, timeText(i.PhaseSince), timeText(i.MaintainedAt), i.Slots, i.Version, i.Reason)
		}
		return t.String()
	}, func() any { return object{{"instances", mapObjects(selected, instanceObject)}} })
}

// progress counts the instances of a declared maintenance.
type progress struct {
	selected, maintained, underWay int
	// overdue is set if the deadline has passed and not all selected instances are
	// maintained.
	overdue bool
}

// progressOf returns the progress of a declared maintenance. Retired instances
// are not counted.
func progressOf(m model.Maintenance, s Status) progress {
	var p progress
	for _, i := range s.Instances {
		if i.Phase == model.PhaseRetired || !m.Selector.Matches(i) {
			continue
		}
		p.selected++
		switch {
		case i.MaintainedAt >= m.DeclaredAt:
			p.maintained++
		case i.Phase == model.PhaseMaintenance || i.Phase == model.PhaseReleasing && i.Target == i.Pool:
			p.underWay++
		}
	}
	p.overdue = s.Now > m.Deadline && p.maintained < p.selected
	return p
}

// selectorText returns the selector as name=value pairs, or "all" if it selects
// every instance.
func selectorText(sel model.Selector) string {
	var parts []string
	for _, p := range [][2]string{
		{"pool", string(sel.Pool)}, {"zone", string(sel.Zone)}, {"rack", string(sel.Rack)}, {"instance", string(sel.Instance)},
	} {
		if p[1] != "" {
			parts = append(parts, p[0]+"="+p[1])
		}
	}
	if len(parts) == 0 {
		return "all"
	}
	return strings.Join(parts, ",")
}

// Maintenance writes the declared maintenance and the progress of each, sorted by
// name.
func Maintenance(w io.Writer, f Format, s Status) error {
	declared := sortedBy(s.Maintenance, func(m model.Maintenance) string { return m.Name })
	return render(w, "report maintenance", f, func() string {
		t := newTable("NAME", "SELECTOR", "DECLARED", "DEADLINE", "OVERDUE", "SELECTED", "MAINTAINED", "UNDER-WAY", "VERSION")
		for _, m := range declared {
			p := progressOf(m, s)
			t.add(m.Name, selectorText(m.Selector), timeText(m.DeclaredAt), timeText(m.Deadline), yesNo(p.overdue), p.selected, p.maintained, p.underWay, m.Version)
		}
		return t.String()
	}, func() any {
		return object{{"maintenance", mapObjects(declared, func(m model.Maintenance) object {
			return maintenanceObject(m, progressOf(m, s))
		})}}
	})
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// logEntriesBehind returns by how many log entries the table of the process is
// behind the current one. A version is the index of a log entry.
func logEntriesBehind(s Status, p ProcessStatus) model.Version {
	return s.Version - min(p.Version, s.Version)
}

// isSilent reports whether the process has never sent a report, or has sent none
// for longer than trail.SilentAfter.
func isSilent(s Status, p ProcessStatus) bool {
	return p.LastReportAt == 0 || s.Now-p.LastReportAt > trail.SilentAfter
}

// WriteStatus writes the status of the control member that answered. For each entry
// process it writes the version of the table that the process uses, since when, and
// the age of its last report.
func WriteStatus(w io.Writer, f Format, s Status) error {
	s.Processes = sortedBy(s.Processes, func(p ProcessStatus) model.Process { return p.Name })
	return render(w, "report status", f, func() string {
		member := newTable("MEMBER", "ROLE", "LEADER", "TERM", "COMMIT", "VERSION", "TIME", "CONTRACTS", "INSTANCES", "MAINTENANCE")
		member.add(s.Member, s.Role, s.Leader, s.Term, s.Commit, s.Version, timeText(s.Now), len(s.Contracts), len(s.Instances), len(s.Maintenance))
		processes := newTable("PROCESS", "ZONE", "VERSION", "BEHIND", "DRAINED", "SINCE", "SEEN-AGO", "SILENT", "INCARNATION")
		upToDate := 0
		for _, p := range s.Processes {
			if p.Version == s.Version && !isSilent(s, p) {
				upToDate++
			}
			processes.add(p.Name, p.Zone, p.Version, logEntriesBehind(s, p), p.DrainedVersion, timeText(p.VersionSince), ageText(s.Now, p.LastReportAt), yesNo(isSilent(s, p)), p.Incarnation)
		}
		return fmt.Sprintf("%s\n%s\n%d of %d entry processes report in time and use version %d\n", member, processes, upToDate, len(s.Processes), s.Version)
	}, func() any { return statusObject(s) })
}
