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
	// answerTokens is the length of an answer: two seconds at decodeRate.
	answerTokens = 100
	// transferCount is the number of calls sent around a fault.
	transferCount = 12
)

func prompt(name string) string { return fmt.Sprintf("%s #%d", name, answerTokens) }

// requireCompleteAnswer compares an answer with the one that the stand-in gives
// to the prompt.
func requireCompleteAnswer(t *testing.T, name, text string, err error) {
	t.Helper()
	require.NoError(t, err)
	require.Equal(t, standin.AnswerTo(prompt(name), 4096), text)
}

// duringTransfers sends non-idempotent calls to all entries, injects a fault
// while they run, and retries each until it has an outcome. It fails if any
// call was executed more than once.
func (site *testSite) duringTransfers(inject func()) {
	wait := sync.WaitGroup{}
	for i := range transferCount {
		wait.Go(func() {
			key := fmt.Sprintf("transfer-%d", i)
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			site.retryUntil(key, func() error {
				_, err := site.callTransfer(i%daemonCount, key)
				if err != nil && fault.From(err).Kind == fault.Unknown {
					return nil
				}
				return err
			})
		})
	}
	time.Sleep(transferCount / 2 * 40 * time.Millisecond)
	inject()
	wait.Wait()
	for stream, n := range site.plainService.Executions() {
		require.Equal(site.t, 1, n, stream)
	}
}

func TestLeaderKilledUnderTransfers(t *testing.T) {
	t.Parallel()
	site := newTestSite(t)
	site.duringTransfers(func() { site.Kill(site.leaderIndex()) })
	site.requirePromisesKept()
}

func TestDispatcherKilledUnderTransfers(t *testing.T) {
	t.Parallel()
	site := newTestSite(t)
	site.duringTransfers(func() { site.Kill(site.dispatcherIndex(service)) })
	site.requirePromisesKept()
}

// TestEntryKilledMidStream guards against a lost or repeated answer when the
// entry fails during a stream: the caller continues the same stream at another
// entry.
func TestEntryKilledMidStream(t *testing.T) {
	t.Parallel()
	site := newTestSite(t)
	entry := (site.dispatcherIndex(model) + 1) % daemonCount
	done := make(chan struct{})
	go func() {
		defer close(done)
		text, err := site.streamCompletion(entry, "mine", prompt("draft"))
		requireCompleteAnswer(t, "draft", text, err)
	}()
	time.Sleep(time.Second)
	site.Kill(entry)
	<-done
	site.requirePromisesKept()
}

// TestRunnerKilledMidStream guards against a truncated answer that is reported
// as complete. The caller gets an unknown outcome, and the next request is
// served.
func TestRunnerKilledMidStream(t *testing.T) {
	t.Parallel()
	site := newTestSite(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, err := site.streamCompletion(0, "mine", prompt("draft"))
		failure := (*fault.Error)(nil)
		require.True(t, errors.As(err, &failure), "%v", err)
		require.Equal(t, fault.Unknown, failure.Kind)
	}()
	time.Sleep(time.Second)
	for _, x := range site.runners {
		if hasExecuted(x, "mine", site) {
			x.Close()
		}
	}
	<-done
	site.retryUntil("an answer by the other runner", func() error {
		_, err := site.streamCompletion(1, "", prompt("next"))
		return err
	})
	site.requirePromisesKept()
}

// hasExecuted reports whether a runner has executed the request with a key.
func hasExecuted(x *standin.Runner, key string, site *testSite) bool {
	site.mu.Lock()
	stream := site.streams[key]
	site.mu.Unlock()
	return x.Executions()[stream] > 0
}

// TestSilentConnection guards against a stream that hangs on a connection on
// which nothing arrives: the connection is replaced and the stream continues
// without a second execution.
func TestSilentConnection(t *testing.T) {
	t.Parallel()
	site := newTestSite(t)
	for _, x := range site.runners {
		x.SetFaultPlan(standin.FaultPlan{Fault: standin.Silent, AfterFrames: 10, Connections: 1})
	}
	text, err := site.streamCompletion(0, "mine", prompt("draft"))
	requireCompleteAnswer(t, "draft", text, err)
	site.requirePromisesKept()
}

