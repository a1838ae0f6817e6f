package trail

import (
	"cmp"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

const (
	// MaxEvents is the maximum number of events in each event list of an
	// explanation; the newest are kept.
	MaxEvents = 200
	// SilentAfter is the time without a report after which a process counts as
	// silent. Processes report once per second.
	SilentAfter = 3 * clock.Second
)

// Subject is the type of object that an explanation is about.
type Subject string

// The subjects of explanations.
const (
	SubjectCustomer Subject = "customer"
	SubjectInstance Subject = "instance"
	SubjectRequest  Subject = "request"
)

// ProcessState is the state of an entry process as known to the control group.
type ProcessState struct {
	Name    model.Process
	Zone    model.Zone
	Version model.Version
	// DrainedVersion is the table version up to which the process has confirmed all
	// releases of instances.
	DrainedVersion model.Version
	// LastReport is the time of the last report of the process; 0 means never.
	LastReport clock.Millis
}

// CurrentState is the current state of the fleet that explanations refer to.
type CurrentState struct {
	Now         clock.Millis
	Contracts   map[model.Customer]model.Contract
	Instances   map[model.InstanceID]model.Instance
	Maintenance map[string]model.Maintenance
	// Processes lists all configured entry processes, including those that have
	// never reported.
	Processes []ProcessState
}

// Explanation describes what happened to a subject, which limits were reached,
// which obstacles exist now and how to remove them.
type Explanation struct {
	Subject Subject
	Name    string
	Now     clock.Millis
	// Found is false if neither the current state nor the events mention the
	// subject.
	Found bool
	// Contract and Pools are set for a customer, and Instance for an instance.
	Contract model.Contract
	Pools    []PoolState
	Instance model.Instance
	// Events lists the events of the subject itself, oldest first.
	// OmittedEvents is the number of older events left out.
	Events        []model.Event
	OmittedEvents int
	// RelatedEvents lists the events of the instances of a request around the
	// time of the request.
	RelatedEvents []model.Event
	// LimitHits lists the limits that were reached, the most recently reached
	// first.
	LimitHits []LimitHit
	// Obstacles lists the current obstacles.
	Obstacles []Obstacle
}

// PoolState compares the number of instances that a contract promises in a pool
// with the actual number by phase.
type PoolState struct {
	Pool model.Pool
	// Spare is true for a spare pool, whose instances are reserved and not
	// promised for work.
	Spare       bool
	Promised    int
	Serving     int
	Releasing   int
	Maintenance int
}

// LimitHit summarizes the events of one kind in which a limit was reached.
type LimitHit struct {
	Limit string
	Kind  model.EventKind
	Count int
	First model.Stamp
	Last  model.Stamp
	// Detail is the detail of the last event.
	Detail string
	Advice Advice
}

// ObstacleKind is the kind of an obstacle.
type ObstacleKind string

// The kinds of obstacle.
const (
	// ObstacleReleaseUnconfirmed means that an entry process has not confirmed
	// the release of an instance.
	ObstacleReleaseUnconfirmed ObstacleKind = "release-not-confirmed"
	// ObstacleNotReturned means that the instance is in maintenance and the
	// platform has not returned it.
	ObstacleNotReturned ObstacleKind = "not-returned"
	// ObstacleDisruptionLimit means that a customer's limit on unavailable
	// instances is reached.
	ObstacleDisruptionLimit ObstacleKind = "disruption-limit"
	// ObstacleMaintenanceDue means that a declared maintenance of the instance
	// has not started yet.
	ObstacleMaintenanceDue ObstacleKind = "maintenance-due"
	// ObstacleNotAnnounced means that the upstream of the instance was last reported
	// as gone or leaving.
	ObstacleNotAnnounced ObstacleKind = "not-announced"
	// ObstacleEjected means that the instance was last reported as ejected
	// because of failures.
	ObstacleEjected ObstacleKind = "ejected"
	// ObstacleCapacityMissing means that fewer instances are serving than
	// promised.
	ObstacleCapacityMissing ObstacleKind = "capacity-missing"
	// ObstacleNoContract means that the customer has no contract.
	ObstacleNoContract ObstacleKind = "no-contract"
)

// Obstacle describes one obstacle. Fields that do not apply are empty.
type Obstacle struct {
	Kind        ObstacleKind
	Instance    model.InstanceID
	Pool        model.Pool
	Process     model.Process
	Customer    model.Customer
	Maintenance string
	// Limit and Value are the name and the value of the limit that is reached.
	Limit string
	Value int64
	// Missing is the number of missing instances.
	Missing  int
	Since    clock.Millis
	Deadline clock.Millis
	Advice   Advice
}

// collect adds the newest MaxEvents of the matching events to the explanation, and
// the limits that were reached in any of the matching events. It sets Found if an
// event matches.
func (x *Explanation) collect(events []model.Event, match func(model.Event) bool) {
	type key struct {
		limit string
		kind  model.EventKind
	}
	position := map[key]int{}
	for _, e := range events {
		if !match(e) {
			continue
		}
		x.Events = append(x.Events, e)
		if e.Limit == "" {
			continue
		}
		k := key{e.Limit, e.Kind}
		i, ok := position[k]
		if !ok {
			i = len(x.LimitHits)
			position[k] = i
			x.LimitHits = append(x.LimitHits, LimitHit{Limit: e.Limit, Kind: e.Kind, First: e.Stamp, Advice: adviceFor(e.Limit)})
		}
		hit := &x.LimitHits[i]
		hit.Count, hit.Last, hit.Detail = hit.Count+1, e.Stamp, e.Detail
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

// sortedByKey returns the values of a map in the order of their keys.
func sortedByKey[K cmp.Ordered, V any](m map[K]V) []V {
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
