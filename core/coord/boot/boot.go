package boot

import (
	"cmp"
	"context"
	"slices"
	"sort"
	"sync"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
	"camphorridge/core/state/ring"
)

const (
	// helloTimeout bounds a round of Hello calls to all members.
	helloTimeout clock.Millis = 500
	// roundDelay is the time between two rounds of Hello calls to all members.
	roundDelay clock.Millis = 200
)

// Hello describes a control process to the others.
type Hello struct {
	Name model.Process
	// Zone is the zone of the process; empty in the answer of an older version. The
	// settings of other processes may not contain it.
	Zone model.Zone
	// ID is the member ID in the data folder of the process; 0 if it has none.
	ID raft.MemberID
	// Initialised is set once the process has been in a group. It is durable and
	// never cleared.
	Initialised bool
	// Founders is the member list if all its members are voters and it is not joint, and
	// empty otherwise.
	// A process with an empty data folder that finds its own ID in the list is a founder
	// whose start was interrupted.
	Founders []raft.Member
}

// PeerClient calls other control processes.
type PeerClient interface {
	// Hello asks a control process to describe itself.
	Hello(ctx context.Context, m model.Member) (Hello, error)
	// Join asks the group that the members belong to for membership of self. It returns
	// the address of the leader that added self.
	Join(ctx context.Context, members []model.Member, self raft.Member) (address string, err error)
}

// JoinMode is the way in which a process with an empty data folder becomes a member.
type JoinMode int

// The modes.
const (
	// JoinModeRetry means that the configured members must be asked again: no group is
	// known, and some of them did not answer with a member ID, this process is not
	// configured, or it may not form a group.
	JoinModeRetry JoinMode = iota
	// JoinModeFounder means that this process starts with an initial member list, the
	// same as the other founders: either no group exists, or its own start was
	// interrupted.
	JoinModeFounder
	// JoinModeExisting means that a group exists, whose leader must add this process.
	JoinModeExisting
)

// DecideJoinMode returns the mode in which the process with the ID self joins. The
// returned members are the initial members of the group for JoinModeFounder, and the
// processes that answered for JoinModeExisting. answers holds the answer of each
// configured member that responded, and of this process. Unless mayFound is set, this
// process forms no new group: the others may have lost their data folders too.
func DecideJoinMode(self raft.MemberID, configured []model.Member, answers []Hello, mayFound bool) (JoinMode, []raft.Member) {
	members := respondingMembers(configured, answers)
	for _, a := range answers {
		if !a.Initialised {
			continue
		}
		// This process is listed as a founder, and its data folder is empty but still has
		// the listed ID. The ID was therefore never used in a group, and the process can
		// safely start with the founders' list.
		if slices.ContainsFunc(a.Founders, func(m raft.Member) bool { return m.ID == self }) {
			return JoinModeFounder, a.Founders
		}
		return JoinModeExisting, members
	}
	// A process that is not configured is never in an initial member list; it joins
	// the group that the others form.
	founder := slices.ContainsFunc(members, func(m raft.Member) bool { return m.ID == self })
	if !mayFound || len(members) < len(configured) || !founder {
		return JoinModeRetry, nil
	}
	for i := range members {
		members[i].Voter = true
	}
	return JoinModeFounder, members
}

// respondingMembers returns the configured processes that answered with a member ID,
// sorted by name, in the zones that they name themselves. Zones of listed members are not
// corrected: a zone only ranks the candidates for voters.
func respondingMembers(configured []model.Member, answers []Hello) []raft.Member {
	byName := make(map[model.Process]Hello, len(answers))
	for _, a := range answers {
		byName[a.Name] = a
	}
	var members []raft.Member
	for _, m := range configured {
		if a := byName[m.Name]; a.ID != 0 {
			members = append(members, raft.Member{ID: a.ID, Name: m.Name, Zone: cmp.Or(a.Zone, m.Zone), Address: m.Address})
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// AwaitJoinMode asks the configured members until a mode other than JoinModeRetry is
// decided or done is closed; in the latter case it returns JoinModeRetry. configured is
// called before each round, because the settings may change in the meantime.
func AwaitJoinMode[P PeerClient](peers P, self Hello, configured func() []model.Member, mayFound bool, c clock.Clock, done <-chan struct{}) (JoinMode, []raft.Member) {
	for {
		current := configured()
		mode, members := DecideJoinMode(self.ID, current, collectAnswers(peers, self, current), mayFound)
		if mode != JoinModeRetry {
			return mode, members
		}
		select {
		case <-c.After(roundDelay):
		case <-done:
			return JoinModeRetry, nil
		}
	}
}

// collectAnswers calls Hello for all configured members at the same time, so that members
// that do not answer delay the others by helloTimeout at most in total. It returns self and
// the answers within helloTimeout, the latter sorted by name.
func collectAnswers[P PeerClient](peers P, self Hello, configured []model.Member) []Hello {
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout.Duration())
	defer cancel()
	received := ring.New[Hello](max(len(configured), 1))
	var wg sync.WaitGroup
	for _, m := range configured {
		if m.Name == self.Name {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			if h, err := peers.Hello(ctx, m); err == nil {
				received.TryPut(h)
			}
		}()
	}
	wg.Wait()
	answers := received.Drain([]Hello{self}, len(configured)+1)
	sort.Slice(answers[1:], func(i, j int) bool { return answers[1+i].Name < answers[1+j].Name })
	return answers
}

// UnlistedMember returns a configured process that has never been in a group and answers
// with a member ID that is not in the member list: its data folder was lost, or it was
// added to the settings. ok is false when there is none.
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
	found := respondingMembers(configured, fresh)
	if len(found) == 0 {
		return raft.Member{}, false
	}
	return found[0], true
}
