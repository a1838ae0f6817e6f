package trail

import "camphorridge/core/state/model"

// Action is what would remove an obstacle.
type Action string

// The actions.
const (
	ActionRaiseLimit     Action = "raise-limit"
	ActionApplyContract  Action = "apply-contract"
	ActionAddPool        Action = "add-pool-to-contract"
	ActionAllowMoreTime  Action = "allow-more-time"
	ActionAddInstances   Action = "add-instances"
	ActionStartUpstream  Action = "start-upstream"
	ActionRepairUpstream Action = "repair-upstream"
	ActionRestartProcess Action = "restart-process-or-declare-lost"
	ActionCheckPlatform  Action = "check-platform"
	ActionWait           Action = "wait"
	ActionInspect        Action = "inspect"
)

// Advice is an action and the name of what it acts on: a limit, a pool, a
// process or an instance.
type Advice struct {
	Action Action
	Target string
}

// advices maps the names of limits in events to what would unblock: the
// settings of a contract, the reasons of refusals, and the limits of the
// system itself.
var advices = map[string]Advice{
	"concurrency":     {ActionRaiseLimit, "concurrency"},
	"queue":           {ActionRaiseLimit, "queue"},
	"retries":         {ActionRaiseLimit, "retry-percent"},
	"retry-percent":   {ActionRaiseLimit, "retry-percent"},
	"max-unavailable": {ActionRaiseLimit, "max-unavailable"},
	"budget-ms":       {ActionRaiseLimit, "budget-ms"},
	"spare":           {ActionRaiseLimit, "spare"},
	"milli-cores":     {ActionRaiseLimit, "milli-cores"},
	"memory-mib":      {ActionRaiseLimit, "memory-mib"},
	"accelerators":    {ActionRaiseLimit, "accelerators"},

	"no contract":            {ActionApplyContract, "contract"},
	"pool not in contract":   {ActionAddPool, "contract"},
	"no share":               {ActionRaiseLimit, "concurrency"},
	"queue full":             {ActionRaiseLimit, "queue"},
	"deadline cannot be met": {ActionAllowMoreTime, "timeout"},
	"retry budget spent":     {ActionRaiseLimit, "retry-percent"},

	"deadline": {ActionAllowMoreTime, "timeout"},
	"capacity": {ActionAddInstances, "pool"},
	"lease":    {ActionStartUpstream, "instance"},
	"failures": {ActionRepairUpstream, "instance"},
	"drained":  {ActionRestartProcess, "process"},
}

// adviceFor returns what would unblock a limit. A limit that is not in the
// table is named as the one to look at.
func adviceFor(limit string) Advice {
	if a, ok := advices[limit]; ok {
		return a
	}
	return Advice{ActionInspect, limit}
}

// confirmAdvice tells a process that still has requests in flight from one
// that is silent.
func confirmAdvice(o CurrentState, p Process) Advice {
	if p.LastReport == 0 || o.Now-p.LastReport > ReportTimeout {
		return Advice{ActionRestartProcess, string(p.Name)}
	}
	return Advice{ActionWait, string(p.Name)}
}

func instanceAdvice(a Action, id model.InstanceID) Advice { return Advice{a, string(id)} }
