package roles

import (
	"github.com/rcrowley/go-metrics"

	"camphorridge/io/trans/admin"
)

// counter is a counter metric. value returns its current value.
type counter struct {
	name  string
	value func() int64
}

// registerCounters registers counters. It panics if a name is registered already.
// That is a programming error, because the names are fixed; any test that starts the
// role finds it.
func registerCounters(r metrics.Registry, all []counter) {
	for _, c := range all {
		if err := admin.RegisterCounter(r, c.name, c.value); err != nil {
			panic(err)
		}
	}
}
