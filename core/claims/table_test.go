package claims

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/state"
)

// step is a step of a request, with the events that lead to it.
type step struct {
	name   string
	plain  bool
	keyed  bool
	events []Event
}

func steps() []step {
	theirs := state.Claim{Digest: "d", Stream: "theirs", Entry: "peer", Address: "b"}
	missing, made, started := Event{Kind: NotFound}, Event{Kind: ClaimMade}, Event{Kind: Started}
	frame := Event{Kind: FrameRead, Frame: Frame{Stream: "own", Length: 2}}
	return []step{
		{"looked up", false, true, nil},
		{"queued", false, true, []Event{missing}},
		{"queued without key", false, false, nil},
		{"connecting", false, true, []Event{missing, grant}},
		{"claiming", false, true, []Event{missing, grant, connected}},
		{"claiming again", false, true, []Event{missing, grant, connected, {Kind: ClaimLost}}},
		{"sending to an engine", false, true, []Event{missing, grant, connected, made}},
		{"sending to a service", true, true, []Event{missing, grant, connected, made}},
		{"streaming", false, true, []Event{missing, grant, connected, made, started, frame}},
		{"resuming", false, true, []Event{missing, grant, connected, made, started, frame, {Kind: Broken}}},
		{"fetching from the owner, engine", false, true, []Event{{Kind: Found, Claim: theirs}}},
		{"fetching from the owner, service", true, true, []Event{{Kind: Found, Claim: theirs}}},
		{"marking a refusal", false, true, []Event{missing, {Kind: Refused}}},
	}
}

// faults are what may happen at any step. Each is one event that the step may
// meet; where it can't be met there, nothing changes.
func faults() map[string]Event {
	theirs := state.Claim{Digest: "d", Stream: "theirs", Entry: "peer", Address: "b"}
	gone := theirs
	gone.Done, gone.Unknown = true, true
	return map[string]Event{
		"the caller goes away":            {Kind: Canceled},
		"the deadline passes":             {Kind: Expired},
		"the log does not answer":         {Kind: ClaimLost},
		"the lookup fails":                {Kind: Failed},
		"another entry has claimed":       {Kind: ClaimExists, Claim: theirs},
		"another entry has refused":       {Kind: ClaimExists, Claim: state.Claim{Digest: "d", Done: true, NotRun: true}},
		"the key has another content":     {Kind: ClaimConflict},
		"found with another content":      {Kind: Found, Claim: state.Claim{Digest: "e"}},
		"found with unknown outcome":      {Kind: Found, Claim: gone},
		"the scheduler refuses":           {Kind: Refused},
		"the upstream can't be reached":   {Kind: Unreachable},
		"the upstream refuses":            {Kind: Rejected},
		"the connection breaks unsent":    {Kind: NothingSent},
		"the connection breaks once sent": {Kind: SendBroken},
		"the stream breaks or is silent":  {Kind: Broken},
		"a frame of another stream":       {Kind: FrameRead, Frame: Frame{Stream: "x", Offset: 2, Length: 1}},
		"a doubled frame":                 {Kind: FrameRead, Frame: Frame{Stream: "own", Length: 2}},
		"a late frame":                    {Kind: FrameRead, Frame: Frame{Stream: "own", Offset: 9, Length: 1}},
		"an end too early":                {Kind: FrameRead, Frame: Frame{Stream: "own", Offset: 9, End: true}},
		"the engine fails":                {Kind: FrameRead, Frame: Frame{Stream: "own", Offset: 2, Error: "out of memory"}},
		"the owner's link breaks":         {Kind: FetchBroken},
		"the owner is dead":               {Kind: OwnerDead},
		"the owner holds nothing":         {Kind: FetchUnheld},
		"the owner's answer failed":       {Kind: FetchFailed},
	}
}

// cell tells in one line what the machine does.
func cell(before, after State, effects []Effect) string {
	parts := []string{}
	for _, e := range effects {
		switch e.Kind {
		case Fail:
			parts = append(parts, fmt.Sprintf("fail %s, %s", e.Failure.Code, e.Failure.Ran))
		case Release:
			parts = append(parts, fmt.Sprintf("release as %s", e.Slot))
		case Finish:
			parts = append(parts, fmt.Sprintf("record (unknown %v, not run %v)", e.Finish.Unknown, e.Finish.NotRun))
		case Resume, Fetch:
			parts = append(parts, fmt.Sprintf("%s %s at %d", e.Kind, e.Stream, e.Offset))
		default:
			parts = append(parts, string(e.Kind))
		}
	}
	return fmt.Sprintf("%s to %s: %s", before, after, strings.Join(parts, "; "))
}

// TestFaultTable writes out what happens at each step when each fault comes.
func TestFaultTable(t *testing.T) {
	names := []string{}
	for name := range faults() {
		names = append(names, name)
	}
	slices.Sort(names)
	out := strings.Builder{}
	for _, s := range steps() {
		fmt.Fprintf(&out, "## %s\n\n", s.name)
		without := 0
		for _, name := range names {
			m := NewMachine(Request{Workspace: "w", Key: "k", Digest: "d", Stream: "own", Entry: "self", Keyed: s.keyed, Plain: s.plain})
			walk(m, s.events...)
			before := m.State()
			require.NotEqual(t, Ended, before, s.name)
			effects := m.Step(faults()[name])
			if len(effects) == 0 {
				require.Equal(t, before, m.State())
				without++
				continue
			}
			fmt.Fprintf(&out, "%-32s %s\n", name, cell(before, m.State(), effects))
		}
		fmt.Fprintf(&out, "(%d of %d faults can't be met here)\n\n", without, len(names))
	}
	goldie.New(t).Assert(t, "faults", []byte(out.String()))
}
