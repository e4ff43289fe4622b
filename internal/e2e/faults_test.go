package e2e

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/internal/localsite"
	"github.com/verbenastep/verbenastep/internal/standin"
)

const (
	// tokens is the length of a measured answer: two seconds of decoding.
	tokens = 100
	// transfers is how many calls are in flight when a fault comes.
	transfers = 12
)

func prompt(name string) string { return fmt.Sprintf("%s #%d", name, tokens) }

// requireWhole checks an answer against what the stand-in gives to a prompt.
func requireWhole(t *testing.T, name, text string, err error) {
	t.Helper()
	require.NoError(t, err)
	require.Equal(t, standin.AnswerTo(prompt(name), 4096), text)
}

// underTransfers makes calls that may not be repeated at all entries, brings a
// fault about while they run, and sends each again until it has an outcome.
func (r *rig) underTransfers(faulty func()) {
	wait := sync.WaitGroup{}
	for i := range transfers {
		wait.Go(func() {
			key := fmt.Sprintf("transfer-%d", i)
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			r.until(key, func() error {
				_, err := r.transfer(i%daemons, key)
				if err != nil && fault.From(err).Kind == fault.Unknown {
					return nil
				}
				return err
			})
		})
	}
	time.Sleep(transfers / 2 * 40 * time.Millisecond)
	faulty()
	wait.Wait()
	for stream, n := range r.plain.Executions() {
		require.Equal(r.t, 1, n, stream)
	}
}

func TestLeaderKilledUnderTransfers(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.underTransfers(func() { r.Kill(r.leader()) })
	r.verdict()
}

func TestDispatcherKilledUnderTransfers(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.underTransfers(func() { r.Kill(r.dispatcher(service)) })
	r.verdict()
}

// TestEntryKilledMidStream: the caller goes on at another entry and gets the
// rest of the same stream.
func TestEntryKilledMidStream(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	entry := (r.dispatcher(model) + 1) % daemons
	done := make(chan struct{})
	go func() {
		defer close(done)
		text, err := r.chat(entry, "mine", prompt("draft"))
		requireWhole(t, "draft", text, err)
	}()
	time.Sleep(time.Second)
	r.Kill(entry)
	<-done
	r.verdict()
}

// TestRunnerKilledMidStream: the caller learns that the outcome is unknown; it
// is never given a cut answer as whole, and the next request is served.
func TestRunnerKilledMidStream(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, err := r.chat(0, "mine", prompt("draft"))
		failure := (*fault.Error)(nil)
		require.True(t, errors.As(err, &failure), "%v", err)
		require.Equal(t, fault.Unknown, failure.Kind)
	}()
	time.Sleep(time.Second)
	for _, x := range r.runners {
		if busy(x, "mine", r) {
			x.Close()
		}
	}
	<-done
	r.until("an answer by the other runner", func() error {
		_, err := r.chat(1, "", prompt("next"))
		return err
	})
	r.verdict()
}

// busy tells whether a runner executes the request of a key.
func busy(x *standin.Runner, key string, r *rig) bool {
	r.mu.Lock()
	stream := r.streams[key]
	r.mu.Unlock()
	return x.Executions()[stream] > 0
}

// TestSilentConnection: a connection that carries nothing any more is replaced
// and the stream goes on, without another execution.
func TestSilentConnection(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	for _, x := range r.runners {
		x.SetPlan(standin.Plan{Fault: standin.Silent, AfterFrames: 10, Connections: 1})
	}
	text, err := r.chat(0, "mine", prompt("draft"))
	requireWhole(t, "draft", text, err)
	r.verdict()
}

// TestOperatorsRace: of two changes on one base one is accepted, and the other
// operator is told who won; the winner's change resent gets the same version.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	base := r.version(0)
	results := make([]error, 2)
	versions := make([]uint64, 2)
	wait := sync.WaitGroup{}
	for i := range results {
		wait.Go(func() {
			applied, err := r.apply(i, base, declared(10+i))
			results[i], versions[i] = err, applied.Version
		})
	}
	wait.Wait()
	winner := 0
	if results[0] != nil {
		winner = 1
	}
	require.NoError(t, results[winner])
	require.Equal(t, fault.Conflict, fault.From(results[1-winner]).Kind)
	again, err := r.apply(2, base, declared(10+winner))
	require.NoError(t, err)
	require.Equal(t, versions[winner], again.Version)
	r.verdict()
}

// TestRestartAfterManyChanges: a daemon that missed hundreds of changes has the
// newest in force before it serves.
func TestRestartAfterManyChanges(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	absent := (r.leader() + 1) % daemons
	present := (absent + 1) % daemons
	require.NoError(t, r.Stop(absent))
	const changes = 300
	version := r.version(present)
	for i := range changes {
		r.until("a change", func() error {
			applied, err := r.apply(present, version, declared(2+i))
			if err == nil {
				version = applied.Version
			}
			return err
		})
	}
	require.NoError(t, r.Start(t.Context(), absent))
	r.until("the newest version", func() error {
		if got := r.version(absent); got != version {
			return fmt.Errorf("version %d of %d", got, version)
		}
		return nil
	})
	r.verdict()
}

// TestSecondLossAfterRepair: a replica comes back with an empty disk, and as
// soon as it has caught up another one is lost; nothing acknowledged is lost.
func TestSecondLossAfterRepair(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	first, err := r.transfer(0, "before")
	require.NoError(t, err)
	emptied := (r.leader() + 1) % daemons
	r.Kill(emptied)
	require.NoError(t, os.RemoveAll(filepath.Clean(r.Settings[emptied].DataFolder)))
	require.NoError(t, r.Start(t.Context(), emptied))
	r.until("the replica's return as a voter", func() error { return r.voterAgain(emptied) })
	lost := r.leader()
	if lost == emptied {
		lost = (emptied + 1) % daemons
	}
	r.Kill(lost)
	survivor := daemons - emptied - lost
	r.until("the recorded answer", func() error {
		again, err := r.transfer(survivor, "before")
		if err == nil {
			require.Equal(t, first, again)
		}
		return err
	})
	require.Equal(t, 2, len(r.plain.Executions()), "the warm-up and one transfer")
	r.verdict()
}

// voterAgain returns nil once a daemon's new replica is a voter beside the
// others, and its lost one is not a member any more, by the leader's account.
func (r *rig) voterAgain(i int) error {
	id := r.replicaStatus(i)[0].ID
	members := r.replicaStatus(r.leader())[0].Members
	if len(members) != daemons {
		return fmt.Errorf("there are %d members", len(members))
	}
	for _, m := range members {
		if m.ID == id && !m.Learner && m.Lag == 0 {
			return nil
		}
	}
	return fmt.Errorf("%s is no voter yet", localsite.Name(i))
}

// TestCrashingRequest: a request that crashes each runner that runs it takes
// down two at most, however often its caller sends it.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.runner("runner-3")
	r.runner("runner-4")
	for _, x := range r.runners {
		x.SetPlan(standin.Plan{CrashOn: "poison"})
	}
	r.until("a quarantine", func() error {
		_, err := r.chat(0, "", prompt("poison"))
		require.Error(t, err)
		if k := fault.From(err).Kind; k != fault.Quarantined {
			return fmt.Errorf("refused with %s", k)
		}
		return nil
	})
	require.LessOrEqual(t, r.ended.Load(), int32(2))
	text, err := r.chat(1, "", prompt("innocent"))
	requireWhole(t, "innocent", text, err)
	r.verdict()
}
