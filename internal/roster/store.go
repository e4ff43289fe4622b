package roster

import (
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
)

// store saves the roster on disk, so that a restarted daemon knows the upstreams
// before their next heartbeats. The stored roster may be outdated; this is safe
// because an upstream is used only if its process answers under its id.
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

// storeChanges writes the roster after each change until the service stops.
func (s *Service) storeChanges() {
	failing := false
	changed := s.Changed()
	for {
		select {
		case <-changed:
		case <-s.ctx.Done():
			return
		}
		changed = s.Changed()
		list := []roster.Entry{}
		for _, e := range s.All() {
			list = append(list, e.Entry)
		}
		err := s.store.save(list)
		if failed := err != nil; failed != failing {
			failing = failed
			s.log.Info("roster storage state changed", zap.Bool("failing", failing), zap.Error(err))
		}
		wait.Sleep(s.ctx, storeInterval)
	}
}
