package boot

import (
	"context"
	"slices"
	"sort"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
)

// askTimeout bounds one question to another member, and askWait separates two
// rounds of questions.
const (
	askTimeout clock.Millis = 500
	askWait    clock.Millis = 200
)

// Hello is what a control process says about itself.
type Hello struct {
	Name model.Process
	ID   raft.MemberID
	// Initialised is set once the process has been in a group; it is durable
	// and never cleared.
	Initialised bool
	// Founders is the member list while all its members vote; empty elsewhere.
	// A process that finds its own identity there was a founder whose own start
	// was interrupted.
	Founders []raft.Member
}

// PeerClient asks a control process who it is.
type PeerClient interface {
	Hello(ctx context.Context, m model.Member) (Hello, error)
	// Join asks the group that the members belong to for membership of self.
	Join(ctx context.Context, members []model.Member, self raft.Member) error
}

// Plan is the decision of a process with an empty data folder.
type Plan int

// The decisions.
const (
	// PlanRetry: not every configured member answered.
	PlanRetry Plan = iota
	// PlanForm: all members are new; each writes the same first member list.
	PlanForm
	// PlanJoin: a group exists; its leader must add this process.
	PlanJoin
)

// DecidePlan returns the plan of the process self with, for PlanForm, the members
// of the new group and, for PlanJoin, the processes that answered. answers
// holds one answer for each configured member that could be asked, this
// process included.
func DecidePlan(self raft.MemberID, configured []model.Member, answers []Hello) (Plan, []raft.Member) {
	members := identified(configured, answers)
	for _, a := range answers {
		if !a.Initialised {
			continue
		}
		// A founder's identity was never in use before, as its data folder is
		// empty under the same identity: it can start from the same list.
		if slices.ContainsFunc(a.Founders, func(m raft.Member) bool { return m.ID == self }) {
			return PlanForm, a.Founders
		}
		return PlanJoin, members
	}
	// A process that is not configured belongs to no first member list; it joins
	// the group that the others form.
	founder := slices.ContainsFunc(members, func(m raft.Member) bool { return m.ID == self })
	if len(members) < len(configured) || !founder {
		return PlanRetry, nil
	}
	for i := range members {
		members[i].Voter = true
	}
	return PlanForm, members
}

// identified returns the configured processes that answered, in order of their
// names.
func identified(configured []model.Member, answers []Hello) []raft.Member {
	byName := make(map[model.Process]Hello, len(answers))
	for _, a := range answers {
		byName[a.Name] = a
	}
	var members []raft.Member
	for _, m := range configured {
		if a := byName[m.Name]; a.ID != 0 {
			members = append(members, raft.Member{ID: a.ID, Name: m.Name, Zone: m.Zone, Address: m.Address})
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// AwaitPlan asks the configured members until the plan is clear or done is closed;
// it returns PlanAskAgain in the latter case.
func AwaitPlan[A PeerClient](a A, self Hello, configured []model.Member, c clock.Clock, done <-chan struct{}) (Plan, []raft.Member) {
	for {
		plan, members := DecidePlan(self.ID, configured, ask(a, self, configured))
		if plan != PlanRetry {
			return plan, members
		}
		select {
		case <-c.After(askWait):
		case <-done:
			return PlanRetry, nil
		}
	}
}

func ask[A PeerClient](a A, self Hello, configured []model.Member) []Hello {
	answers := []Hello{self}
	for _, m := range configured {
		if m.Name == self.Name {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout.Duration())
		h, err := a.Hello(ctx, m)
		cancel()
		if err == nil {
			answers = append(answers, h)
		}
	}
	return answers
}

// UnlistedMember returns a configured process that answers under an identity which is
// not in the member list and was in no group: its data folder was lost, or it
// is new to the settings. ok is false when there is none.
func UnlistedMember(members []raft.Member, configured []model.Member, answers []Hello) (m raft.Member, ok bool) {
	listed := make(map[raft.MemberID]bool, len(members))
	for _, m := range members {
		listed[m.ID] = true
	}
	fresh := answers[:0:0]
	for _, a := range answers {
		if !a.Initialised && !listed[a.ID] {
			fresh = append(fresh, a)
		}
	}
	found := identified(configured, fresh)
	if len(found) == 0 {
		return raft.Member{}, false
	}
	return found[0], true
}
