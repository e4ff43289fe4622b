package broker

import (
	"math"
	"time"

	"github.com/verbenastep/verbenastep/internal/work"
)

// levelNews is the change of what is left of a quota, as a part of it, that
// entries are told of: a fifth of the tenth by which quotas may be exceeded.
const levelNews = 0.02

// tellLevels tells the entries what is left of the workspaces' quotas, for the
// time without a broker and for the next one; the lock is held. An entry gets
// all of it once, then what changes.
func (s *Service) tellLevels() {
	if time.Since(s.levels) < levelsEvery {
		return
	}
	s.levels = time.Now()
	changed := s.reply()
	changed.Quotas = work.EncodeLevels(levelChanges(s.toldLevels, s.core.Levels(s.now())))
	whole := s.reply()
	whole.QuotasSet = true
	whole.Quotas = work.EncodeLevels(s.toldLevels)
	for _, x := range s.sessions {
		switch {
		case !x.levels:
			x.levels = true
			x.send(whole)
		case len(changed.Quotas) > 0:
			x.send(changed)
		}
	}
}

// levelChanges brings what was told up to date and returns what is new in it. A
// workspace that is not listed has its whole quota.
func levelChanges(told, now map[string]float64) map[string]float64 {
	out := map[string]float64{}
	for name, left := range now {
		if old, known := told[name]; !known || math.Abs(old-left) > levelNews {
			told[name], out[name] = left, left
		}
	}
	for name := range told {
		if _, short := now[name]; !short {
			delete(told, name)
			out[name] = 1
		}
	}
	return out
}
