package tests

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"camphorridge/internal/stand"
	"camphorridge/io/proto/wirepb"
)

// controlGroup is a layout for tests of the control group: one entry process
// and snapshots after few changes.
func controlGroup() layout {
	return layout{
		controls:  []string{"za", "zb", "zc"},
		entries:   []string{"za"},
		upstreams: map[string][]string{"za": {"merge", "merge"}},
		control:   "[consensus]\nsnapshot-every = 100\nsegment-bytes = 16384\n",
	}
}

// TestLeaderKilledUnderChanges guards against accepted changes that are lost
// or applied twice when the leader dies under a stream of them, twice.
func TestLeaderKilledUnderChanges(t *testing.T) {
	s := start(t, controlGroup())
	s.overview()
	stop := make(chan struct{})
	c, wg := s.stream("kill", 4, 100_000, stop)
	for range 2 {
		before := c.count.Load()
		s.wait("changes", func() bool { return c.count.Load() >= before+20 })
		victim := s.leader()
		s.kill(victim.name)
		before = c.count.Load()
		s.wait("changes under another leader", func() bool { return c.count.Load() >= before+20 })
		s.run(victim)
		s.caughtUp(victim)
	}
	close(stop)
	wg.Wait()
	c.check(s)
}

// TestLeaderFrozenAndThawed guards against a former leader that answers from
// its old state when it wakes up, and against changes lost by the freeze. The
// questions wait at the frozen process and are the first thing it handles.
func TestLeaderFrozenAndThawed(t *testing.T) {
	s := start(t, controlGroup())
	s.overview()
	for _, name := range []string{"before", "frozen"} {
		_, err := s.declare("warm-" + name)
		assert.NilError(t, err)
		old := s.leader()
		s.signal(old.name, syscall.SIGSTOP)
		s.wait("a change under another leader", func() bool {
			_, err := s.declare(name, slices.DeleteFunc(slices.Clone(s.controls), func(p *process) bool { return p == old })...)
			return err == nil
		})
		var wg sync.WaitGroup
		answers := make(chan string, 8)
		for range cap(answers) {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if out, err := s.cliAt([]*process{old}, "maintenance", "list", "--json"); err == nil {
					answers <- out
				}
			}()
		}
		time.Sleep(time.Second)
		s.signal(old.name, syscall.SIGCONT)
		wg.Wait()
		close(answers)
		assert.Assert(t, len(answers) > 0, "nobody was answered after the thaw")
		for out := range answers {
			held, err := parseDeclarations(out)
			assert.NilError(t, err)
			assert.Assert(t, held[name].Version > 0, "a status was answered without the accepted change %s", name)
		}
		s.caughtUp(old)
	}
	held := s.declarations()
	assert.Equal(t, len(held), 4, "%v", held)
}

// TestRestartAfterManyChanges guards against changes lost when all members
// restart at once from snapshots and logs: one is stopped, two are killed.
func TestRestartAfterManyChanges(t *testing.T) {
	s := start(t, controlGroup())
	s.overview()
	c, wg := s.stream("many", 8, 500, nil)
	wg.Wait()
	assert.Equal(t, int(c.count.Load()), 500)
	for _, p := range s.controls {
		assert.Assert(t, len(files(t, p, "snap-*.bin")) > 0, "%s made no snapshot", p.name)
	}
	assert.Equal(t, s.stop("c1"), 0)
	s.kill("c2")
	s.kill("c3")
	for _, p := range s.controls {
		s.run(p)
	}
	c.check(s)
	_, err := s.declare("afterwards")
	assert.NilError(t, err)
}

// TestEmptyDataFolder guards against a member with an empty data folder that
// votes under its old identity, or that never becomes a member again: after it
// has rejoined, another member is lost, and the group needs it.
func TestEmptyDataFolder(t *testing.T) {
	s := start(t, controlGroup())
	c, wg := s.stream("before", 8, 150, nil)
	wg.Wait()
	lost := s.follower()
	old := hello(lost).GetId()
	assert.Assert(t, old != 0)
	assert.Equal(t, s.stop(lost.name), 0)
	assert.NilError(t, os.RemoveAll(lost.data))
	s.run(lost)
	s.wait("the new identity to vote", func() bool {
		id := hello(lost).GetId()
		// The members are listed while all of them vote.
		return slices.ContainsFunc(hello(s.leader()).GetFounders(), func(m *wirepb.GroupMember) bool {
			return m.GetId() == id && id != old
		})
	})
	s.caughtUp(lost)
	s.kill(s.leader().name)
	s.wait("a change without the lost leader", func() bool {
		_, err := s.declare("afterwards")
		return err == nil
	})
	c.check(s)
}

// hello asks a control process who it is; the answer is nil without one.
func hello(p *process) *wirepb.HelloResponse {
	c := wirepb.NewConsensusProtobufClient("http://"+p.peers, probes)
	r, err := c.Hello(context.Background(), &wirepb.HelloRequest{})
	if err != nil {
		return nil
	}
	return r
}

