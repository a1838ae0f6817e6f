package trail

import (
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// relatedEventsSpan is the time before the first and after the last event of a
// request in which the events of the request's instances are included in the
// explanation. It equals the default timeout of a request.
const relatedEventsSpan = 5 * clock.Second

// ExplainCustomer explains the state of a customer. The events must be in the
// order of Merge.
func ExplainCustomer(state CurrentState, events []model.Event, name model.Customer) Explanation {
	c, known := state.Contracts[name]
	x := Explanation{Subject: SubjectCustomer, Name: string(name), Now: state.Now, Found: known, Contract: c}
	x.collect(events, func(e model.Event) bool { return e.Customer == name })
	if !known {
		x.Obstacles = []Obstacle{{Kind: ObstacleNoContract, Customer: name, Advice: Advice{ActionApplyContract, string(name)}}}
		return x
	}
	instances := sortedByKey(state.Instances)
	for _, share := range c.Pools {
		x.addPool(share, false, instances)
	}
	if c.Spare > 0 {
		x.addPool(model.PoolShare{Pool: c.SparePool, Instances: c.Spare}, true, instances)
	}
	if obstacle, reached := disruptionObstacle(state, c); reached {
		x.Obstacles = append(x.Obstacles, obstacle)
	}
	latest := latestUpstreamEvents(events)
	for _, i := range instances {
		if contractHasPool(c, i.Pool) {
			x.Obstacles = append(x.Obstacles, instanceObstacles(state, latest, i)...)
		}
	}
	return x
}

// ExplainInstance explains the state of an instance. The events must be in the
// order of Merge.
func ExplainInstance(state CurrentState, events []model.Event, id model.InstanceID) Explanation {
	i, known := state.Instances[id]
	x := Explanation{Subject: SubjectInstance, Name: string(id), Now: state.Now, Found: known, Instance: i}
	x.collect(events, func(e model.Event) bool { return e.Instance == id })
	if !known {
		return x
	}
	x.Obstacles = append(instanceObstacles(state, latestUpstreamEvents(events), i), maintenanceObstacles(state, i)...)
	return x
}

// ExplainRequest explains what happened to the request with the given ID. The
// events must be in the order of Merge.
func ExplainRequest(state CurrentState, events []model.Event, id string) Explanation {
	x := Explanation{Subject: SubjectRequest, Name: id, Now: state.Now}
	x.collect(events, func(e model.Event) bool { return e.Request == id })
	if len(x.Events) == 0 {
		return x
	}
	from := x.Events[0].Stamp.Wall - relatedEventsSpan
	to := x.Events[len(x.Events)-1].Stamp.Wall + relatedEventsSpan
	involved := map[model.InstanceID]bool{}
	for _, e := range x.Events {
		if e.Instance != "" {
			involved[e.Instance] = true
		}
	}
	for _, e := range events {
		if involved[e.Instance] && e.Request != id && e.Stamp.Wall >= from && e.Stamp.Wall <= to {
			x.RelatedEvents = append(x.RelatedEvents, e)
		}
	}
	if over := len(x.RelatedEvents) - MaxEvents; over > 0 {
		x.RelatedEvents = slices.Clone(x.RelatedEvents[over:])
	}
	latest := latestUpstreamEvents(events)
	for _, i := range sortedByKey(state.Instances) {
		if involved[i.ID] {
			x.Obstacles = append(x.Obstacles, instanceObstacles(state, latest, i)...)
		}
	}
	return x
}

// addPool adds the state of a pool to the explanation, and an obstacle if fewer
// instances are serving than the contract promises. If instances that return from
// a release or maintenance cover the shortfall, the advice is to wait.
func (x *Explanation) addPool(share model.PoolShare, spare bool, instances []model.Instance) {
	p := PoolState{Pool: share.Pool, Promised: share.Instances, Spare: spare}
	returning := 0
	for _, i := range instances {
		if i.Pool != share.Pool {
			continue
		}
		switch i.Phase {
		case model.PhaseServing:
			p.Serving++
		case model.PhaseReleasing:
			p.Releasing++
		case model.PhaseMaintenance:
			p.Maintenance++
		}
		if i.Target == i.Pool && (i.Phase == model.PhaseReleasing || i.Phase == model.PhaseMaintenance) {
			returning++
		}
	}
	x.Pools = append(x.Pools, p)
	missing := p.Promised - p.Serving
	if missing <= 0 {
		return
	}
	obstacle := Obstacle{
		Kind: ObstacleCapacityMissing, Pool: p.Pool, Customer: x.Contract.Customer, Missing: missing,
		Advice: Advice{ActionWait, string(p.Pool)},
	}
	if missing > returning {
		obstacle.Advice.Action = ActionAddInstances
	}
	x.Obstacles = append(x.Obstacles, obstacle)
}

// contractHasPool reports whether a contract promises instances in a pool.
func contractHasPool(c model.Contract, p model.Pool) bool {
	return slices.ContainsFunc(c.Pools, func(s model.PoolShare) bool { return s.Pool == p })
}

// disruptionObstacle returns the obstacle of a customer's limit on unavailable
// instances and reports whether the limit is reached. Instances of the promised
// pools that are being released or are in maintenance count as unavailable; lost
// instances and those of the spare pool are not counted.
func disruptionObstacle(state CurrentState, c model.Contract) (obstacle Obstacle, reached bool) {
	unavailable := 0
	for _, i := range state.Instances {
		if contractHasPool(c, i.Pool) && (i.Phase == model.PhaseReleasing || i.Phase == model.PhaseMaintenance) {
			unavailable++
		}
	}
	obstacle = Obstacle{
		Kind: ObstacleDisruptionLimit, Customer: c.Customer, Limit: "max-unavailable", Value: int64(c.MaxUnavailable),
		Advice: adviceFor("max-unavailable"),
	}
	if unavailable > 0 {
		obstacle.Advice = Advice{ActionWait, "max-unavailable"}
	}
	return obstacle, unavailable >= c.MaxUnavailable
}

// latestUpstreamEvents returns, for each instance, the last event that reports
// whether the upstream is present and healthy.
func latestUpstreamEvents(events []model.Event) map[model.InstanceID]model.Event {
	latest := map[model.InstanceID]model.Event{}
	for _, e := range events {
		switch e.Kind {
		case model.EventUpstreamAnnounced, model.EventUpstreamGone, model.EventUpstreamLeaving,
			model.EventEjected, model.EventRestored:
			latest[e.Instance] = e
		}
	}
	return latest
}

// instanceObstacles returns the obstacles that keep an instance from serving or
// from leaving its current phase.
func instanceObstacles(state CurrentState, latest map[model.InstanceID]model.Event, i model.Instance) []Obstacle {
	var obstacles []Obstacle
	switch i.Phase {
	case model.PhaseReleasing:
		for _, p := range state.Processes {
			if p.Zone == i.Zone && p.DrainedVersion < i.Version {
				obstacles = append(obstacles, Obstacle{
					Kind: ObstacleReleaseUnconfirmed, Instance: i.ID, Pool: i.Pool, Process: p.Name,
					Since: i.PhaseSince, Advice: releaseAdvice(state, p),
				})
			}
		}
	case model.PhaseMaintenance:
		obstacles = append(obstacles, Obstacle{
			Kind: ObstacleNotReturned, Instance: i.ID, Pool: i.Pool, Since: i.PhaseSince,
			Advice: instanceAdvice(ActionCheckPlatform, i.ID),
		})
	case model.PhaseServing:
		e, ok := latest[i.ID]
		if ok && e.Kind == model.EventEjected {
			obstacles = append(obstacles, Obstacle{
				Kind: ObstacleEjected, Instance: i.ID, Pool: i.Pool, Process: e.Process,
				Since: e.Stamp.Wall, Advice: instanceAdvice(ActionRepairUpstream, i.ID),
			})
		}
		if ok && (e.Kind == model.EventUpstreamGone || e.Kind == model.EventUpstreamLeaving) {
			obstacles = append(obstacles, Obstacle{
				Kind: ObstacleNotAnnounced, Instance: i.ID, Pool: i.Pool, Process: e.Process,
				Since: e.Stamp.Wall, Advice: instanceAdvice(ActionStartUpstream, i.ID),
			})
		}
	}
	return obstacles
}

// maintenanceObstacles returns an obstacle for each declared maintenance that is
// due for a serving instance, and one for each customer of its pool whose limit
// on unavailable instances delays it.
func maintenanceObstacles(state CurrentState, i model.Instance) []Obstacle {
	if i.Phase != model.PhaseServing {
		return nil
	}
	var obstacles []Obstacle
	for _, m := range sortedByKey(state.Maintenance) {
		if !m.Selector.Matches(i) || i.MaintainedAt >= m.DeclaredAt {
			continue
		}
		obstacles = append(obstacles, Obstacle{
			Kind: ObstacleMaintenanceDue, Instance: i.ID, Pool: i.Pool, Maintenance: m.Name,
			Since: m.DeclaredAt, Deadline: m.Deadline, Advice: Advice{ActionWait, m.Name},
		})
	}
	if len(obstacles) == 0 {
		return nil
	}
	for _, c := range sortedByKey(state.Contracts) {
		if obstacle, reached := disruptionObstacle(state, c); reached && contractHasPool(c, i.Pool) {
			obstacle.Instance, obstacle.Pool = i.ID, i.Pool
			obstacles = append(obstacles, obstacle)
		}
	}
	return obstacles
}
