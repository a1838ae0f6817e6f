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

// controlGroupLayout returns a layout for tests of the control group, with one
// entry process and a snapshot after every 100 log entries.
func controlGroupLayout() layout {
	return layout{
		controls:        []string{"za", "zb", "zc"},
		entries:         []string{"za"},
		upstreams:       map[string][]string{"za": {"merge", "merge"}},
		controlSettings: "[consensus]\nsnapshot-every = 100\nsegment-bytes = 16384\n",
	}
}

// TestLeaderKilledUnderChanges guards against accepted changes that are lost or
// applied twice when the leader is killed, twice, while changes arrive.
func TestLeaderKilledUnderChanges(t *testing.T) {
	s := startSystem(t, controlGroupLayout())
	s.status()
	stop := make(chan struct{})
	results, wg := s.startDeclaring("kill", 4, 100_000, stop)
	for range 2 {
		before := results.count.Load()
		s.wait("changes", func() bool { return results.count.Load() >= before+20 })
		leader := s.leader()
		s.kill(leader.name)
		before = results.count.Load()
		s.wait("changes under another leader", func() bool { return results.count.Load() >= before+20 })
		s.startProcess(leader)
		s.waitCaughtUp(leader)
	}
	close(stop)
	wg.Wait()
	results.check(s)
}

// TestLeaderFrozenAndResumed guards against a former leader that answers from
// stale state when it continues after a freeze, and against changes that the freeze
// loses. The queries are sent while the process is frozen, so that it handles them
// first when it continues.
func TestLeaderFrozenAndResumed(t *testing.T) {
	s := startSystem(t, controlGroupLayout())
	s.status()
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
		assert.Assert(t, len(answers) > 0, "no query was answered after the process continued")
		for out := range answers {
			listed, err := parseDeclarations(out)
			assert.NilError(t, err)
			assert.Assert(t, listed[name].Version > 0, "the list of maintenance lacks the accepted declaration %s", name)
		}
		s.waitCaughtUp(old)
	}
	listed := s.declarations()
	// Each of the two rounds declared "warm-" and its own name.
	assert.Equal(t, len(listed), 4, "%v", listed)
}

// TestRestartAfterManyChanges guards against changes that are lost when all
// members restart at the same time from snapshots and logs, after one was stopped
// and two were killed.
func TestRestartAfterManyChanges(t *testing.T) {
	s := startSystem(t, controlGroupLayout())
	s.status()
	results, wg := s.startDeclaring("many", 8, 500, nil)
	wg.Wait()
	assert.Equal(t, int(results.count.Load()), 500)
	for _, p := range s.controls {
		assert.Assert(t, len(dataFiles(t, p, "snap-*.bin")) > 0, "%s made no snapshot", p.name)
	}
	assert.Equal(t, s.stop("c1"), 0)
	s.kill("c2")
	s.kill("c3")
	for _, p := range s.controls {
		s.startProcess(p)
	}
	results.check(s)
	_, err := s.declare("afterwards")
	assert.NilError(t, err)
}

// TestEmptyDataFolder guards against a member with an empty data folder that
// votes under its old ID, or that never becomes a voting member again. After it has
// rejoined, the leader is killed, so that the group needs it for a majority.
func TestEmptyDataFolder(t *testing.T) {
	s := startSystem(t, controlGroupLayout())
	results, wg := s.startDeclaring("before", 8, 150, nil)
	wg.Wait()
	emptied := s.follower()
	oldID := hello(emptied).GetId()
	assert.Assert(t, oldID != 0)
	assert.Equal(t, s.stop(emptied.name), 0)
	assert.NilError(t, os.RemoveAll(emptied.dataFolder))
	s.startProcess(emptied)
	s.wait("the member to vote under a new ID", func() bool {
		id := hello(emptied).GetId()
		// The answer lists the members only while all of them vote.
		return slices.ContainsFunc(hello(s.leader()).GetFounders(), func(m *wirepb.GroupMember) bool {
			return m.GetId() == id && id != oldID
		})
	})
	s.waitCaughtUp(emptied)
	s.kill(s.leader().name)
	s.wait("a change without the killed leader", func() bool {
		_, err := s.declare("afterwards")
		return err == nil
	})
	results.check(s)
}

