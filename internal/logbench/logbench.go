// Package logbench measures the replicated log: replicas with real files and
// real syncs in one process, joined over loopback.
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
	// replicas is the size of the measured group.
	replicas = 3
	// readyWithin bounds the group's begin.
	readyWithin = 20 * time.Second
	// stopWithin bounds a replica's stop.
	stopWithin = 5 * time.Second
)

// Config says where and how long to measure.
type Config struct {
	// Folder holds the files; it must be on the disk to be measured.
	Folder string
	// Port is the first of six loopback TCP ports.
	Port int
	// Run is the time of each measurement.
	Run time.Duration
}

// node is one replica with its client.
type node struct {
	kernel *kernel.Kernel
	client *logclient.Service
	name   string
}

// cluster is a running group.
type cluster struct {
	nodes []*node
	set   []*settings.Settings
	each  bool
}

// startCluster begins a group in a folder; an existing one goes on.
func startCluster(cfg Config, folder string, each bool) (*cluster, error) {
	c := &cluster{each: each}
	peers := []settings.Peer{}
	for i := range replicas {
		peers = append(peers, settings.Peer{Name: fmt.Sprintf("replica-%d", i+1), Address: fmt.Sprintf("127.0.0.1:%d", cfg.Port+i)})
	}
	for _, p := range peers {
		c.set = append(c.set, &settings.Settings{
			Name: p.Name, Region: "region", DataCentre: "data-centre", Replicas: peers,
			Addresses: settings.Addresses{Peers: p.Address}, Roles: []settings.Role{settings.Replica},
			DataFolder: filepath.Join(folder, p.Name),
		})
	}
	for i := range c.set {
		n, err := c.startNode(i)
		if err != nil {
			return nil, err
		}
		c.nodes = append(c.nodes, n)
	}
	return c, c.ready()
}

func (c *cluster) startNode(i int) (*node, error) {
	set := c.set[i]
	log := zap.NewNop()
	joined := link.New(set, log)
	store := replica.New(set, log)
	store.SyncEach = c.each
	n := &node{kernel: kernel.New(), client: logclient.New(set, log), name: set.Name}
	for _, s := range []kernel.Service{joined, store, n.client, metrics.New(), eventlog.New(port.Holder{Name: set.Name})} {
		if err := n.kernel.Register(s); err != nil {
			return nil, err
		}
	}
	if err := n.kernel.Start(context.Background()); err != nil {
		return nil, err
	}
	joined.Serve()
	return n, nil
}

// ready waits for the first commit.
func (c *cluster) ready() error {
	deadline := time.Now().Add(readyWithin)
	for {
		_, err := c.nodes[0].client.Propose(context.Background(), port.GroupMain, state.Command{Trim: &state.Trim{}})
		if err == nil || time.Now().After(deadline) {
			return err
		}
	}
}

// stop ends all replicas.
func (c *cluster) stop() {
	all := sync.WaitGroup{}
	for _, n := range c.nodes {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
			defer cancel()
			_ = n.kernel.Stop(ctx)
		})
	}
	all.Wait()
}

// leader returns the index of the leading node, or -1.
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

// claim makes the command whose commits are measured: what an entry commits
// before it dispatches.
func claim(number int64) state.Command {
	return state.Command{Claim: &state.Claim{
		Workspace: "workspace", Key: fmt.Sprintf("key-%d", number), Digest: "sha256:0000000000000000000000000000000000000000000000000000000000000000",
		Entry: "127.0.0.1:7201", Pool: "logbook", Upstream: "runner-1", Address: "127.0.0.1:9001",
		Stream: fmt.Sprintf("stream-%d", number), AtMS: time.Now().UnixMilli(),
	}}
}

// Run measures and returns the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	folder, err := os.MkdirTemp(cfg.Folder, "bench-log-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	r := &Report{Started: time.Now().UTC(), Run: cfg.Run}
	for _, each := range []bool{true, false} {
		if err := r.commits(ctx, cfg, filepath.Join(folder, fmt.Sprintf("each-%t", each)), each); err != nil {
			return nil, err
		}
	}
	if err := r.failover(cfg, filepath.Join(folder, "failover")); err != nil {
		return nil, err
	}
	return r, r.restart(filepath.Join(folder, "restart"))
}

// commits measures commits at each number in flight.
func (r *Report) commits(ctx context.Context, cfg Config, folder string, each bool) error {
	c, err := startCluster(cfg, folder, each)
	if err != nil {
		return err
	}
	defer c.stop()
	number := atomic.Int64{}
	for _, inflight := range []int{1, 16, 256} {
		row, err := drive(ctx, c.nodes[0].client, &number, inflight, cfg.Run)
		if err != nil {
			return err
		}
		row.SyncEach = each
		r.Commits = append(r.Commits, row)
	}
	return nil
}
