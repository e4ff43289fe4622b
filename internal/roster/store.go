package roster

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/roster"
	"github.com/verbenastep/verbenastep/internal/wait"
	"github.com/verbenastep/verbenastep/internal/wal"
)

const (
	// rosterFile is where the roster is kept below the data folder.
	rosterFile = "roster.json"
	// keepPause is the least time between two writes.
	keepPause = time.Second
)

// store keeps the roster on disk, so that a daemon that comes back knows the
// upstreams before their next heartbeats. It is a hint: an upstream is used only
// if its process answers under its id.
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

// recall takes the kept roster. Its upstreams count as silent until they are
// heard of.
func (s *Service) recall() {
	list, err := s.store.load()
	if err != nil {
		s.log.Info("kept roster is not used; upstreams are learned from their heartbeats", zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	silent := s.now() - time.Duration(s.set.Routing.HeartbeatMS)*time.Millisecond*(roster.SilentAfter+1)
	for _, e := range list {
		e.Heard = silent
		s.core.Take(e)
	}
	s.log.Info("roster recalled", zap.Int("upstreams", len(list)))
}

// keep writes the roster after changes.
func (s *Service) keep() {
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
			s.log.Info("keeping the roster failed or works again", zap.Bool("failing", failing), zap.Error(err))
		}
		wait.For(s.ctx, keepPause)
	}
}
