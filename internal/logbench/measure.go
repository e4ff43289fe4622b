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

// drive keeps a number of claims in flight for a time.
func drive(ctx context.Context, client *logclient.Service, number *atomic.Int64, inflight int, run time.Duration) (CommitRow, error) {
	ctx, cancel := context.WithTimeout(ctx, run+10*time.Second)
	defer cancel()
	end := time.Now().Add(run)
	mu := sync.Mutex{}
	times := []time.Duration{}
	failed := error(nil)
	all := sync.WaitGroup{}
	began := time.Now()
	for range inflight {
		all.Go(func() {
			mine := []time.Duration{}
			err := error(nil)
			for err == nil && time.Now().Before(end) {
				sent := time.Now()
				_, err = client.Propose(ctx, port.GroupMain, claim(number.Add(1)))
				mine = append(mine, time.Since(sent))
			}
			mu.Lock()
			defer mu.Unlock()
			times = append(times, mine...)
			if err != nil {
				failed = err
			}
		})
	}
	all.Wait()
	took := time.Since(began)
	slices.Sort(times)
	row := CommitRow{InFlight: inflight, Commits: len(times), PerSecond: float64(len(times)) / took.Seconds()}
	if len(times) > 0 {
		row.P50 = times[len(times)/2]
		row.P99 = times[len(times)*99/100]
	}
	return row, failed
}

// failovers is how many leaders are stopped without warning.
const failovers = 5

// failover cuts leaders off and measures until the next commit.
func (r *Report) failover(cfg Config, folder string) error {
	c, err := startCluster(cfg, folder, false)
	if err != nil {
		return err
	}
	defer c.stop()
	number := atomic.Int64{}
	for range failovers {
		lead := c.leader()
		if lead < 0 {
			return fmt.Errorf("no leader was found; run again on a less busy machine")
		}
		client := c.nodes[(lead+1)%replicas].client
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		began := time.Now()
		// A context that has ended leaves no time for a handover: the leader
		// goes as in a crash.
		_ = c.nodes[lead].kernel.Stop(ctx)
		for {
			_, err := client.Propose(context.Background(), port.GroupMain, claim(number.Add(1)))
			if err == nil {
				break
			}
			if time.Since(began) > readyWithin {
				return err
			}
		}
		r.Failover = append(r.Failover, time.Since(began))
		if c.nodes[lead], err = c.startNode(lead); err != nil {
			return err
		}
		// The restarted replica must count again before the next is stopped.
		time.Sleep(settle)
	}
	slices.Sort(r.Failover)
	return nil
}

// settle is the wait between two failovers.
const settle = 2 * time.Second

// Sizes of the restart measurement, in entries.
const (
	snapshotClaims = 10_000
	behindSnapshot = 100_000
	entriesAWrite  = 1_000
	// entriesApplied is about what a replica applies at a time.
	entriesApplied = 10_000
)

// restart measures reading a log of many entries behind a snapshot.
func (r *Report) restart(folder string) error {
	disk, err := wal.OpenFolder(folder)
	if err != nil {
		return err
	}
	if err := fill(disk); err != nil {
		return err
	}
	began := time.Now()
	log, saved, data, err := wal.Open(disk, port.GroupMain, "replica-1", 1)
	if err != nil {
		return err
	}
	defer log.Close()
	r.RestartRead = time.Since(began)
	machine := state.New()
	if err := machine.Restore(data); err != nil {
		return err
	}
	none := func(consensus.Entry) (state.Command, bool) { return state.Command{}, false }
	for part := range slices.Chunk(saved.Entries, entriesApplied) {
		for _, d := range replica.DecodeCommands(part, none) {
			machine.Apply(d.Command)
		}
	}
	r.Restart = time.Since(began)
	r.RestartEntries = len(saved.Entries)
	if machine.ClaimCount() != snapshotClaims+behindSnapshot {
		return fmt.Errorf("the restarted state holds %d claims in place of %d", machine.ClaimCount(), snapshotClaims+behindSnapshot)
	}
	return nil
}

// fill writes a snapshot and the entries behind it.
func fill(disk wal.Disk) error {
	log, _, _, err := wal.Open(disk, port.GroupMain, "replica-1", 1)
	if err != nil {
		return err
	}
	defer log.Close()
	machine := state.New()
	for i := range int64(snapshotClaims) {
		machine.Apply(claim(i))
	}
	data, err := machine.Snapshot()
	if err != nil {
		return err
	}
	meta := consensus.SnapshotMeta{Index: snapshotClaims, Term: 1, Size: uint64(len(data))}
	if err := wal.WriteSnapshot(disk, consensus.Snapshot{Meta: meta, Data: data}); err != nil {
		return err
	}
	for first := int64(snapshotClaims); first < snapshotClaims+behindSnapshot; first += entriesAWrite {
		entries := []consensus.Entry{}
		for i := first; i < first+entriesAWrite; i++ {
			data, err := json.Marshal(claim(i))
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
