package replica

import (
	"encoding/json"
	"runtime"
	"sync"

	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/core/state"
)

// minEntriesPerWorker is the number of entries below which another goroutine
// costs more than it saves.
const minEntriesPerWorker = 64

// DecodedEntry is the decoded command of a log entry.
type DecodedEntry struct {
	Command state.Command
	// IsCommand reports that the entry contains a command. A command that can't be
	// decoded is empty, which has no effect on any replica.
	IsCommand bool
}

// DecodeCommands decodes the commands of log entries, in parallel if there are many.
// An entry for which known returns a command is not decoded; known must be safe
// for concurrent use.
func DecodeCommands(entries []consensus.Entry, known func(consensus.Entry) (state.Command, bool)) []DecodedEntry {
	out := make([]DecodedEntry, len(entries))
	perWorker := max(minEntriesPerWorker, (len(entries)+runtime.GOMAXPROCS(0)-1)/runtime.GOMAXPROCS(0))
	if len(entries) <= perWorker {
		decodeInto(out, entries, known)
		return out
	}
	workers := sync.WaitGroup{}
	for first := 0; first < len(entries); first += perWorker {
		last := min(first+perWorker, len(entries))
		workers.Go(func() { decodeInto(out[first:last], entries[first:last], known) })
	}
	workers.Wait()
	return out
}

func decodeInto(out []DecodedEntry, entries []consensus.Entry, known func(consensus.Entry) (state.Command, bool)) {
	for i, e := range entries {
		if e.Kind != consensus.EntryCommand {
			continue
		}
		out[i].IsCommand = true
		c, ok := known(e)
		if !ok && json.Unmarshal(e.Data, &c) != nil {
			c = state.Command{}
		}
		out[i].Command = c
	}
}