// TestSilentlyCutMember guards against a member that was cut off without a
// reset for so long that the others dropped the entries it needs: it must
// catch up by a snapshot, disturb nobody, and be a full member afterwards.
func TestSilentlyCutMember(t *testing.T) {
	l := controlGroup()
	l.entries = []string{"za", "zb", "zc"}
	l.upstreams = map[string][]string{"za": {"merge"}, "zb": {"merge"}, "zc": {"merge"}}
	s := serving(t, l)
	away := s.follower()
	s.cut(away.zone, stand.RelaySilent)
	first := s.metrics(away)["commit_index"]
	var open []string
	for _, e := range s.entries {
		if e.zone != away.zone {
			open = append(open, e.callers)
		}
	}
	// Each keyed request makes two log entries; the members keep 1,000 behind a
	// snapshot.
	load := stand.Load{
		Entries: open, Service: "merge", Customer: "acme", Requests: 700, Concurrency: 2,
		IdempotencyKeys: true, Timeout: 20 * time.Second, Prefix: "cut",
	}
	sum := load.Run(context.Background())
	assert.Assert(t, sum.Counts["200 ran"] > 600, "%s", sum)
	c, wg := s.stream("cut", 4, 20, nil)
	wg.Wait()
	now := s.metrics(away)["commit_index"]
	assert.Assert(t, now < first+100, "the cut does not work: the commit index went from %v to %v", first, now)
	term := s.leaderTerm()
	s.cut(away.zone, stand.RelayForward)
	s.caughtUp(away)
	assert.Equal(t, s.leaderTerm(), term, "the member that came back forced an election")
	s.kill(s.leader().name)
	s.wait("a change with the member that was away", func() bool {
		_, err := s.declare("afterwards")
		return err == nil
	})
	c.check(s)
}

func (s *system) leaderTerm() float64 {
	s.t.Helper()
	var term float64
	s.wait("the term", func() bool {
		term = s.metrics(s.leader())["term"]
		return term > 0
	})
	return term
}

// TestTornLastRecord guards against a member that does not start, or that
// takes a torn record for an entry, after a crash in the middle of its last
// write: the record of a leader that was alone loses its end, and a follower's
// log ends with the start of one more record.
func TestTornLastRecord(t *testing.T) {
	l := controlGroup()
	l.control = "[consensus]\nsnapshot-every = 1000\n"
	s := start(t, l)
	s.contract("acme", 2, "merge")
	s.ready()
	c, wg := s.stream("torn", 4, 60, nil)
	wg.Wait()
	alone := s.leader()
	for _, p := range s.controls {
		if p != alone {
			s.kill(p.name)
		}
	}
	before := size(t, newest(t, alone))
	status, outcome, _, err := call(t, s.entries[0].callers, "merge", http.Header{
		"Idempotency-Key": {"torn"}, stand.IDHeader: {"torn"}, "Camphorridge-Timeout-Ms": {"2000"},
	})
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, outcome, "not-run")
	s.kill(alone.name)
	after := size(t, newest(t, alone))
	assert.Assert(t, after > before, "the leader wrote nothing")
	assert.NilError(t, os.Truncate(newest(t, alone), after-3))
	other := s.controls[0]
	if other == alone {
		other = s.controls[1]
	}
	b, err := os.ReadFile(newest(t, other))
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(newest(t, other), append(b, b[:20]...), 0o600))
	for _, p := range s.controls {
		s.run(p)
	}
	for _, p := range s.controls {
		s.caughtUp(p)
	}
	c.check(s)
	assert.Equal(t, s.runsOf("torn"), 0)
}

// TestTornAcknowledgedRecord guards against a member that is never a full
// member again after its disk lost the end of a record that it had
// acknowledged. The others have the entry and must give it back.
func TestTornAcknowledgedRecord(t *testing.T) {
	s := start(t, controlGroup())
	c, wg := s.stream("torn", 4, 60, nil)
	wg.Wait()
	torn := s.follower()
	s.kill(torn.name)
	file := newest(t, torn)
	assert.NilError(t, os.Truncate(file, size(t, file)-3))
	s.run(torn)
	_, err := s.declare("afterwards")
	assert.NilError(t, err)
	s.caughtUp(torn)
	c.check(s)
}

// TestCorruptLogIsRefused guards against a member that goes on with a damaged
// log as if the entries after the damage had never been acknowledged.
func TestCorruptLogIsRefused(t *testing.T) {
	s := start(t, controlGroup())
	c, wg := s.stream("corrupt", 4, 60, nil)
	wg.Wait()
	hurt := s.follower()
	assert.Equal(t, s.stop(hurt.name), 0)
	oldest := files(t, hurt, "log-*.seg")[0]
	b, err := os.ReadFile(oldest)
	assert.NilError(t, err)
	b[len(b)/2] ^= 0x40
	assert.NilError(t, os.WriteFile(oldest, b, 0o600))
	s.run(hurt)
	select {
	case <-hurt.exited:
	case <-time.After(patience):
		t.Fatalf("%s started with a damaged log", hurt.name)
	}
	assert.Equal(t, hurt.cmd.ProcessState.ExitCode(), 1)
	log, err := os.ReadFile(hurt.log)
	assert.NilError(t, err)
	lines := bytes.Split(bytes.TrimSpace(log), []byte("\n"))
	last := string(lines[len(lines)-1])
	assert.Assert(t, strings.Contains(last, filepath.Base(oldest)), "%s", last)
	assert.Assert(t, strings.Contains(last, "offset "), "%s", last)
	after, err := os.ReadFile(oldest)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(after, b), "the damaged file was changed")
	c.check(s)
}

// newest is the log segment that a control process writes to.
func newest(t *testing.T, p *process) string {
	t.Helper()
	logs := files(t, p, "log-*.seg")
	return logs[len(logs)-1]
}

func size(t *testing.T, file string) int64 {
	t.Helper()
	st, err := os.Stat(file)
	assert.NilError(t, err)
	return st.Size()
}

// files lists the files of a control process that match, in order of their
// indexes.
func files(t *testing.T, p *process, pattern string) []string {
	t.Helper()
	all, err := filepath.Glob(filepath.Join(p.data, pattern))
	assert.NilError(t, err)
	slices.Sort(all)
	return all
}
