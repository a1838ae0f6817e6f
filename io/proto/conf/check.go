package conf

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// maxControls is the largest control group: at most 7 instances are reserved
// for control.
const maxControls = 7

// join lists the distinct texts in their order.
func join(list []string) string {
	var out []string
	for _, s := range list {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return strings.Join(out, ", ")
}

func checkEntry(d *decoder[Entry]) {
	e := &d.value
	d.checkMembers(e.Controls, e.Entries)
	d.checkSelf("entry", e.Entries, e.Name, e.Zone)
	if len(e.Controls) == 0 && d.sound("control/") {
		d.add("control", "member-"+family, "", "no control member", fmt.Sprintf("1 to %d members", maxControls))
	}
	d.checkListen(e.Listen)
	if n := e.Lending.LeaseMillis; n > 0 && n < shortestLoan && d.sound("lending/lease-ms") {
		d.add("lending", "lease-ms", fmt.Sprint(n), "too short to be renewed in time", fmt.Sprintf("0, or at least %d", shortestLoan))
	}
	l := e.Limits
	d.atMost("limits", "default-timeout-ms", l.DefaultTimeoutMillis, "max-timeout-ms", l.MaxTimeoutMillis)
	d.atMost("limits", "body-read-ms", l.BodyReadMillis, "max-timeout-ms", l.MaxTimeoutMillis)
	if l.DrainMillis < l.MaxTimeoutMillis && d.sound("limits/drain-ms", "limits/max-timeout-ms") {
		d.add("limits", "drain-ms", fmt.Sprint(l.DrainMillis), "a graceful stop would interrupt requests",
			fmt.Sprintf("at least max-timeout-ms, %d", l.MaxTimeoutMillis))
	}
}

// shortestLoan leaves time for a renewal that is repeated once.
const shortestLoan clock.Millis = 200

func checkControl(d *decoder[Control]) {
	c := &d.value
	d.checkMembers(c.Controls, c.Entries)
	d.checkSelf("control", c.Controls, c.Name, c.Zone)
	d.checkListen(c.Listen)
	if most := c.Consensus.ElectionMillis / 3; c.Consensus.HeartbeatMillis > most && d.sound("consensus/") {
		d.add("consensus", "heartbeat-ms", fmt.Sprint(c.Consensus.HeartbeatMillis), "above a third of election-ms",
			fmt.Sprintf("at most %d with election-ms = %d", most, c.Consensus.ElectionMillis))
	}
	m := c.Maintenance
	d.atMost("maintenance", "step-ms", m.MaintenanceMillis, "stuck-ms", m.StuckMillis)
	if m.PeriodDays > 0 && m.MarginDays >= m.PeriodDays && d.sound("maintenance/") {
		d.add("maintenance", "margin-days", fmt.Sprint(m.MarginDays), "not below period-days",
			fmt.Sprintf("at most %d with period-days = %d", m.PeriodDays-1, m.PeriodDays))
	}
}

func (d *decoder[T]) atMost(section, key string, value clock.Millis, other string, bound clock.Millis) {
	if value > bound && d.sound(section+"/"+key, section+"/"+other) {
		d.add(section, key, fmt.Sprint(value), "above "+other, fmt.Sprintf("at most %d", bound))
	}
}

// checkMembers sorts the lists and checks that names and addresses are
// unique over both.
func (d *decoder[T]) checkMembers(controls, entries []model.Member) {
	names, addresses := map[model.Process]string{}, map[string]string{}
	for _, list := range []struct {
		section string
		members []model.Member
		most    int
	}{{"control", controls, maxControls}, {"entry", entries, maxMembers}} {
		slices.SortFunc(list.members, func(a, b model.Member) int { return cmp.Compare(a.Name, b.Name) })
		if n := len(list.members); n > list.most {
			d.add(list.section, "", "", fmt.Sprintf("%d members", n), fmt.Sprintf("at most %d members", list.most))
		}
		for _, m := range list.members {
			key, value := "member-"+string(m.Name), string(m.Zone)+"@"+m.Address
			if other, ok := names[m.Name]; ok {
				d.add(list.section, key, value, "name also used in ["+other+"]", "each name once")
			}
			if other, ok := addresses[m.Address]; ok {
				d.add(list.section, key, value, "address also used by "+other, "each address once")
			}
			names[m.Name], addresses[m.Address] = list.section, key
		}
	}
}

// checkSelf checks that the process is in the list of its role, in the same
// zone. The listed address may differ from the one listened on: it is the
// one that other processes use.
func (d *decoder[T]) checkSelf(section string, members []model.Member, name model.Process, zone model.Zone) {
	if !d.sound("process/", section+"/") {
		return
	}
	i := slices.IndexFunc(members, func(m model.Member) bool { return m.Name == name })
	switch {
	case i < 0:
		d.add("process", "name", string(name), "not a member of ["+section+"]",
			fmt.Sprintf("a name with a key member-NAME in [%s]", section))
	case members[i].Zone != zone:
		d.add("process", "zone", string(zone), "differs from the zone in ["+section+"]",
			fmt.Sprintf("%s, as in member-%s", members[i].Zone, name))
	}
}

// checkListen checks that no fixed address is listened on twice.
func (d *decoder[T]) checkListen(l Listen) {
	seen := map[string]string{}
	for _, a := range [][2]string{{"callers", l.Callers}, {"upstreams", l.Upstreams}, {"peers", l.Peers}, {"admin", l.Admin}} {
		key, address := a[0], a[1]
		if address == "" || strings.HasSuffix(address, ":0") {
			continue
		}
		if other, ok := seen[address]; ok {
			d.add("listen", key, address, "address also used by "+other, "each address once")
		}
		seen[address] = key
	}
}

func checkContract(d *decoder[model.Contract]) {
	c := &d.value
	slices.SortFunc(c.Pools, func(a, b model.PoolShare) int { return cmp.Compare(a.Pool, b.Pool) })
	instances := 0
	for _, p := range c.Pools {
		instances += p.Instances
		if c.SparePool == p.Pool {
			d.add("spare", "pool", string(c.SparePool), "also a promised pool", "a pool without a section [pool NAME]")
		}
	}
	if len(c.Pools) == 0 && d.sound("pool ") {
		d.add("pool "+family, "", "", "no pool", "at least one section [pool NAME]")
	}
	checkDisruption(d, c, instances)
	if (c.Spare == 0) != (c.SparePool == "") && d.sound("spare/") {
		d.add("spare", "instances", fmt.Sprint(c.Spare), fmt.Sprintf("inconsistent with pool = %q", c.SparePool),
			"both instances and pool, or neither")
	}
	q := c.Quota
	if ((q.MilliCores == 0) != (q.MemoryMiB == 0) || q.Accelerators > 0 && q.MilliCores == 0) && d.sound("quota/") {
		d.add("quota", "milli-cores", fmt.Sprint(q.MilliCores), fmt.Sprintf("inconsistent with memory-mib = %d and accelerators = %d", q.MemoryMiB, q.Accelerators),
			"milli-cores and memory-mib both 0 or both above 0, and above 0 with accelerators")
	}
}

func checkDisruption(d *decoder[model.Contract], c *model.Contract, instances int) {
	if c.MaxUnavailable >= instances && d.sound("pool ", "disruption/max-unavailable") {
		d.add("disruption", "max-unavailable", fmt.Sprint(c.MaxUnavailable), "not below the promised instances",
			fmt.Sprintf("0 to %d", instances-1))
	}
	if most := c.WindowMillis * clock.Millis(instances); c.BudgetMillis > most && d.sound("pool ", "disruption/budget-ms", "disruption/window-ms") {
		d.add("disruption", "budget-ms", fmt.Sprint(c.BudgetMillis), "above window-ms times the promised instances",
			fmt.Sprintf("at most %d", most))
	}
	if (c.MaxUnavailable == 0) != (c.BudgetMillis == 0) && d.sound("disruption/") {
		d.add("disruption", "budget-ms", fmt.Sprint(c.BudgetMillis), fmt.Sprintf("inconsistent with max-unavailable = %d", c.MaxUnavailable),
			"both 0 or both above 0")
	}
}
