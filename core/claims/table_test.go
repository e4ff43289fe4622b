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

// stage is a stage of a request, with the events that lead to it.
type stage struct {
	name   string
	plain  bool
	keyed  bool
	events []Event
}

func stages() []stage {
	peerClaim := state.Claim{Digest: "d", Stream: "theirs", Entry: "peer", Address: "b"}
	notFound, claimCommitted, started := Event{Kind: NotFound}, Event{Kind: ClaimCommitted}, Event{Kind: Started}
	frame := Event{Kind: FrameRead, Frame: Frame{Stream: "own", Length: 2}}
	return []stage{
		{"looked up", false, true, nil},
		{"queued", false, true, []Event{notFound}},
		{"queued without key", false, false, nil},
		{"connecting", false, true, []Event{notFound, grantReceived}},
		{"claiming", false, true, []Event{notFound, grantReceived, connected}},
		{"claiming again", false, true, []Event{notFound, grantReceived, connected, {Kind: ClaimUnconfirmed}}},
		{"sending to an engine", false, true, []Event{notFound, grantReceived, connected, claimCommitted}},
		{"sending to a service", true, true, []Event{notFound, grantReceived, connected, claimCommitted}},
		{"streaming", false, true, []Event{notFound, grantReceived, connected, claimCommitted, started, frame}},
		{"resuming", false, true, []Event{notFound, grantReceived, connected, claimCommitted, started, frame, {Kind: ConnectionLost}}},
		{"fetching from the owner, engine", false, true, []Event{{Kind: Found, Claim: peerClaim}}},
		{"fetching from the owner, service", true, true, []Event{{Kind: Found, Claim: peerClaim}}},
		{"marking a refusal", false, true, []Event{notFound, {Kind: Refused}}},
	}
}

// faults lists one event per fault. At a stage where the fault can't occur, the
// event changes nothing.
func faults() map[string]Event {
	peerClaim := state.Claim{Digest: "d", Stream: "theirs", Entry: "peer", Address: "b"}
	unknownOutcome := peerClaim
	unknownOutcome.Done, unknownOutcome.Unknown = true, true
	return map[string]Event{
		"the caller disconnects":          {Kind: Canceled},
		"the deadline passes":             {Kind: Expired},
		"the log does not answer":         {Kind: ClaimUnconfirmed},
		"the lookup fails":                {Kind: Failed},
		"another entry has claimed":       {Kind: ClaimExists, Claim: peerClaim},
		"another entry has refused":       {Kind: ClaimExists, Claim: state.Claim{Digest: "d", Done: true, NotRun: true}},
		"the key has another content":     {Kind: ClaimConflict},
		"found with another content":      {Kind: Found, Claim: state.Claim{Digest: "e"}},
		"found with unknown outcome":      {Kind: Found, Claim: unknownOutcome},
		"the scheduler refuses":           {Kind: Refused},
		"the upstream can't be reached":   {Kind: Unreachable},
		"the upstream refuses":            {Kind: Rejected},
		"the connection breaks unsent":    {Kind: NothingSent},
		"the connection breaks once sent": {Kind: SendInterrupted},
		"the stream breaks or is silent":  {Kind: ConnectionLost},
		"a frame of another stream":       {Kind: FrameRead, Frame: Frame{Stream: "x", Offset: 2, Length: 1}},
		"a repeated frame":                {Kind: FrameRead, Frame: Frame{Stream: "own", Length: 2}},
		"a frame after a gap":             {Kind: FrameRead, Frame: Frame{Stream: "own", Offset: 9, Length: 1}},
		"an end after a gap":              {Kind: FrameRead, Frame: Frame{Stream: "own", Offset: 9, End: true}},
		"the engine fails":                {Kind: FrameRead, Frame: Frame{Stream: "own", Offset: 2, Error: "out of memory"}},
		"the owner's connection breaks":   {Kind: FetchInterrupted},
		"the owner is dead":               {Kind: OwnerDead},
		"the owner holds nothing":         {Kind: AnswerNotHeld},
		"the owner's answer failed":       {Kind: FetchFailed},
	}
}

// formatTransition formats one state transition and its effects on one line.
func formatTransition(before, after State, effects []Effect) string {
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

// TestFaultTable compares the transition of each fault at each stage with the
// golden file.
func TestFaultTable(t *testing.T) {
	names := []string{}
	for name := range faults() {
		names = append(names, name)
	}
	slices.Sort(names)
	out := strings.Builder{}
	for _, s := range stages() {
		fmt.Fprintf(&out, "## %s\n\n", s.name)
		ignored := 0
		for _, name := range names {
			m := NewMachine(Request{Workspace: "w", Key: "k", Digest: "d", Stream: "own", Entry: "self", Keyed: s.keyed, PlainService: s.plain})
			runEvents(m, s.events...)
			before := m.State()
			require.NotEqual(t, Ended, before, s.name)
			effects := m.Step(faults()[name])
			if len(effects) == 0 {
				require.Equal(t, before, m.State())
				ignored++
				continue
			}
			fmt.Fprintf(&out, "%-32s %s\n", name, formatTransition(before, m.State(), effects))
		}
		fmt.Fprintf(&out, "(%d of %d faults can't be met here)\n\n", ignored, len(names))
	}
	goldie.New(t).Assert(t, "faults", []byte(out.String()))
}
