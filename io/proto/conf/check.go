package conf

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// maxControlMembers is the largest number of members of the control group: at most 7
// hosts are reserved for control processes.
const maxControlMembers = 7

// joinDistinct joins the texts with commas, in their order and without repetitions.
func joinDistinct(list []string) string {
	var out []string
	for _, s := range list {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return strings.Join(out, ", ")
}

// checkEntry checks the settings of an entry process across keys.
func checkEntry(d *decoder[Entry]) {
	e := &d.value
	d.checkMembers(e.Controls, e.Entries)
	d.checkOwnMember("entry", e.Entries, e.Name, e.Zone)
	if len(e.Controls) == 0 && d.noProblemIn("control/") {
		d.addProblem("control", "member-"+namePlaceholder, "", "no control member", fmt.Sprintf("1 to %d members", maxControlMembers))
	}
	d.checkListen(e.Listen)
	if n := e.Lending.LeaseMillis; n > 0 && n < minLendingLeaseMillis && d.noProblemIn("lending/lease-ms") {
		d.addProblem("lending", "lease-ms", fmt.Sprint(n), "too short to be renewed in time", fmt.Sprintf("0, or at least %d", minLendingLeaseMillis))
	}
	l := e.Limits
	d.checkAtMost("limits", "default-timeout-ms", l.DefaultTimeoutMillis, "max-timeout-ms", l.MaxTimeoutMillis)
	d.checkAtMost("limits", "body-read-ms", l.BodyReadMillis, "max-timeout-ms", l.MaxTimeoutMillis)
	if l.DrainMillis < l.MaxTimeoutMillis && d.noProblemIn("limits/drain-ms", "limits/max-timeout-ms") {
		d.addProblem("limits", "drain-ms", fmt.Sprint(l.DrainMillis), "a graceful stop would interrupt requests",
			fmt.Sprintf("at least max-timeout-ms, %d", l.MaxTimeoutMillis))
	}
}

// minLendingLeaseMillis is the shortest lease of lent slots. It leaves time to
// repeat the renewal once before the lease expires.
const minLendingLeaseMillis clock.Millis = 200

// checkControl checks the settings of a control process across keys.
func checkControl(d *decoder[Control]) {
	c := &d.value
	d.checkMembers(c.Controls, c.Entries)
	d.checkOwnMember("control", c.Controls, c.Name, c.Zone)
	d.checkListen(c.Listen)
	if maxHeartbeat := c.Consensus.ElectionMillis / 3; c.Consensus.HeartbeatMillis > maxHeartbeat && d.noProblemIn("consensus/") {
		d.addProblem("consensus", "heartbeat-ms", fmt.Sprint(c.Consensus.HeartbeatMillis), "above a third of election-ms",
			fmt.Sprintf("at most %d with election-ms = %d", maxHeartbeat, c.Consensus.ElectionMillis))
	}
	m := c.Maintenance
	d.checkAtMost("maintenance", "step-ms", m.MaintenanceMillis, "stuck-ms", m.StuckMillis)
	if m.PeriodDays > 0 && m.MarginDays >= m.PeriodDays && d.noProblemIn("maintenance/") {
		d.addProblem("maintenance", "margin-days", fmt.Sprint(m.MarginDays), "not below period-days",
			fmt.Sprintf("at most %d with period-days = %d", m.PeriodDays-1, m.PeriodDays))
	}
}

// checkAtMost adds a problem if value is above limit. They are the values of key and
// of limitKey, both in the given section.
func (d *decoder[T]) checkAtMost(section, key string, value clock.Millis, limitKey string, limit clock.Millis) {
	if value > limit && d.noProblemIn(section+"/"+key, section+"/"+limitKey) {
		d.addProblem(section, key, fmt.Sprint(value), "above "+limitKey, fmt.Sprintf("at most %d", limit))
	}
}

// checkMembers sorts both lists by name. It checks their lengths, and that no name
// and no address occurs twice in the two lists together.
func (d *decoder[T]) checkMembers(controls, entries []model.Member) {
	names, addresses := map[model.Process]string{}, map[string]string{}
	for _, list := range []struct {
		section    string
		members    []model.Member
		maxMembers int
	}{{"control", controls, maxControlMembers}, {"entry", entries, maxEntryMembers}} {
		slices.SortFunc(list.members, func(a, b model.Member) int { return cmp.Compare(a.Name, b.Name) })
		if n := len(list.members); n > list.maxMembers {
			d.addProblem(list.section, "", "", fmt.Sprintf("%d members", n), fmt.Sprintf("at most %d members", list.maxMembers))
		}
		for _, m := range list.members {
			key, value := "member-"+string(m.Name), string(m.Zone)+"@"+m.Address
			if other, ok := names[m.Name]; ok {
				d.addProblem(list.section, key, value, "name also used in ["+other+"]", "each name once")
			}
			if other, ok := addresses[m.Address]; ok {
				d.addProblem(list.section, key, value, "address also used by "+other, "each address once")
			}
			names[m.Name], addresses[m.Address] = list.section, key
		}
	}
}

// checkOwnMember checks that the process itself is in the list of its role, with
// the same zone. It does not check the address: other processes connect to the one in
// the list, which may differ from the one that the process listens on.
func (d *decoder[T]) checkOwnMember(section string, members []model.Member, name model.Process, zone model.Zone) {
	if !d.noProblemIn("process/", section+"/") {
		return
	}
	i := slices.IndexFunc(members, func(m model.Member) bool { return m.Name == name })
	switch {
	case i < 0:
		d.addProblem("process", "name", string(name), "not a member of ["+section+"]",
			fmt.Sprintf("a name with a key member-NAME in [%s]", section))
	case members[i].Zone != zone:
		d.addProblem("process", "zone", string(zone), "differs from the zone in ["+section+"]",
			fmt.Sprintf("%s, as in member-%s", members[i].Zone, name))
	}
}

// checkListen checks that no two listeners have the same address. Addresses with port
// 0 are exempt, because the operating system picks a free port for each.
func (d *decoder[T]) checkListen(l Listen) {
	keyByAddress := map[string]string{}
	for _, a := range [][2]string{{"callers", l.Callers}, {"upstreams", l.Upstreams}, {"peers", l.Peers}, {"admin", l.Admin}} {
		key, address := a[0], a[1]
		if address == "" || strings.HasSuffix(address, ":0") {
			continue
		}
		if other, ok := keyByAddress[address]; ok {
			d.addProblem("listen", key, address, "address also used by "+other, "each address once")
		}
		keyByAddress[address] = key
	}
}

// checkContract checks a contract across keys and sorts its pools by name.
func checkContract(d *decoder[model.Contract]) {
	c := &d.value
	slices.SortFunc(c.Pools, func(a, b model.PoolShare) int { return cmp.Compare(a.Pool, b.Pool) })
	instances := 0
	for _, p := range c.Pools {
		instances += p.Instances
		if c.SparePool == p.Pool {
			d.addProblem("spare", "pool", string(c.SparePool), "the spare pool is also a promised pool", "a pool without a section [pool NAME]")
		}
	}
	if len(c.Pools) == 0 && d.noProblemIn("pool ") {
		d.addProblem("pool "+namePlaceholder, "", "", "no pool", "at least one section [pool NAME]")
	}
	checkDisruption(d, c, instances)
	if (c.Spare == 0) != (c.SparePool == "") && d.noProblemIn("spare/") {
		d.addProblem("spare", "instances", fmt.Sprint(c.Spare), fmt.Sprintf("inconsistent with pool = %q", c.SparePool),
			"both instances and pool, or neither")
	}
	q := c.Quota
	if ((q.MilliCores == 0) != (q.MemoryMiB == 0) || q.Accelerators > 0 && q.MilliCores == 0) && d.noProblemIn("quota/") {
		d.addProblem("quota", "milli-cores", fmt.Sprint(q.MilliCores), fmt.Sprintf("inconsistent with memory-mib = %d and accelerators = %d", q.MemoryMiB, q.Accelerators),
			"milli-cores and memory-mib both 0 or both above 0; both above 0 if accelerators is above 0")
	}
}

// checkDisruption checks the disruption limits of a contract. instances is the
// sum of the promised instances over all pools.
func checkDisruption(d *decoder[model.Contract], c *model.Contract, instances int) {
	if c.MaxUnavailable >= instances && d.noProblemIn("pool ", "disruption/max-unavailable") {
		d.addProblem("disruption", "max-unavailable", fmt.Sprint(c.MaxUnavailable), "not below the number of promised instances",
			fmt.Sprintf("0 to %d", instances-1))
	}
	if maxBudget := c.WindowMillis * clock.Millis(instances); c.BudgetMillis > maxBudget && d.noProblemIn("pool ", "disruption/budget-ms", "disruption/window-ms") {
		d.addProblem("disruption", "budget-ms", fmt.Sprint(c.BudgetMillis), "above window-ms times the number of promised instances",
			fmt.Sprintf("at most %d", maxBudget))
	}
	if (c.MaxUnavailable == 0) != (c.BudgetMillis == 0) && d.noProblemIn("disruption/") {
		d.addProblem("disruption", "budget-ms", fmt.Sprint(c.BudgetMillis), fmt.Sprintf("inconsistent with max-unavailable = %d", c.MaxUnavailable),
			"both 0 or both above 0")
	}
}
