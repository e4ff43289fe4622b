package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/internal/daemon"
	"github.com/verbenastep/verbenastep/internal/settings"
)

const (
	// daemonCount is how many daemons run; each keeps the durable state.
	daemonCount = 3
	// portsEach is how many addresses a daemon has.
	portsEach = 4
	// stopTimeout bounds a graceful shutdown; it exceeds the request timeout of
	// the embedded configuration, after which no request is in flight.
	stopTimeout = 18 * time.Second
	// operatorKey and upstreamKey are credentials of the demonstration alone.
	operatorKey = "demo-operator"
	upstreamKey = "demo-upstream"
)

// places are where the daemons are.
var places = [daemonCount]struct{ region, dataCentre string }{
	{"gauteng", "jhb-north"},
	{"gauteng", "pta-east"},
	{"western-cape", "cpt-south"},
}

// site is the daemons of one run.
type site struct {
	settings []*settings.Settings
	daemons  []*daemon.Daemon

	mu      sync.Mutex
	stopped []bool
}

// newSite prepares the settings of three daemons on free loopback ports.
func newSite(folder string) (*site, error) {
	ports, err := freePorts(daemonCount * portsEach)
	if err != nil {
		return nil, err
	}
	s := &site{stopped: make([]bool, daemonCount)}
	replicas := []settings.Peer{}
	seeds := []string{}
	for i := range daemonCount {
		peers := ports[i*portsEach+1]
		replicas = append(replicas, settings.Peer{Name: name(i), Address: peers})
		seeds = append(seeds, peers)
	}
	for i, p := range places {
		mine := ports[i*portsEach:]
		set := &settings.Settings{
			Name: name(i), Region: p.region, DataCentre: p.dataCentre,
			Addresses:  settings.Addresses{Callers: mine[0], Peers: mine[1], Upstreams: mine[2], Admin: mine[3]},
			Roles:      []settings.Role{settings.Replica},
			DataFolder: filepath.Join(folder, name(i)),
			Replicas:   replicas, Seeds: seeds,
			OperatorKeys: []string{hashedKey(operatorKey)}, UpstreamKeys: []string{hashedKey(upstreamKey)},
		}
		checked, err := recheck(set)
		if err != nil {
			return nil, err
		}
		s.settings = append(s.settings, checked)
	}
	return s, nil
}

// recheck passes settings through the same checks as a daemon's file.
func recheck(set *settings.Settings) (*settings.Settings, error) {
	data, err := json.Marshal(set)
	if err != nil {
		return nil, err
	}
	return settings.Parse(set.Name, data)
}

func name(i int) string { return fmt.Sprintf("daemon-%d", i+1) }

func hashedKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// freePorts asks the system for loopback ports that nobody listens on.
func freePorts(n int) ([]string, error) {
	out := []string{}
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

// start starts all daemons at once.
func (s *site) start(ctx context.Context, log *zap.Logger, rec *recorder) error {
	errs := make([]error, daemonCount)
	wait := sync.WaitGroup{}
	for i, set := range s.settings {
		d, err := daemon.New(set, log)
		if err != nil {
			return err
		}
		d.Observe(rec.record)
		s.daemons = append(s.daemons, d)
		wait.Go(func() { errs[i] = d.Start(ctx) })
	}
	wait.Wait()
	return errors.Join(errs...)
}

// drain stops one daemon gracefully; a second call does nothing.
func (s *site) drain(ctx context.Context, i int) error {
	s.mu.Lock()
	again := s.stopped[i]
	s.stopped[i] = true
	s.mu.Unlock()
	if again {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := s.daemons[i].Stop(ctx); err != nil {
		return fmt.Errorf("%s did not stop gracefully: %w", name(i), err)
	}
	return nil
}

// end stops all daemons that still run without a drain: nobody uses them any
// more.
func (s *site) end() {
	wait := sync.WaitGroup{}
	for i, d := range s.daemons {
		s.mu.Lock()
		again := s.stopped[i]
		s.stopped[i] = true
		s.mu.Unlock()
		if !again {
			wait.Go(d.Kill)
		}
	}
	wait.Wait()
}

// callers lists the callers' addresses.
func (s *site) callers() []string {
	out := []string{}
	for _, set := range s.settings {
		out = append(out, set.Addresses.Callers)
	}
	return out
}

// upstreams lists the upstreams' addresses.
func (s *site) upstreams() []string {
	out := []string{}
	for _, set := range s.settings {
		out = append(out, set.Addresses.Upstreams)
	}
	return out
}
