package roster

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/roster"
	"github.com/verbenastep/verbenastep/internal/settings"
	"github.com/verbenastep/verbenastep/internal/wait"
	"github.com/verbenastep/verbenastep/internal/wal"
)

const (
	// rosterFile is the name of the stored roster in the data folder.
	rosterFile = "roster.json"
	// storeInterval is the shortest time between two writes.
	storeInterval = time.Second
	// storeRetryDelay is the delay after a failed write, also while a departure waits for it.
	storeRetryDelay = 200 * time.Millisecond
)

// store saves the roster on disk, so that a restarted daemon knows the upstreams
// before their next heartbeats. The stored roster may be outdated, but for departures
// that were acknowledged; this is safe because an upstream is used only if its process
// answers under its id.
type store struct{ folder string }

func (s *store) save(list []roster.Entry) error {
	data, err := json.Marshal(list)
	if err != nil {
		return err
	}
	disk, err := wal.OpenFolder(s.folder)
	if err != nil {
		return err
	}
	return wal.WriteFile(disk, rosterFile, data)
}

func (s *store) load() ([]roster.Entry, error) {
	data, err := os.ReadFile(filepath.Join(s.folder, rosterFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	list := []roster.Entry{}
	return list, json.Unmarshal(data, &list)
}

// load merges the stored roster. Its upstreams count as silent until their next
// heartbeats.
func (s *Service) load() {
	list, err := s.store.load()
	if err != nil {
		s.log.Info("stored roster not loaded; upstreams are unknown until their next heartbeats", zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	silentSince := s.now() - settings.Milliseconds(s.set.Routing.HeartbeatMS)*(roster.SilentAfter+1)
	for _, e := range list {
		e.Heard = silentSince
		if s.isUsable(e, "stored roster") {
			s.core.Merge(e)
		}
	}
	s.log.Info("stored roster loaded", zap.Int("upstreams", len(list)))
}

// storeChanges writes the roster after each change until the service stops. A failed write is
// repeated.
func (s *Service) storeChanges() {
	failing := false
	for s.awaitChange() {
		revision, list := s.snapshot()
		err := s.store.save(list)
		if failed := err != nil; failed != failing {
			failing = failed
			s.log.Info("roster storage state changed", zap.Bool("failing", failing), zap.Error(err))
		}
		if err == nil {
			s.recordStored(revision)
		}
		interval := time.NewTimer(storeInterval)
		select {
		case <-s.urgent:
		case <-interval.C:
		case <-s.ctx.Done():
		}
		interval.Stop()
		if failing {
			wait.Sleep(s.ctx, storeRetryDelay)
		}
	}
}

// awaitChange waits until there is a change that is not on disk. It returns false once the service
// stops.
func (s *Service) awaitChange() bool {
	for s.ctx.Err() == nil {
		s.mu.Lock()
		isStored, changed := s.storedRevision == s.revision, s.changed
		s.mu.Unlock()
		if !isStored {
			return true
		}
		select {
		case <-changed:
		case <-s.ctx.Done():
		}
	}
	return false
}

// snapshot returns the entries and the revision that they have.
func (s *Service) snapshot() (revision uint64, list []roster.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, s.core.All(s.now())
}

// recordStored records that a revision is on disk.
func (s *Service) recordStored(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storedRevision = revision
	close(s.stored)
	s.stored = make(chan struct{})
	for _, c := range s.departures {
		if c.revision <= revision {
			c.add(s.set.Addresses.Peers)
		}
	}
}

// awaitStored waits until a revision is on disk, up to limit. It reports whether it is.
func (s *Service) awaitStored(ctx context.Context, revision uint64, limit time.Duration) bool {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		isStored, stored := s.storedRevision >= revision, s.stored
		s.mu.Unlock()
		if isStored {
			return true
		}
		wait.Notify(s.urgent)
		select {
		case <-stored:
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		case <-s.ctx.Done():
			return false
		}
	}
}
