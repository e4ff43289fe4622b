// Package logbench benchmarks the replicated log: commit throughput and latency,
// failover and restart. Its replicas run in one process, write and sync real
// files and communicate over loopback TCP. The command "verbenastep bench-log"
// runs it.
package logbench

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/eventlog"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/link"
	"github.com/verbenastep/verbenastep/internal/logclient"
	"github.com/verbenastep/verbenastep/internal/metrics"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/replica"
	"github.com/verbenastep/verbenastep/internal/settings"
)

const (
	// replicaCount is the size of the measured group.
	replicaCount = 3
	// readyTimeout bounds the time to the first commit after a start or failover.
	readyTimeout = 20 * time.Second
	// stopTimeout bounds a replica's graceful stop.
	stopTimeout = 5 * time.Second
)

// Config sets where and how long to measure.
type Config struct {
	// Folder is where temporary files are created; its disk is the one measured.
	// Empty means the system's folder for temporary files.
	Folder string
	// Port is the first of three consecutive loopback TCP ports.
	Port int
	// CommitTime is the duration of each measurement of commits.
	CommitTime time.Duration
}

// node is one replica with its client.
type node struct {
	kernel *kernel.Kernel
	client *logclient.Service
	name   string
}

// cluster is a running group of replicas.
type cluster struct {
	nodes    []*node
	settings []*settings.Settings
	// syncEach makes each entry a write and sync of its own, without group commit.
	syncEach bool
}

// startCluster starts a group whose files are in a folder, continuing with the
// files that are there, and waits for its first commit.
func startCluster(cfg Config, folder string, syncEach bool) (*cluster, error) {
	c := &cluster{syncEach: syncEach}
	peers := []settings.Peer{}
	for i := range replicaCount {
		peers = append(peers, settings.Peer{Name: fmt.Sprintf("replica-%d", i+1), Address: fmt.Sprintf("127.0.0.1:%d", cfg.Port+i)})
	}
	for _, p := range peers {
		c.settings = append(c.settings, &settings.Settings{
			Name: p.Name, Region: "region", DataCentre: "data-centre", Replicas: peers,
			Addresses: settings.Addresses{Peers: p.Address}, Roles: []settings.Role{settings.Replica},
			DataFolder: filepath.Join(folder, p.Name),
		})
	}
	for i := range c.settings {
		n, err := c.startNode(i)
		if err != nil {
			return nil, err
		}
		c.nodes = append(c.nodes, n)
	}
	return c, c.waitReady()
}

// startNode starts the replica with an index, with a kernel of its own.
func (c *cluster) startNode(i int) (*node, error) {
	nodeSettings := c.settings[i]
	log := zap.NewNop()
	peerLink := link.New(nodeSettings, log)
	store := replica.New(nodeSettings, log)
	store.SyncEach = c.syncEach
	n := &node{kernel: kernel.New(), client: logclient.New(nodeSettings, log), name: nodeSettings.Name}
	for _, s := range []kernel.Service{peerLink, store, n.client, metrics.New(), eventlog.New(port.Holder{Name: nodeSettings.Name})} {
		if err := n.kernel.Register(s); err != nil {
			return nil, err
		}
	}
	if err := n.kernel.Start(context.Background()); err != nil {
		return nil, err
	}
	peerLink.Serve()
	return n, nil
}

// waitReady waits up to readyTimeout for the first commit.
func (c *cluster) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for {
		_, err := c.nodes[0].client.Propose(context.Background(), port.GroupMain, state.Command{Trim: &state.Trim{}})
		if err == nil || time.Now().After(deadline) {
			return err
		}
	}
}

// stop stops all replicas in parallel.
func (c *cluster) stop() {
	wg := sync.WaitGroup{}
	for _, n := range c.nodes {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			_ = n.kernel.Stop(ctx)
		})
	}
	wg.Wait()
}

// leader returns the index of the leader's node, or -1 if none is known.
func (c *cluster) leader() int {
	for _, st := range c.nodes[0].client.Status(context.Background(), port.GroupMain) {
		for i, n := range c.nodes {
			if st.Role == "leader" && st.Name == n.name {
				return i
			}
		}
	}
	return -1
}

// claimCommand returns the command whose commits are measured: a claim as an
// entry commits it before it dispatches a request.
func claimCommand(number int64) state.Command {
	return state.Command{Claim: &state.Claim{
		Workspace: "workspace", Key: fmt.Sprintf("key-%d", number), Digest: "sha256:0000000000000000000000000000000000000000000000000000000000000000",
		Entry: "127.0.0.1:7201", Pool: "logbook", Upstream: "runner-1", Address: "127.0.0.1:9001",
		Stream: fmt.Sprintf("stream-%d", number), AtMS: time.Now().UnixMilli(),
	}}
}

// Run measures commits with and without group commit, failover and restart. It
// removes its files before it returns.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	folder, err := os.MkdirTemp(cfg.Folder, "bench-log-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	r := &Report{Started: time.Now().UTC(), CommitTime: cfg.CommitTime}
	for _, syncEach := range []bool{true, false} {
		if err := r.measureCommits(ctx, cfg, filepath.Join(folder, fmt.Sprintf("each-%t", syncEach)), syncEach); err != nil {
			return nil, err
		}
	}
	if err := r.measureFailover(cfg, filepath.Join(folder, "failover")); err != nil {
		return nil, err
	}
	return r, r.measureRestart(filepath.Join(folder, "restart"))
}

// measureCommits measures commits with 1, 16 and 256 in flight.
func (r *Report) measureCommits(ctx context.Context, cfg Config, folder string, syncEach bool) error {
	c, err := startCluster(cfg, folder, syncEach)
	if err != nil {
		return err
	}
	defer c.stop()
	number := atomic.Int64{}
	for _, inFlight := range []int{1, 16, 256} {
		row, err := commitConcurrently(ctx, c.nodes[0].client, &number, inFlight, cfg.CommitTime)
		if err != nil {
			return err
		}
		row.SyncEach = syncEach
		r.Commits = append(r.Commits, row)
	}
	return nil
}
