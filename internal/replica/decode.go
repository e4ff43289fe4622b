package replica

import (
	"encoding/json"
	"runtime"
	"sync"

	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/core/state"
)

// decodeShare is the least number of entries worth a goroutine of its own.
const decodeShare = 64

// Decoded is a log entry's command.
type Decoded struct {
	Command state.Command
	// Is says that the entry holds a command. One that is not readable is an
	// empty command, which changes nothing on any replica.
	Is bool
}

// DecodeAll reads the commands of log entries, in parallel where they are
// many. Those for which known returns a command are not decoded again.
func DecodeAll(entries []consensus.Entry, known func(consensus.Entry) (state.Command, bool)) []Decoded {
	out := make([]Decoded, len(entries))
	share := max(decodeShare, (len(entries)+runtime.GOMAXPROCS(0)-1)/runtime.GOMAXPROCS(0))
	if len(entries) <= share {
		decodeInto(out, entries, known)
		return out
	}
	all := sync.WaitGroup{}
	for first := 0; first < len(entries); first += share {
		last := min(first+share, len(entries))
		all.Go(func() { decodeInto(out[first:last], entries[first:last], known) })
	}
	all.Wait()
	return out
}

func decodeInto(out []Decoded, entries []consensus.Entry, known func(consensus.Entry) (state.Command, bool)) {
	for i, e := range entries {
		if e.Kind != consensus.EntryCommand {
			continue
		}
		out[i].Is = true
		c, ok := known(e)
		if !ok && json.Unmarshal(e.Data, &c) != nil {
			c = state.Command{}
		}
		out[i].Command = c
	}
}
