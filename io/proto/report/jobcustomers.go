package report

import (
	"fmt"
	"io"
	"strconv"

	"camphorridge/core/coord/runner"
	"camphorridge/core/state/jobs"
)

// JobCustomers writes the given customers of the job service. total is the number of all of
// them; customers may hold only some. unknownKeyCalls is the number of calls that were
// refused because they had no key of a customer.
func JobCustomers(w io.Writer, f Format, customers []runner.CustomerStatus, total int, unknownKeyCalls int64) error {
	return render(w, "report job customers", f, func() string {
		t := newTable("CUSTOMER", "CONFIGURED", "WEIGHT", "MILLI-CORES", "CORE-QUOTA", "MEMORY-MIB", "MEMORY-QUOTA", "ACCELERATORS", "ACCELERATOR-QUOTA", "WAITING", "REFUSED")
		for _, c := range customers {
			t.add(c.Name, c.Configured, weightText(c.WeightPermille), c.Held.MilliCores, quotaText(c.Quota.MilliCores), c.Held.MemoryMiB, quotaText(c.Quota.MemoryMiB),
				c.Held.Accelerators, quotaText(c.Quota.Accelerators), c.WaitingTasks, c.ForeignJobCalls)
		}
		return t.String() + fmt.Sprintf("%d customers shown of %d; %d calls had no key of a customer\n", len(customers), total, unknownKeyCalls)
	}, func() any {
		return object{{"total", total}, {"unknown-key-calls", unknownKeyCalls}, {"customers", mapObjects(customers, jobCustomerObject)}}
	})
}

// weightText returns a weight in thousandths as a decimal number, or nothing for no weight.
func weightText(permille int) string {
	if permille == 0 {
		return ""
	}
	return strconv.FormatFloat(float64(permille)/1000, 'f', -1, 64)
}

// quotaText returns the limit of one resource, or nothing for no limit.
func quotaText(limit int) string {
	if limit == 0 {
		return ""
	}
	return strconv.Itoa(limit)
}

func jobCustomerObject(c runner.CustomerStatus) object {
	return object{
		{"customer", c.Name},
		{"configured", c.Configured},
		{"weight-permille", c.WeightPermille},
		{"quota", resourcesObject(c.Quota)},
		{"held", resourcesObject(c.Held)},
		{"waiting-tasks", c.WaitingTasks},
		{"foreign-job-calls", c.ForeignJobCalls},
	}
}

func resourcesObject(r jobs.Resources) object {
	return object{{"milli-cores", r.MilliCores}, {"memory-mib", r.MemoryMiB}, {"accelerators", r.Accelerators}}
}
