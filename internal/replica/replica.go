// Package replica keeps the replicated log on disk and serves it to the other
// daemons.
package replica

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/kernel"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// leaseTTL is how long a lease holds without renewal.
const leaseTTL = 2 * time.Second

// Service is the "log.replica" service: a log of one replica.
type Service struct {
	rpc.DRPCLogUnimplementedServer
	set *settings.Settings
	log *zap.Logger

	mu      sync.Mutex
	file    *os.File
	machine *state.Machine
	index   uint64
	renewed map[string]time.Time
	changed chan struct{}
	stop    chan struct{}
	done    sync.WaitGroup
}

// New returns the service.
func New(set *settings.Settings, log *zap.Logger) *Service {
	return &Service{
		set: set, log: log.Named("replica"), machine: state.New(),
		renewed: map[string]time.Time{}, changed: make(chan struct{}), stop: make(chan struct{}),
	}
}

// Name returns the service's name.
func (s *Service) Name() string { return port.NameReplica }

// Needs returns the link.
func (s *Service) Needs() []string { return []string{port.NameLink} }

// Start replays the log.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	link, err := kernel.Find[port.Link](k, port.NameLink)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(s.set.DataFolder, 0o700); err != nil {
		return err
	}
	path := filepath.Join(s.set.DataFolder, "log.jsonl")
	if err := s.replay(path); err != nil {
		return err
	}
	s.file, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	s.done.Go(s.expireLoop)
	return rpc.DRPCRegisterLog(link.Mux(), s)
}

func (s *Service) replay(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 64<<20)
	for lines.Scan() {
		c := state.Command{}
		if err := json.Unmarshal(lines.Bytes(), &c); err != nil {
			return err
		}
		s.machine.Apply(c)
		s.index++
	}
	for name := range s.machine.Leases() {
		s.renewed[name] = time.Now()
	}
	return lines.Err()
}

// Propose commits a command.
func (s *Service) Propose(_ context.Context, req *rpc.ProposeRequest) (*rpc.ProposeReply, error) {
	c := state.Command{}
	if err := json.Unmarshal(req.Command, &c); err != nil {
		return nil, fault.New(fault.Malformed, "send a command as documented", "%v", err)
	}
	result, index, err := s.commit(c)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(result)
	return &rpc.ProposeReply{Result: data, Index: index}, err
}

func (s *Service) commit(c state.Command) (state.Result, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Acquire != nil && s.machine.Lease(c.Acquire.Name).Holder == c.Acquire.Holder {
		s.renewed[c.Acquire.Name] = time.Now()
		return s.machine.Apply(c), s.index, nil
	}
	data, err := json.Marshal(c)
	if err != nil {
		return state.Result{}, 0, err
	}
	if _, err := s.file.Write(append(data, '\n')); err != nil {
		return state.Result{}, 0, err
	}
	if err := s.file.Sync(); err != nil {
		return state.Result{}, 0, err
	}
	s.index++
	if c.Acquire != nil {
		s.renewed[c.Acquire.Name] = time.Now()
	}
	result := s.machine.Apply(c)
	if c.Claim == nil && c.Finish == nil {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return result, s.index, nil
}

// Lookup reads a claim.
func (s *Service) Lookup(_ context.Context, req *rpc.LookupRequest) (*rpc.LookupReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.machine.Claim(req.Workspace, req.Key)
	if !ok {
		return &rpc.LookupReply{}, nil
	}
	data, err := json.Marshal(c)
	return &rpc.LookupReply{Found: true, Claim: data}, err
}

// Watch streams changes until the caller goes away.
func (s *Service) Watch(req *rpc.WatchRequest, stream rpc.DRPCLog_WatchStream) error {
	version, digest := req.Version, req.Digest
	for {
		s.mu.Lock()
		delta, has := s.machine.DeltaSince(version, digest)
		leases := s.machine.Leases()
		suspects := s.machine.Suspects()
		changed := s.changed
		s.mu.Unlock()
		update := &rpc.WatchUpdate{Full: true}
		if has {
			update.Config, _ = json.Marshal(delta)
			version, digest = delta.Version, delta.Digest
		}
		for _, l := range leases {
			data, _ := json.Marshal(l)
			update.Leases = append(update.Leases, data)
		}
		for _, x := range suspects {
			data, _ := json.Marshal(x)
			update.Suspects = append(update.Suspects, data)
		}
		if err := stream.Send(update); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-time.After(500 * time.Millisecond):
		case <-stream.Context().Done():
			return nil
		case <-s.stop:
			return nil
		}
	}
}

func (s *Service) expireLoop() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(leaseTTL / 8):
		}
		for _, l := range s.lapsed() {
			_, _, err := s.commit(state.Command{Expire: &state.Expire{Name: l.Name, Epoch: l.Epoch}})
			if err != nil {
				s.log.Error("lease could not be expired", zap.String("lease", l.Name), zap.Error(err))
			}
		}
	}
}

func (s *Service) lapsed() []state.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []state.Lease{}
	for name, l := range s.machine.Leases() {
		if l.Holder != "" && time.Since(s.renewed[name]) > leaseTTL {
			out = append(out, l)
		}
	}
	return out
}

// Stop closes the log.
func (s *Service) Stop(context.Context) error {
	close(s.stop)
	s.done.Wait()
	return s.file.Close()
}

// Health returns nil while the log is open.
func (s *Service) Health() error { return nil }

// Dump shows the log's position.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	version, digest, _ := s.machine.Config()
	return struct {
		Index   uint64 `json:"index"`
		Version uint64 `json:"config_version"`
		Digest  string `json:"config_digest"`
		Claims  int    `json:"claims"`
	}{s.index, version, digest, s.machine.Claims()}
}
