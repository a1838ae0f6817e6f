package fleet

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/model"
)

// Bounds on what the state remembers.
const (
	// ResultLifetime and MaxResults bound the remembered results of operators'
	// changes. An operator's tool resends within minutes.
	ResultLifetime = 24 * clock.Hour
	MaxResults     = 10_000
	// ClaimLifetime and MaxClaims bound the idempotency claims.
	ClaimLifetime = 24 * clock.Hour
	// 100,000 claims take 27 MB, and a control instance may use 128 MB.
	MaxClaims = 200_000
	// MaxOutages bounds the remembered outages. At the target size about 2,000
	// instances a day are restarted, replaced or maintained.
	MaxOutages = 100_000
	// MaxGoneProcesses bounds the entry processes that are remembered as gone.
	MaxGoneProcesses = 1000
	// MaxIncarnations bounds the entry processes whose incarnation is remembered.
	MaxIncarnations = 1000
	// MaxTableChanges is the number of table changes that a delta can span; a
	// reader that is further behind gets the whole table.
	MaxTableChanges = 10_000
	// MaxRemoved is the number of removed objects whose removal is remembered
	// to name the winner of a conflict. Operators notice a conflict within
	// hours; the target scale has 2,300 changes a day.
	MaxRemoved = 10_000
	// MaxRetired is the number of retired instances that stay in the table.
	// They are part of every full table, and 900 instances may be replaced a
	// day, so that the table would grow without a bound.
	MaxRetired = 1_000
)

// State is the replicated state.
type State struct {
	// Index is the log index of the last change applied; it only grows.
	Index model.Version
	// Version is the index of the last change that altered the table; at most
	// Index.
	Version model.Version
	// Time is the largest leader time seen in a change; it only grows.
	Time        clock.Millis
	Contracts   map[model.Customer]model.Contract
	Instances   map[model.InstanceID]model.Instance
	Maintenance map[string]model.Maintenance
	// Results holds the answers to operators' changes by request identity;
	// at most MaxResults.
	Results *ExpiringMap[model.RequestID, model.Result]
	// Claims holds the idempotency keys that were claimed; at most MaxClaims.
	Claims *ExpiringMap[model.ClaimKey, HeldClaim]
	// GoneProcesses holds the entry processes that were declared gone, with the time of
	// the declaration: runs that started before it have ended. At most MaxGone.
	GoneProcesses map[model.Process]clock.Millis
	// Incarnations holds the latest incarnation of each entry process that claimed; at
	// most MaxRuns, and each only grows.
	Incarnations map[model.Process]uint64
	// Outages lists the finished outages in the order of their ends; at most
	// MaxOutages. Budgets are computed from them, also by a new leader.
	Outages []model.Outage
	// Authors names who last changed or removed an object, for conflicts; at
	// most MaxRemoved of the objects do not exist any more.
	Authors map[string]Author
	// TableChanges lists the latest table changes in ascending order of version;
	// at most MaxTouches.
	TableChanges []TableChange
	// Jobs is the submitted work.
	Jobs *jobs.State
}

// HeldClaim is a claimed idempotency key.
type HeldClaim struct {
	Token string
	// Owner and Run name the entry process that runs the request, and its
	// incarnation.
	Owner       model.Process
	Incarnation uint64
	State       model.ClaimState
	Status      int
}

// Author is who last changed an object and by which change.
type Author struct {
	Name    string
	Version model.Version
}

// TableChange says that a change altered a contract or an instance; one name is set.
type TableChange struct {
	Version  model.Version
	Contract model.Customer
	Instance model.InstanceID
}

// New returns the empty state.
func New() *State {
	return &State{
		Contracts:     map[model.Customer]model.Contract{},
		Instances:     map[model.InstanceID]model.Instance{},
		Maintenance:   map[string]model.Maintenance{},
		Results:       NewExpiringMap[model.RequestID, model.Result](MaxResults, ResultLifetime),
		Claims:        NewExpiringMap[model.ClaimKey, HeldClaim](MaxClaims, ClaimLifetime),
		Authors:       map[string]Author{},
		GoneProcesses: map[model.Process]clock.Millis{},
		Incarnations:  map[model.Process]uint64{},
		Jobs:          jobs.New(),
	}
}

// Table returns a copy of the configuration that entry processes route by.
func (s *State) Table() model.Table {
	t := model.Table{
		Version:   s.Version,
		Contracts: make(map[model.Customer]model.Contract, len(s.Contracts)),
		Instances: make(map[model.InstanceID]model.Instance, len(s.Instances)),
	}
	for k, v := range s.Contracts {
		t.Contracts[k] = v
	}
	for k, v := range s.Instances {
		t.Instances[k] = v
	}
	return t
}
