package trail

import (
	"cmp"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

const (
	// MaxEvents bounds the events of an explanation; the newest are kept.
	MaxEvents = 200
	// ReportTimeout is the time without a report after which a process is taken
	// for silent; processes report once in a second.
	ReportTimeout = 3 * clock.Second
)

// Subject is the kind of object that is explained.
type Subject string

// The subjects.
const (
	SubjectCustomer Subject = "customer"
	SubjectInstance Subject = "instance"
	SubjectRequest  Subject = "request"
)

// Process is what the control group knows of an entry process.
type Process struct {
	Name    model.Process
	Zone    model.Zone
	Version model.Version
	// DrainedVersion is the version up to which the process has carried out every
	// release.
	DrainedVersion model.Version
	// LastReport is the time of its last report; 0 for never.
	LastReport clock.Millis
}

// CurrentState is the present state that explanations refer to.
type CurrentState struct {
	Now         clock.Millis
	Contracts   map[model.Customer]model.Contract
	Instances   map[model.InstanceID]model.Instance
	Maintenance map[string]model.Maintenance
	// Processes lists the configured entry processes, those that never
	// reported included.
	Processes []Process
}

// Explanation says what happened to a subject, what bound it and what would
// unblock it.
type Explanation struct {
	Subject Subject
	Name    string
	Now     clock.Millis
	// Found is false when neither the objects nor the events mention the
	// subject.
	Found bool
	// Contract and Pools are set for a customer, Instance for an instance.
	Contract model.Contract
	Pools    []PoolState
	Instance model.Instance
	// Events lists the events of the subject itself, oldest first; Omitted
	// counts the older ones left out.
	Events        []model.Event
	OmittedEvents int
	// RelatedEvents lists the events of the same instances around a request.
	RelatedEvents []model.Event
	// LimitHits lists the limits that bound, the most recent first.
	LimitHits []LimitHit
	// Obstacles lists what stands in the way now.
	Obstacles []Obstacle
}

// PoolState compares what a contract promises in a pool with what is there.
type PoolState struct {
	Pool model.Pool
	// Spare says that the instances are reserved and not promised for work.
	Spare       bool
	Promised    int
	Serving     int
	Releasing   int
	Maintenance int
}

// LimitHit sums up the events in which one limit bound.
type LimitHit struct {
	Limit string
	Kind  model.EventKind
	Count int
	First model.Stamp
	Last  model.Stamp
	// Detail is that of the last event.
	Detail string
	Advice Advice
}

// ObstacleKind tells the obstacles apart.
type ObstacleKind string

// The kinds of obstacle.
const (
	// ObstacleReleaseUnconfirmed: an entry process has not confirmed a release.
	ObstacleReleaseUnconfirmed ObstacleKind = "release-not-confirmed"
	// ObstacleNotReturned: the instance has not come back from the platform.
	ObstacleNotReturned ObstacleKind = "not-returned"
	// ObstacleDisruptionLimit: a customer's limit of unavailable instances is reached.
	ObstacleDisruptionLimit ObstacleKind = "disruption-limit"
	// ObstacleMaintenanceDue: declared maintenance has not reached the instance.
	ObstacleMaintenanceDue ObstacleKind = "maintenance-due"
	// ObstacleNotAnnounced: the instance was last reported as gone.
	ObstacleNotAnnounced ObstacleKind = "not-announced"
	// ObstacleEjected: the instance was last ejected for failures.
	ObstacleEjected ObstacleKind = "ejected"
	// ObstacleCapacityMissing: fewer instances serve than are promised.
	ObstacleCapacityMissing ObstacleKind = "capacity-missing"
	// ObstacleNoContract: there is no contract.
	ObstacleNoContract ObstacleKind = "no-contract"
)

// Obstacle is one obstacle. Empty fields do not apply.
type Obstacle struct {
	Kind        ObstacleKind
	Instance    model.InstanceID
	Pool        model.Pool
	Process     model.Process
	Customer    model.Customer
	Maintenance string
	// Limit names the limit that binds, with its value.
	Limit string
	Value int64
	// Missing is the number of instances that are lacking.
	Missing  int
	Since    clock.Millis
	Deadline clock.Millis
	Advice   Advice
}

// collect adds the events that match to the explanation, and the limits that
// bound in them.
func (x *Explanation) collect(events []model.Event, match func(model.Event) bool) {
	type key struct {
		limit string
		kind  model.EventKind
	}
	at := map[key]int{}
	for _, e := range events {
		if !match(e) {
			continue
		}
		x.Events = append(x.Events, e)
		if e.Limit == "" {
			continue
		}
		k := key{e.Limit, e.Kind}
		i, ok := at[k]
		if !ok {
			i = len(x.LimitHits)
			at[k] = i
			x.LimitHits = append(x.LimitHits, LimitHit{Limit: e.Limit, Kind: e.Kind, First: e.Stamp, Advice: adviceFor(e.Limit)})
		}
		b := &x.LimitHits[i]
		b.Count, b.Last, b.Detail = b.Count+1, e.Stamp, e.Detail
	}
	x.Found = x.Found || len(x.Events) > 0
	if over := len(x.Events) - MaxEvents; over > 0 {
		x.OmittedEvents = over
		x.Events = slices.Clone(x.Events[over:])
	}
	slices.SortStableFunc(x.LimitHits, func(a, b LimitHit) int {
		return cmp.Or(cmp.Compare(b.Last.Wall, a.Last.Wall), cmp.Compare(b.Last.Count, a.Last.Count))
	})
}

// sorted returns the values of a map in the order of their keys.
func sorted[K cmp.Ordered, V any](m map[K]V) []V {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	out := make([]V, 0, len(m))
	for _, k := range keys {
		out = append(out, m[k])
	}
	return out
}