// TestOperatorsRace guards against two accepted changes on one base version.
// One is accepted, the other gets a conflict, and the accepted change gets the
// same version when resent.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	site := newTestSite(t)
	base := site.versionInForce(0)
	results := make([]error, 2)
	versions := make([]uint64, 2)
	wait := sync.WaitGroup{}
	for i := range results {
		wait.Go(func() {
			applied, err := site.applyConfig(i, base, configFiles(10+i))
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
	again, err := site.applyConfig(2, base, configFiles(10+winner))
	require.NoError(t, err)
	require.Equal(t, versions[winner], again.Version)
	site.requirePromisesKept()
}

// TestRestartAfterManyChanges guards against a daemon that serves an old
// configuration after it missed more changes than the log retains.
func TestRestartAfterManyChanges(t *testing.T) {
	t.Parallel()
	site := newTestSite(t)
	stopped := (site.leaderIndex() + 1) % daemonCount
	running := (stopped + 1) % daemonCount
	require.NoError(t, site.Stop(stopped))
	const changes = 300
	version := site.versionInForce(running)
	for i := range changes {
		site.retryUntil("a change", func() error {
			applied, err := site.applyConfig(running, version, configFiles(2+i))
			if err == nil {
				version = applied.Version
			}
			return err
		})
	}
	require.NoError(t, site.Start(t.Context(), stopped))
	site.retryUntil("the newest version", func() error {
		if got := site.versionInForce(stopped); got != version {
			return fmt.Errorf("version %d is in force, want %d", got, version)
		}
		return nil
	})
	site.requirePromisesKept()
}

// TestSecondLossAfterRepair guards against the loss of acknowledged state when
// a replica returns with an empty disk and another one fails as soon as the
// first has caught up.
func TestSecondLossAfterRepair(t *testing.T) {
	t.Parallel()
	site := newTestSite(t)
	first, err := site.callTransfer(0, "before")
	require.NoError(t, err)
	emptied := (site.leaderIndex() + 1) % daemonCount
	site.Kill(emptied)
	require.NoError(t, os.RemoveAll(filepath.Clean(site.Settings[emptied].DataFolder)))
	require.NoError(t, site.Start(t.Context(), emptied))
	site.retryUntil("the replica's return as a voter", func() error { return site.checkIsVoter(emptied) })
	killed := site.leaderIndex()
	if killed == emptied {
		killed = (emptied + 1) % daemonCount
	}
	site.Kill(killed)
	survivor := daemonCount - emptied - killed
	site.retryUntil("the recorded answer", func() error {
		again, err := site.callTransfer(survivor, "before")
		if err == nil {
			require.Equal(t, first, again)
		}
		return err
	})
	require.Equal(t, 2, len(site.plainService.Executions()), "executions other than the warm-up and one transfer")
	site.requirePromisesKept()
}

// checkIsVoter returns nil once the leader counts the new replica of a daemon
// as an up-to-date voter and its lost replica is no longer a member.
func (site *testSite) checkIsVoter(i int) error {
	id := site.replicaStatus(i)[0].ID
	members := site.replicaStatus(site.leaderIndex())[0].Members
	if len(members) != daemonCount {
		return fmt.Errorf("the group has %d members, want one for each daemon", len(members))
	}
	for _, m := range members {
		if m.ID == id && !m.Learner && m.Lag == 0 {
			return nil
		}
	}
	return fmt.Errorf("%s is not an up-to-date voter yet", localsite.DaemonName(i))
}

// TestCrashingRequest guards against a request that crashes every runner that
// executes it: it is quarantined after at most two crashes, however often its
// caller resends it.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	site := newTestSite(t)
	site.startRunner("runner-3")
	site.startRunner("runner-4")
	for _, x := range site.runners {
		x.SetFaultPlan(standin.FaultPlan{CrashOn: "poison"})
	}
	site.retryUntil("a quarantine", func() error {
		_, err := site.streamCompletion(0, "", prompt("poison"))
		require.Error(t, err)
		if k := fault.From(err).Kind; k != fault.Quarantined {
			return fmt.Errorf("the request was refused with %s", k)
		}
		return nil
	})
	require.LessOrEqual(t, site.closedRunners.Load(), int32(2))
	text, err := site.streamCompletion(1, "", prompt("innocent"))
	requireCompleteAnswer(t, "innocent", text, err)
	site.requirePromisesKept()
}