// hello returns a control process's answer to a Hello call, or nil if the call
// fails.
func hello(p *process) *wirepb.HelloResponse {
	c := wirepb.NewConsensusProtobufClient("http://"+p.peerAddr, probeClient)
	r, err := c.Hello(context.Background(), &wirepb.HelloRequest{})
	if err != nil {
		return nil
	}
	return r
}

// TestPartitionedMemberCatchesUp guards against a member that doesn't catch up, or
// that forces an election, after a partition without connection resets. The
// partition lasts until the other members have dropped the log entries that the
// member needs, so that it must catch up by a snapshot. Then the leader is killed, so
// that the group needs it for a majority.
func TestPartitionedMemberCatchesUp(t *testing.T) {
	l := controlGroupLayout()
	l.entries = []string{"za", "zb", "zc"}
	l.upstreams = map[string][]string{"za": {"merge"}, "zb": {"merge"}, "zc": {"merge"}}
	s := startServing(t, l)
	partitioned := s.follower()
	s.setRelayMode(partitioned.zone, stand.RelaySilent)
	first := s.metrics(partitioned)["commit_index"]
	var reachable []string
	for _, e := range s.entries {
		if e.zone != partitioned.zone {
			reachable = append(reachable, e.callerAddr)
		}
	}
	// Each keyed request makes two log entries. The members keep the last 1,000
	// entries that a snapshot contains.
	load := stand.Load{
		Entries: reachable, Service: "merge", Customer: "acme", Requests: 700, Concurrency: 2,
		IdempotencyKeys: true, Timeout: 20 * time.Second, Prefix: "cut",
	}
	sum := load.Run(context.Background())
	assert.Assert(t, sum.Counts["200 ran"] > 600, "%s", sum)
	results, wg := s.startDeclaring("cut", 4, 20, nil)
	wg.Wait()
	now := s.metrics(partitioned)["commit_index"]
	assert.Assert(t, now < first+100, "the partition has no effect: the commit index went from %v to %v", first, now)
	term := s.leaderTerm()
	s.setRelayMode(partitioned.zone, stand.RelayForward)
	s.waitCaughtUp(partitioned)
	assert.Equal(t, s.leaderTerm(), term, "the member forced an election after the partition")
	s.kill(s.leader().name)
	s.wait("a change with the member that was partitioned", func() bool {
		_, err := s.declare("afterwards")
		return err == nil
	})
	results.check(s)
}

// leaderTerm waits until the leader's metrics show a term, and returns it.
func (s *system) leaderTerm() float64 {
	s.t.Helper()
	var term float64
	s.wait("the term", func() bool {
		term = s.metrics(s.leader())["term"]
		return term > 0
	})
	return term
}

// TestTornLastRecord guards against a member that does not start, or that takes
// a partly written record for an entry, after a crash during its last write.
// The last record of a leader that ran alone is truncated, and the start of one more
// record is appended to the log of a follower.
func TestTornLastRecord(t *testing.T) {
	l := controlGroupLayout()
	l.controlSettings = "[consensus]\nsnapshot-every = 1000\n"
	s := startSystem(t, l)
	s.applyContract("acme", 2, "merge")
	s.waitReady()
	results, wg := s.startDeclaring("torn", 4, 60, nil)
	wg.Wait()
	alone := s.leader()
	for _, p := range s.controls {
		if p != alone {
			s.kill(p.name)
		}
	}
	before := fileSize(t, newestSegment(t, alone))
	status, outcome, _, err := call(t, s.entries[0].callerAddr, "merge", http.Header{
		"Idempotency-Key": {"torn"}, stand.IDHeader: {"torn"}, "Camphorridge-Timeout-Ms": {"2000"},
	})
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, outcome, "not-run")
	s.kill(alone.name)
	after := fileSize(t, newestSegment(t, alone))
	assert.Assert(t, after > before, "the leader wrote nothing")
	assert.NilError(t, os.Truncate(newestSegment(t, alone), after-3))
	other := s.controls[0]
	if other == alone {
		other = s.controls[1]
	}
	b, err := os.ReadFile(newestSegment(t, other))
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(newestSegment(t, other), append(b, b[:20]...), 0o600))
	for _, p := range s.controls {
		s.startProcess(p)
	}
	for _, p := range s.controls {
		s.waitCaughtUp(p)
	}
	results.check(s)
	assert.Equal(t, s.runCount("torn"), 0)
}

