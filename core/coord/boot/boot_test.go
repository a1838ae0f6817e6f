package boot

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
)

var configured = []model.Member{{Name: "c1"}, {Name: "c2"}, {Name: "c3"}}

// TestDecide guards against two groups under the same settings: a process
// with an empty data folder must never form a group beside an existing one.
func TestDecide(t *testing.T) {
	tests := []struct {
		name    string
		answers []Hello
		want    Plan
	}{
		{"all new", []Hello{{"c1", 1, false}, {"c2", 2, false}, {"c3", 3, false}}, PlanForm},
		{"one silent", []Hello{{"c1", 1, false}, {"c2", 2, false}}, PlanAskAgain},
		{"one was in a group", []Hello{{"c1", 1, false}, {"c2", 2, true}, {"c3", 3, false}}, PlanJoin},
		{"one in a group, one silent", []Hello{{"c1", 1, false}, {"c3", 3, true}}, PlanJoin},
		{"one without identity", []Hello{{"c1", 1, false}, {"c2", 0, false}, {"c3", 3, false}}, PlanAskAgain},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plan, members := Decide(configured, tt.answers)
			assert.Equal(t, plan, tt.want)
			assert.Equal(t, len(members) == len(configured), tt.want == PlanForm)
		})
	}
}

// TestReplace guards against replacing a member that is only silent, and
// against leaving one out that lost its data folder.
func TestReplace(t *testing.T) {
	members := []raft.Member{{ID: 1, Name: "c1", Voter: true}, {ID: 2, Name: "c2", Voter: true}, {ID: 3, Name: "c3", Voter: true}}
	_, ok := Replace(members, configured, []Hello{{"c1", 1, true}, {"c2", 2, true}})
	assert.Assert(t, !ok, "a silent member must stay")
	got, ok := Replace(members, configured, []Hello{{"c1", 1, true}, {"c3", 9, false}})
	assert.Assert(t, ok)
	assert.Equal(t, got.Remove, raft.MemberID(3))
	assert.Equal(t, got.Add.ID, raft.MemberID(9))
	assert.Assert(t, !got.Add.Voter)
	_, ok = Replace(members, configured, []Hello{{"c3", 9, true}})
	assert.Assert(t, !ok, "a process of another group must not be added")
}
