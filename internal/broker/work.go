package broker

import (
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/internal/clock"
)

// work is what a daemon has done since it began to lead. The times are on the clock: on a busy
// processor they include the wait for it.
type work struct {
	since     time.Time
	processor time.Duration
	// entries and offers count the entries that offered all their requests, and the requests.
	entries int
	offers  int
	// messages counts those of entries, handling is the time to handle them.
	messages int
	handling time.Duration
	// rounds counts rounds of decisions.
	rounds       int
	deciding     time.Duration
	longestRound time.Duration
	// rosters counts full rosters sent to entries.
	rosters int
}

func beginWork() work { return work{since: time.Now(), processor: clock.Processor()} }

// addMessage counts a message of an entry whose handling began at a time.
func (w *work) addMessage(ask *rpc.BrokerAsk, began time.Time) {
	w.messages++
	w.offers += len(ask.Offers)
	w.handling += time.Since(began)
	if ask.Complete {
		w.entries++
	}
}

func (w *work) addRound(took time.Duration) {
	w.rounds++
	w.deciding += took
	w.longestRound = max(w.longestRound, took)
}

// fields describes the work for the log.
func (w *work) fields() []zap.Field {
	return []zap.Field{
		zap.Duration("led_for", time.Since(w.since)), zap.Duration("processor", clock.Processor()-w.processor),
		zap.Int("entries_taken_over", w.entries), zap.Int("offers", w.offers), zap.Int("messages", w.messages), zap.Duration("handling", w.handling),
		zap.Int("rounds", w.rounds), zap.Duration("deciding", w.deciding), zap.Duration("longest_round", w.longestRound), zap.Int("full_rosters", w.rosters),
	}
}