// TestTornAcknowledgedRecord guards against a member that never catches up again
// after its disk lost the end of a record that it had acknowledged. The others have
// the entry and must send it again.
func TestTornAcknowledgedRecord(t *testing.T) {
	s := startSystem(t, controlGroupLayout())
	results, wg := s.startDeclaring("torn", 4, 60, nil)
	wg.Wait()
	torn := s.follower()
	s.kill(torn.name)
	file := newestSegment(t, torn)
	assert.NilError(t, os.Truncate(file, fileSize(t, file)-3))
	s.startProcess(torn)
	_, err := s.declare("afterwards")
	assert.NilError(t, err)
	s.waitCaughtUp(torn)
	results.check(s)
}

// TestCorruptLogIsRefused guards against a member that continues with a damaged
// log as if the entries after the damage had never been acknowledged. It must
// exit with an error that names the file and the offset, and leave the file as
// it is.
func TestCorruptLogIsRefused(t *testing.T) {
	s := startSystem(t, controlGroupLayout())
	results, wg := s.startDeclaring("corrupt", 4, 60, nil)
	wg.Wait()
	damaged := s.follower()
	assert.Equal(t, s.stop(damaged.name), 0)
	oldest := dataFiles(t, damaged, "log-*.seg")[0]
	b, err := os.ReadFile(oldest)
	assert.NilError(t, err)
	b[len(b)/2] ^= 0x40
	assert.NilError(t, os.WriteFile(oldest, b, 0o600))
	s.startProcess(damaged)
	select {
	case <-damaged.exited:
	case <-time.After(waitTimeout):
		t.Fatalf("%s started with a damaged log", damaged.name)
	}
	assert.Equal(t, damaged.cmd.ProcessState.ExitCode(), 1)
	log, err := os.ReadFile(damaged.logFile)
	assert.NilError(t, err)
	lines := bytes.Split(bytes.TrimSpace(log), []byte("\n"))
	last := string(lines[len(lines)-1])
	assert.Assert(t, strings.Contains(last, filepath.Base(oldest)), "%s", last)
	assert.Assert(t, strings.Contains(last, "offset "), "%s", last)
	after, err := os.ReadFile(oldest)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(after, b), "the damaged file was changed")
	results.check(s)
}

// newestSegment returns the path of the log segment that a control process
// writes to.
func newestSegment(t *testing.T, p *process) string {
	t.Helper()
	logs := dataFiles(t, p, "log-*.seg")
	return logs[len(logs)-1]
}

// fileSize returns the size of a file in bytes.
func fileSize(t *testing.T, file string) int64 {
	t.Helper()
	st, err := os.Stat(file)
	assert.NilError(t, err)
	return st.Size()
}

// dataFiles returns the files in the data folder of a control process that
// match a pattern, in the order of their indexes.
func dataFiles(t *testing.T, p *process, pattern string) []string {
	t.Helper()
	all, err := filepath.Glob(filepath.Join(p.dataFolder, pattern))
	assert.NilError(t, err)
	slices.Sort(all)
	return all
}
