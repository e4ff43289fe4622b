package logbench

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/logclient"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/replica"
	"github.com/verbenastep/verbenastep/internal/wal"
)

// commitConcurrently commits claims from inFlight goroutines for a duration. It
// returns the figures along with the error of a failed commit; a goroutine stops
// at its first error.
func commitConcurrently(ctx context.Context, client *logclient.Service, number *atomic.Int64, inFlight int, duration time.Duration) (CommitRow, error) {
	ctx, cancel := context.WithTimeout(ctx, duration+10*time.Second)
	defer cancel()
	deadline := time.Now().Add(duration)
	mu := sync.Mutex{}
	latencies := []time.Duration{}
	commitErr := error(nil)
	wg := sync.WaitGroup{}
	start := time.Now()
	for range inFlight {
		wg.Go(func() {
			own := []time.Duration{}
			err := error(nil)
			for err == nil && time.Now().Before(deadline) {
				sent := time.Now()
				_, err = client.Propose(ctx, port.GroupMain, claimCommand(number.Add(1)))
				own = append(own, time.Since(sent))
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, own...)
			if err != nil {
				commitErr = err
			}
		})
	}
	wg.Wait()
	elapsed := time.Since(start)
	slices.Sort(latencies)
	row := CommitRow{InFlight: inFlight, Commits: len(latencies), PerSecond: float64(len(latencies)) / elapsed.Seconds()}
	if len(latencies) > 0 {
		row.P50 = latencies[len(latencies)/2]
		row.P99 = latencies[len(latencies)*99/100]
	}
	return row, commitErr
}

// failoverCount is how many leaders are stopped without a handover.
const failoverCount = 5

// measureFailover stops leaders without a handover and measures the time until
// the next commit succeeds at another replica.
func (r *Report) measureFailover(cfg Config, folder string) error {
	c, err := startCluster(cfg, folder, false)
	if err != nil {
		return err
	}
	defer c.stop()
	number := atomic.Int64{}
	for range failoverCount {
		leader := c.leader()
		if leader < 0 {
			return fmt.Errorf("no replica of the group is the leader; run again on a less busy machine")
		}
		client := c.nodes[(leader+1)%replicaCount].client
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		start := time.Now()
		// With a context that has ended the leader stops without transferring
		// leadership, as in a crash.
		_ = c.nodes[leader].kernel.Stop(ctx)
		for {
			_, err := client.Propose(context.Background(), port.GroupMain, claimCommand(number.Add(1)))
			if err == nil {
				break
			}
			if time.Since(start) > readyTimeout {
				return err
			}
		}
		r.Failovers = append(r.Failovers, time.Since(start))
		if c.nodes[leader], err = c.startNode(leader); err != nil {
			return err
		}
		// The restarted replica must rejoin the quorum before the next leader is
		// stopped.
		time.Sleep(rejoinDelay)
	}
	slices.Sort(r.Failovers)
	return nil
}

// rejoinDelay is the wait between two failovers.
const rejoinDelay = 2 * time.Second

// Sizes of the restart measurement, in log entries.
const (
	claimsInSnapshot     = 10_000
	entriesAfterSnapshot = 100_000
	entriesPerWrite      = 1_000
	// entriesPerApply is about as many entries as a replica applies in one batch.
	entriesPerApply = 10_000
)

// measureRestart measures reading a snapshot and the log entries after it, and
// applying them.
func (r *Report) measureRestart(folder string) error {
	disk, err := wal.OpenFolder(folder)
	if err != nil {
		return err
	}
	if err := writeRestartLog(disk); err != nil {
		return err
	}
	start := time.Now()
	log, stored, data, err := wal.Open(disk, port.GroupMain, "replica-1", 1)
	if err != nil {
		return err
	}
	defer log.Close()
	r.RestartReadTime = time.Since(start)
	machine := state.New()
	if err := machine.Restore(data); err != nil {
		return err
	}
	noCache := func(consensus.Entry) (state.Command, bool) { return state.Command{}, false }
	for batch := range slices.Chunk(stored.Entries, entriesPerApply) {
		for _, d := range replica.DecodeCommands(batch, noCache) {
			machine.Apply(d.Command)
		}
	}
	r.RestartTime = time.Since(start)
	r.RestartEntries = len(stored.Entries)
	if machine.ClaimCount() != claimsInSnapshot+entriesAfterSnapshot {
		return fmt.Errorf("the restored state holds %d claims, expected %d; report it as a bug", machine.ClaimCount(), claimsInSnapshot+entriesAfterSnapshot)
	}
	return nil
}

// writeRestartLog writes a snapshot and the log entries after it.
func writeRestartLog(disk wal.Disk) error {
	log, _, _, err := wal.Open(disk, port.GroupMain, "replica-1", 1)
	if err != nil {
		return err
	}
	defer log.Close()
	machine := state.New()
	for i := range int64(claimsInSnapshot) {
		machine.Apply(claimCommand(i))
	}
	data, err := machine.Snapshot()
	if err != nil {
		return err
	}
	meta := consensus.SnapshotMeta{Index: claimsInSnapshot, Term: 1, Size: uint64(len(data))}
	if err := wal.WriteSnapshot(disk, consensus.Snapshot{Meta: meta, Data: data}); err != nil {
		return err
	}
	for first := int64(claimsInSnapshot); first < claimsInSnapshot+entriesAfterSnapshot; first += entriesPerWrite {
		entries := []consensus.Entry{}
		for i := first; i < first+entriesPerWrite; i++ {
			data, err := json.Marshal(claimCommand(i))
			if err != nil {
				return err
			}
			entries = append(entries, consensus.Entry{Term: 1, Index: uint64(i) + 1, Data: data})
		}
		if err := log.Save(&consensus.HardState{Term: 1}, entries); err != nil {
			return err
		}
	}
	return nil
}
