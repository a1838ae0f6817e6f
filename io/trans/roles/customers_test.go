package roles

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"camphorridge/core/state/jobs"
	"camphorridge/core/state/sched"
	"camphorridge/io/trans/admin"
)

// TestCustomerGaugesAreBounded guards against more series than maxNamedCustomers and
// otherCustomers, against customers that are missing in the sum, and against two series of
// one label, which scrapers reject.
func TestCustomerGaugesAreBounded(t *testing.T) {
	for _, n := range []int{0, 1, maxNamedCustomers, maxNamedCustomers + 30} {
		reports := []sched.CustomerReport{}
		for k := range n {
			reports = append(reports, sched.CustomerReport{Name: jobs.CustomerName(fmt.Sprintf("c%03d", k)), WaitingTasks: 2, Held: jobs.Resources{MilliCores: 100}})
		}
		reports = append(reports, sched.CustomerReport{Name: otherCustomers, WaitingTasks: 5})
		r := metrics.NewRegistry()
		registerCustomerGauges(r, func() []sched.CustomerReport { return reports })
		var b bytes.Buffer
		assert.NilError(t, admin.Expose(&b, r, nil))
		named := min(n, maxNamedCustomers)
		assert.Equal(t, strings.Count(b.String(), "customer_waiting_tasks{"), named+1)
		assert.Equal(t, strings.Count(b.String(), `_tasks{customer="c`), named)
		for _, line := range []string{
			fmt.Sprintf(`camphorridge_customer_waiting_tasks{customer="other"} %d`, 5+2*(n-named)),
			fmt.Sprintf(`camphorridge_customer_held_milli_cores{customer="other"} %d`, 100*(n-named)),
		} {
			assert.Assert(t, strings.Contains(b.String(), line+"\n"), "%s is missing in\n%s", line, b.String())
		}
		if n > 0 {
			assert.Assert(t, strings.Contains(b.String(), `camphorridge_customer_held_milli_cores{customer="c000"} 100`), b.String())
		}
	}
}
