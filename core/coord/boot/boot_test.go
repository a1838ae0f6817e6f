package boot

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
)

var founders = []raft.Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}

var configured = []model.Member{{Name: "c1"}, {Name: "c2"}, {Name: "c3"}}

// TestDecideJoinMode guards against two groups with the same settings: a process with an
// empty data folder must never form a group when one exists.
func TestDecideJoinMode(t *testing.T) {
	tests := []struct {
		name    string
		answers []Hello
		want    JoinMode
	}{
		{"all new", []Hello{{Name: "c1", ID: 1, Initialised: false}, {Name: "c2", ID: 2, Initialised: false}, {Name: "c3", ID: 3, Initialised: false}}, JoinModeFounder},
		{"founder whose start was interrupted", []Hello{{Name: "c1", ID: 1}, {Name: "c2", ID: 2, Initialised: true, Founders: founders}}, JoinModeFounder},
		{"founder that lost its data folder", []Hello{{Name: "c1", ID: 1}, {Name: "c2", ID: 2, Initialised: true, Founders: founders[1:]}}, JoinModeExisting},
		{"one does not answer", []Hello{{Name: "c1", ID: 1, Initialised: false}, {Name: "c2", ID: 2, Initialised: false}}, JoinModeRetry},
		{"one was in a group", []Hello{{Name: "c1", ID: 1, Initialised: false}, {Name: "c2", ID: 2, Initialised: true}, {Name: "c3", ID: 3, Initialised: false}}, JoinModeExisting},
		{"one is in a group, one does not answer", []Hello{{Name: "c1", ID: 1, Initialised: false}, {Name: "c3", ID: 3, Initialised: true}}, JoinModeExisting},
		{"one has no member ID", []Hello{{Name: "c1", ID: 1, Initialised: false}, {Name: "c2", ID: 0, Initialised: false}, {Name: "c3", ID: 3, Initialised: false}}, JoinModeRetry},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			mode, members := DecideJoinMode(1, configured, tt.answers, true)
			assert.Equal(t, mode, tt.want)
			if tt.want == JoinModeFounder {
				assert.Equal(t, len(members), len(configured))
			}
		})
	}
}

// TestProcessOfExistingSystemFormsNoGroup guards against a second group of processes that
// all lost their data folders, beside the group whose other members are not configured.
func TestProcessOfExistingSystemFormsNoGroup(t *testing.T) {
	answers := []Hello{{Name: "c1", ID: 1}, {Name: "c2", ID: 2}, {Name: "c3", ID: 3}}
	mode, _ := DecideJoinMode(1, configured, answers, false)
	assert.Equal(t, mode, JoinModeRetry)
	answers[1].Initialised, answers[1].Founders = true, founders
	mode, _ = DecideJoinMode(1, configured, answers, false)
	assert.Equal(t, mode, JoinModeFounder, "a founder whose start was interrupted must join the others")
}

// TestUnlistedMember guards against replacing a member that merely does not answer, and
// against not adding a process that lost its data folder.
func TestUnlistedMember(t *testing.T) {
	members := []raft.Member{{ID: 1, Name: "c1", Voter: true}, {ID: 2, Name: "c2", Voter: true}, {ID: 3, Name: "c3", Voter: true}}
	_, ok := UnlistedMember(members, configured, []Hello{{Name: "c1", ID: 1, Initialised: true}, {Name: "c2", ID: 2, Initialised: true}})
	assert.Assert(t, !ok, "a member that does not answer must stay")
	got, ok := UnlistedMember(members, configured, []Hello{{Name: "c1", ID: 1, Initialised: true}, {Name: "c3", ID: 9}})
	assert.Assert(t, ok)
	assert.Equal(t, got.ID, raft.MemberID(9))
	assert.Equal(t, got.Name, model.Process("c3"))
	assert.Assert(t, !got.Voter)
	_, ok = UnlistedMember(members, configured, []Hello{{Name: "c3", ID: 9, Initialised: true}})
	assert.Assert(t, !ok, "a process of another group must not be added")
	_, ok = UnlistedMember(members, configured, []Hello{{Name: "c3", ID: 3}})
	assert.Assert(t, !ok, "a listed member whose start was interrupted must not be added")
}

// TestFoundersAreInTheirOwnZones guards against voters that are not spread over zones
// because the settings do not contain the zones of other processes.
func TestFoundersAreInTheirOwnZones(t *testing.T) {
	configured := []model.Member{{Name: "c1", Zone: "-"}, {Name: "c2", Zone: "-"}, {Name: "c3", Zone: "-"}}
	answers := []Hello{{Name: "c1", Zone: "zone-a", ID: 1}, {Name: "c2", Zone: "zone-b", ID: 2}, {Name: "c3", ID: 3}}
	mode, members := DecideJoinMode(1, configured, answers, true)
	assert.Equal(t, mode, JoinModeFounder)
	for i, zone := range []model.Zone{"zone-a", "zone-b", "-"} {
		assert.Equal(t, members[i].Zone, zone)
	}
}
