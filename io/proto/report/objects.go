package report

import (
	"camphorridge/core/state/model"
)

func contractObject(c model.Contract) object {
	return object{
		{"customer", c.Customer},
		{"version", c.Version},
		{"covers", c.Covers.String()},
		{"concurrency", c.Concurrency},
		{"queue", c.Queue},
		{"retry-percent", c.RetryPercent},
		{"pools", mapObjects(c.Pools, func(p model.PoolShare) object {
			return object{{"pool", p.Pool}, {"instances", p.Instances}}
		})},
		{"disruption", object{
			{"max-unavailable", c.MaxUnavailable},
			{"budget-ms", c.BudgetMillis},
			{"window-ms", c.WindowMillis},
		}},
		{"spare", object{{"instances", c.Spare}, {"pool", c.SparePool}}},
		{"quota", object{
			{"milli-cores", c.Quota.MilliCores},
			{"memory-mib", c.Quota.MemoryMiB},
			{"accelerators", c.Quota.Accelerators},
		}},
	}
}

func instanceObject(i model.Instance) object {
	return object{
		{"instance", i.ID},
		{"zone", i.Zone},
		{"rack", i.Rack},
		{"pool", i.Pool},
		{"target", i.Target},
		{"phase", i.Phase.String()},
		{"slots", i.Slots},
		{"connections", i.Connections},
		{"reason", i.Reason},
		{"maintained-ms", i.MaintainedAt},
		{"since-ms", i.PhaseSince},
		{"version", i.Version},
	}
}

func maintenanceObject(m model.Maintenance, p progress) object {
	return object{
		{"name", m.Name},
		{"selector", object{
			{"pool", m.Selector.Pool},
			{"zone", m.Selector.Zone},
			{"rack", m.Selector.Rack},
			{"instance", m.Selector.Instance},
		}},
		{"declared-ms", m.DeclaredAt},
		{"deadline-ms", m.Deadline},
		{"selected", p.selected},
		{"maintained", p.maintained},
		{"under-way", p.underWay},
		{"overdue", p.overdue},
		{"version", m.Version},
	}
}

func processObject(p ProcessStatus, s Status) object {
	return object{
		{"process", p.Name},
		{"zone", p.Zone},
		{"version", p.Version},
		{"behind", logEntriesBehind(s, p)},
		{"drained", p.DrainedVersion},
		{"since-ms", p.VersionSince},
		{"seen-ms", p.LastReportAt},
		{"silent", isSilent(s, p)},
		{"incarnation", p.Incarnation},
	}
}

func statusObject(s Status) object {
	return object{
		{"member", s.Member},
		{"leader", s.Leader},
		{"role", s.Role},
		{"term", s.Term},
		{"commit", s.Commit},
		{"version", s.Version},
		{"now-ms", s.Now},
		{"contracts", len(s.Contracts)},
		{"instances", len(s.Instances)},
		{"maintenance", len(s.Maintenance)},
		{"processes", mapObjects(s.Processes, func(p ProcessStatus) object { return processObject(p, s) })},
	}
}
