package roles

import (
	"github.com/rcrowley/go-metrics"

	"camphorridge/io/trans/admin"
)

// counter is a metric whose value a component keeps itself.
type counter struct {
	name  string
	value func() int64
}

// registerCounters registers counters. It panics if a name is registered already:
// the names are constants of this package, so that is a programming error, which
// any test that starts the role shows.
func registerCounters(r metrics.Registry, all []counter) {
	for _, c := range all {
		if err := admin.RegisterCounter(r, c.name, c.value); err != nil {
			panic(err)
		}
	}
}
