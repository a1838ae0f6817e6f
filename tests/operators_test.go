package tests

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// writeContract writes a contract for two instances of the pool merge to a file and
// returns the file's path.
func (s *system) writeContract(name string, queue int) string {
	s.t.Helper()
	text := fmt.Sprintf("[contract]\ncustomer = acme\ncovers = instance\nqueue = %d\n[pool merge]\ninstances = 2\n"+
		"[disruption]\nmax-unavailable = 1\nbudget-ms = 600000\nwindow-ms = 3600000\n", queue)
	return s.writeFile(name+".ini", text)
}

// commandResult is the output of an operator's command and its error, if any. author
// is the operator.
type commandResult struct {
	author, out string
	err         error
}

// TestConcurrentApplies guards against two operators who change a contract from
// the same base version at the same time, and are both told that their change is
// accepted.
func TestConcurrentApplies(t *testing.T) {
	s := startSystem(t, controlGroupLayout())
	out := s.retryCLI("contract", "apply", s.writeContract("first", 100), "--author", "first", "--base", "0")
	for round := range 5 {
		var base uint64
		_, err := fmt.Sscanf(out, "accepted at version %d", &base)
		assert.NilError(t, err, "%s", out)
		answers := make([]commandResult, 2)
		var wg sync.WaitGroup
		for i, author := range []string{"anna", "bert"} {
			file := s.writeContract(author, 200+10*round+i)
			wg.Add(1)
			go func() {
				defer wg.Done()
				out, err := s.cli("contract", "apply", file, "--author", author, "--base", fmt.Sprint(base))
				answers[i] = commandResult{author: author, out: out, err: err}
			}()
		}
		wg.Wait()
		winner, loser := answers[0], answers[1]
		if winner.err != nil {
			winner, loser = loser, winner
		}
		assert.NilError(t, winner.err, "neither change was accepted: %s / %s", winner.out, loser.out)
		assert.ErrorContains(t, loser.err, "exit status 1")
		assert.Assert(t, strings.Contains(loser.out, "changed by "+winner.author), "%s", loser.out)
		assert.Assert(t, strings.Contains(loser.out, "differs in: queue"), "%s", loser.out)
		out = winner.out
	}
}

// TestResendGivesFirstResult guards against a change that is applied again, or
// gets another answer, when an operator sends it again because the answer was lost.
// It is sent again to the same leader, to another one, and after all members were
// restarted.
func TestResendGivesFirstResult(t *testing.T) {
	s := startSystem(t, controlGroupLayout())
	first := s.writeContract("first", 100)
	send := func(file, request string) commandResult {
		var a commandResult
		s.wait("an answer", func() bool {
			a.out, a.err = s.cli("contract", "apply", file, "--author", "anna", "--base", "0", "--request", request)
			return !strings.Contains(a.out, "may or may not") && !strings.Contains(a.out, "status:")
		})
		return a
	}
	s.wait("the instances", func() bool { return len(s.instances()) == 2 })
	accepted := send(first, "one")
	assert.NilError(t, accepted.err, "%s", accepted.out)
	refused := send(s.writeContract("second", 300), "two")
	assert.ErrorContains(t, refused.err, "exit status 1")
	// Another operator changes the contract, so that the base version of the first
	// change is out of date.
	s.retryCLI("contract", "apply", s.writeContract("third", 400), "--author", "carl")
	check := func() {
		t.Helper()
		again := send(first, "one")
		assert.NilError(t, again.err, "%s", again.out)
		assert.Equal(t, again.out, accepted.out)
		again = send(s.writeContract("second", 300), "two")
		assert.ErrorContains(t, again.err, "exit status 1")
		assert.Equal(t, again.out, refused.out)
		out := s.retryCLI("contract", "show", "acme", "--json")
		assert.Assert(t, strings.Contains(out, `"queue": 400`), "%s", out)
	}
	check()
	old := s.leader()
	s.kill(old.name)
	check()
	s.startProcess(old)
	// These changes are enough for a snapshot, which must contain the results.
	results, wg := s.startDeclaring("more", 8, 150, nil)
	wg.Wait()
	for _, p := range s.controls {
		s.kill(p.name)
	}
	for _, p := range s.controls {
		s.startProcess(p)
	}
	check()
	results.check(s)
}
