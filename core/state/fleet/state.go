package fleet

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/model"
)

// Bounds on the records in the state.
const (
	// ResultLifetime and MaxResults bound the stored results of operators'
	// changes. Operators' tools resend within minutes.
	ResultLifetime = 24 * clock.Hour
	MaxResults     = 10_000
	// ClaimLifetime and MaxClaims bound the recorded idempotency claims. 100,000
	// claims take 27 MB, and a control process may use 128 MB.
	ClaimLifetime = 24 * clock.Hour
	MaxClaims     = 200_000
	// ReleasedLifetime and MaxReleased bound the recorded tokens of released claims.
	// A claim that a network partition holds up arrives seconds or minutes later.
	ReleasedLifetime = 10 * clock.Minute
	MaxReleased      = 50_000
	// MaxOutages bounds the finished outages. At the target size about 2,000
	// instances a day are restarted, replaced or maintained.
	MaxOutages = 100_000
	// MaxGoneProcesses bounds the entry processes recorded as gone.
	MaxGoneProcesses = 1000
	// MaxIncarnations bounds the entry processes whose incarnation is recorded.
	MaxIncarnations = 1000
	// MaxTableChanges is the number of table changes that a delta can span. A
	// reader that is further behind gets the whole table.
	MaxTableChanges = 10_000
	// MaxRemoved is the number of removed objects whose removal is recorded, so
	// that a conflict can name its winner. Operators notice a conflict within
	// hours; the target size has 2,300 changes a day.
	MaxRemoved = 10_000
	// MaxRetired is the number of retired instances that stay in the table. They
	// are part of every full table and up to 900 instances a day are replaced, so
	// without a bound the table would keep growing.
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
	// Results holds the results of operators' changes by request ID; at most
	// MaxResults.
	Results *ExpiringMap[model.RequestID, model.Result]
	// Claims holds the idempotency keys that were claimed; at most MaxClaims.
	Claims *ExpiringMap[model.ClaimKey, ClaimRecord]
	// Released holds the tokens of attempts whose request did not run and will not: a
	// claim with such a token that arrives later is refused. At most MaxReleased.
	Released *ExpiringMap[string, struct{}]
	// GoneProcesses holds the time at which an entry process was declared gone;
	// its runs that started before that time have ended. At most
	// MaxGoneProcesses.
	GoneProcesses map[model.Process]clock.Millis
	// Incarnations holds the latest incarnation of each entry process that made a
	// claim. Each only grows; at most MaxIncarnations.
	Incarnations map[model.Process]uint64
	// Outages lists the finished outages in the order of their end times; at most
	// MaxOutages. They are replicated because a new leader computes the
	// disruption budgets from them.
	Outages []model.Outage
	// Authors holds the author of the last change or removal of each object, to
	// name the winner of a conflict. A key is the kind of object, a space and the
	// name of the object, for example "contract acme". At most MaxRemoved of the
	// objects no longer exist.
	Authors map[string]Author
	// TableChanges lists the latest table changes in ascending order of version;
	// at most MaxTableChanges.
	TableChanges []TableChange
	// Jobs holds the submitted jobs.
	Jobs *jobs.State
}

// ClaimRecord is the recorded claim of an idempotency key, running or closed.
type ClaimRecord struct {
	Token string
	// Owner is the entry process that runs the request, and Incarnation its
	// incarnation at the time of the claim.
	Owner       model.Process
	Incarnation uint64
	State       model.ClaimState
	Status      int
}

// Author is the author of the last change of an object, with the version of that
// change.
type Author struct {
	Name    string
	Version model.Version
}

// TableChange records that a change altered a contract or an instance. Exactly
// one of the two names is set.
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
		Claims:        NewExpiringMap[model.ClaimKey, ClaimRecord](MaxClaims, ClaimLifetime),
		Released:      NewExpiringMap[string, struct{}](MaxReleased, ReleasedLifetime),
		Authors:       map[string]Author{},
		GoneProcesses: map[model.Process]clock.Millis{},
		Incarnations:  map[model.Process]uint64{},
		Jobs:          jobs.New(),
	}
}

// Table returns a copy of the routing table for entry processes.
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
