package claims

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/verbenastep/verbenastep/core/state"
)

// allEvents lists every event kind.
var allEvents = []EventKind{
	Begin, Found, NotFound, GrantReceived, Refused, Connected, Unreachable, ClaimCommitted, ClaimExists, ClaimConflict,
	ClaimUnconfirmed, Started, Replied, NothingSent, Rejected, SendInterrupted, FrameRead, ConnectionLost, Moved, MoveFailed, Fetched, FetchFailed,
	FetchInterrupted, AnswerNotHeld, OwnerDead, Canceled, Expired, Failed,
}

// invariantChecker counts events and effects of one request and checks the
// machine's invariants.
type invariantChecker struct {
	sends, grants, releases, ends        int
	hasClaim, completed, reachedUpstream bool
	failure                              Failure
}

func (c *invariantChecker) observeEvent(e Event) {
	switch e.Kind {
	case GrantReceived:
		c.grants++
	case ClaimCommitted:
		c.hasClaim = true
	case Started, Replied, SendInterrupted, Rejected:
		c.reachedUpstream = true
	}
}

func (c *invariantChecker) observeEffects(t require.TestingT, keyed bool, out []Effect) (awaited int) {
	for _, e := range out {
		if e.Awaited() {
			awaited++
		}
		switch e.Kind {
		case Send:
			c.sends++
			require.True(t, !keyed || c.hasClaim, "a keyed request is sent only after its claim")
		case Release:
			c.releases++
		case End, ServeRecorded:
			c.ends++
			c.completed = true
		case Fail:
			c.ends++
			c.failure = e.Failure
		}
	}
	return awaited
}

func drawEvent(t *rapid.T, m *Machine) Event {
	kind := rapid.SampledFrom(allEvents).Draw(t, "event")
	f := Frame{
		Stream: rapid.SampledFrom([]string{"own", "other", "crossed"}).Draw(t, "stream"),
		Offset: m.received + rapid.SampledFrom([]int64{0, 0, 0, 1, -1}).Draw(t, "shift"),
		Length: rapid.Int64Range(0, 3).Draw(t, "length"),
		End:    rapid.Bool().Draw(t, "end"), Leaving: rapid.Bool().Draw(t, "leaving"),
	}
	c := state.Claim{
		Digest: rapid.SampledFrom([]string{"d", "d", "e"}).Draw(t, "digest"), Stream: "other",
		Entry: rapid.SampledFrom([]string{"self", "peer"}).Draw(t, "entry"),
		Done:  rapid.Bool().Draw(t, "done"), Length: rapid.Int64Range(0, 1).Draw(t, "held"),
		NotRun: rapid.Bool().Draw(t, "notrun"), Unknown: rapid.Bool().Draw(t, "unknown"),
	}
	return Event{Kind: kind, Upstream: "u", Address: "a", Claim: c, Frame: f, Length: m.received}
}

// TestEveryFaultAtEveryStep sends random sequences of all event kinds to the
// machine and checks its invariants after each step.
func TestEveryFaultAtEveryStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Request{Workspace: "w", Key: "k", Digest: "d", Stream: "own", Entry: "self", Keyed: rapid.Bool().Draw(t, "keyed"), JoinOnly: rapid.Bool().Draw(t, "join"), PlainService: rapid.Bool().Draw(t, "plain")}
		m := NewMachine(r)
		seen := invariantChecker{}
		require.Equal(t, 1, seen.observeEffects(t, r.Keyed, m.Step(Event{Kind: Begin})))
		for range 60 {
			if m.State() == Ended {
				break
			}
			e := drawEvent(t, m)
			before := m.State()
			out := m.Step(e)
			if len(out) == 0 {
				require.Equal(t, before, m.State(), "an unexpected event changes nothing")
				continue
			}
			seen.observeEvent(e)
			awaited := seen.observeEffects(t, r.Keyed, out)
			require.Equal(t, m.State() != Ended, awaited == 1, "one effect is awaited until the end: %s then %v", e.Kind, out)
		}
		require.LessOrEqual(t, seen.sends, 1)
		require.LessOrEqual(t, seen.releases, seen.grants)
		if m.State() != Ended {
			return
		}
		require.Equal(t, 1, seen.ends)
		require.Equal(t, seen.grants, seen.releases)
		if seen.failure.Ran == NotRun {
			require.False(t, seen.reachedUpstream, "not run after the upstream was reached")
		}
	})
}

// runEvents starts the machine, passes it the events and returns the effects of
// the last one.
func runEvents(m *Machine, events ...Event) []Effect {
	out := m.Step(Event{Kind: Begin})
	for _, e := range events {
		out = m.Step(e)
	}
	return out
}

func kinds(effects []Effect) []EffectKind {
	out := []EffectKind{}
	for _, e := range effects {
		out = append(out, e.Kind)
	}
	return out
}

func newKeyedMachine(plain bool) *Machine {
	return NewMachine(Request{Workspace: "w", Key: "k", Digest: "d", Stream: "own", Entry: "self", Keyed: true, PlainService: plain})
}

var (
	grantReceived = Event{Kind: GrantReceived, Upstream: "u", Address: "a"}
	connected     = Event{Kind: Connected}
)

func TestEffectsAfterEventSequences(t *testing.T) {
	notFound := Event{Kind: NotFound}
	peerClaim := state.Claim{Digest: "d", Stream: "other", Entry: "peer", Address: "b"}
	cases := []struct {
		name   string
		plain  bool
		events []Event
		// want lists the effects of the last event.
		want []EffectKind
		code Code
		ran  Ran
	}{
		{"whole stream", false, []Event{notFound, grantReceived, connected, {Kind: ClaimCommitted}, {Kind: Started}, {Kind: FrameRead, Frame: Frame{Stream: "own", Length: 2, End: true}}}, []EffectKind{Deliver, Release, End, Finish}, "", ""},
		{"end at a wrong offset", false, []Event{notFound, grantReceived, connected, {Kind: ClaimCommitted}, {Kind: Started}, {Kind: FrameRead, Frame: Frame{Stream: "own", Offset: 5, End: true}}}, []EffectKind{CloseConnection, Resume}, "", ""},
		{"engine shuts down", false, []Event{notFound, grantReceived, connected, {Kind: ClaimCommitted}, {Kind: Started}, {Kind: FrameRead, Frame: Frame{Stream: "own", Leaving: true}}}, []EffectKind{Deliver, Move}, "", ""},
		{"moved", false, []Event{notFound, grantReceived, connected, {Kind: ClaimCommitted}, {Kind: Started}, {Kind: FrameRead, Frame: Frame{Stream: "own", Leaving: true}}, {Kind: Moved, Address: "b"}, {Kind: ConnectionLost}}, []EffectKind{CloseConnection, Resume}, "", ""},
		{"moved only once", false, []Event{notFound, grantReceived, connected, {Kind: ClaimCommitted}, {Kind: Started}, {Kind: FrameRead, Frame: Frame{Stream: "own", Leaving: true}}, {Kind: MoveFailed}, {Kind: FrameRead, Frame: Frame{Stream: "own", Leaving: true}}}, []EffectKind{Deliver, Receive}, "", ""},
		{"frame of another stream", false, []Event{notFound, grantReceived, connected, {Kind: ClaimCommitted}, {Kind: Started}, {Kind: FrameRead, Frame: Frame{Stream: "x", Length: 2}}}, []EffectKind{CloseConnection, Resume}, "", ""},
		{"unconfirmed claim is proposed again", false, []Event{notFound, grantReceived, connected, {Kind: ClaimUnconfirmed}}, []EffectKind{Propose}, "", ""},
		{"unconfirmed claim until the deadline", false, []Event{notFound, grantReceived, connected, {Kind: ClaimUnconfirmed}, {Kind: Expired}}, []EffectKind{Release, ResolveClaim, Fail}, LogUnavailable, MayHaveRun},
		{"nothing sent after the claim", true, []Event{notFound, grantReceived, connected, {Kind: ClaimCommitted}, {Kind: NothingSent}}, []EffectKind{Release, Finish, RecordNotRun, Fail}, NotSent, NotRun},
		{"engine refuses to start", false, []Event{notFound, grantReceived, connected, {Kind: ClaimCommitted}, {Kind: Rejected}}, []EffectKind{Release, Finish, Fail}, UpstreamRefused, MayHaveRun},
		{"connection to a plain service fails", true, []Event{notFound, grantReceived, connected, {Kind: ClaimCommitted}, {Kind: SendInterrupted}}, []EffectKind{Release, Finish, Fail}, OutcomeUnknown, MayHaveRun},
		{"answer is fetched from the owner", true, []Event{{Kind: Found, Claim: peerClaim}}, []EffectKind{Dispatched, Fetch}, "", ""},
		{"owner gone, plain service", true, []Event{{Kind: Found, Claim: peerClaim}, {Kind: AnswerNotHeld}}, []EffectKind{Finish, Fail}, OutcomeUnknown, MayHaveRun},
		{"owner gone, engine", false, []Event{{Kind: Found, Claim: peerClaim}, {Kind: AnswerNotHeld, Length: 7}}, []EffectKind{Resume}, "", ""},
		{"refusal marks the key", false, []Event{notFound, {Kind: Refused}}, []EffectKind{Propose}, "", ""},
		{"refusal while another runs it", false, []Event{notFound, {Kind: Refused}, {Kind: ClaimExists, Claim: peerClaim}}, []EffectKind{Dispatched, Fetch}, "", ""},
		{"refusal that could not be marked", false, []Event{notFound, {Kind: Refused}, {Kind: ClaimUnconfirmed}}, []EffectKind{Fail}, SchedulerRefused, MayHaveRun},
		{"lookup fails", false, []Event{{Kind: Failed}}, []EffectKind{Fail}, LogUnavailable, MayHaveRun},
		{"key claimed for different content", false, []Event{{Kind: Found, Claim: state.Claim{Digest: "e"}}}, []EffectKind{Fail}, KeyConflict, NotRun},
		{"refused elsewhere", false, []Event{{Kind: Found, Claim: state.Claim{Digest: "d", NotRun: true, Done: true}}}, []EffectKind{RecordNotRun, Fail}, AlreadyRefused, NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			out := runEvents(newKeyedMachine(c.plain), c.events...)
			require.Equal(t, c.want, kinds(out))
			last := out[len(out)-1]
			require.Equal(t, c.code, last.Failure.Code)
			require.Equal(t, c.ran, last.Failure.Ran)
		})
	}
}

// TestRefusedKeyNeverRunsElsewhere runs two entries' machines against one state
// machine: once one entry has refused a request as not run, the other must not
// dispatch it, and only a request accepted after the refusal may run.
func TestRefusedKeyNeverRunsElsewhere(t *testing.T) {
	log := state.New()
	a, b := newKeyedMachine(false), newKeyedMachine(false)
	a.request.Stream = "a"
	runEvents(a, Event{Kind: NotFound}, grantReceived)
	mark := runEvents(b, Event{Kind: NotFound}, Event{Kind: Refused})[0].Claim
	require.Equal(t, state.OK, log.Apply(state.Command{Claim: &mark}).Status)
	claim := a.Step(connected)[0].Claim
	result := log.Apply(state.Command{Claim: &claim})
	require.Equal(t, state.Exists, result.Status)
	require.Equal(t, []EffectKind{Release, RecordNotRun, Fail}, kinds(a.Step(Event{Kind: ClaimExists, Claim: *result.Claim})))

	c := newKeyedMachine(false)
	c.request.Stream = "c"
	c.request.KnownNotRunAttempt = 1
	again := runEvents(c, Event{Kind: Found, Claim: *result.Claim}, grantReceived, connected)[0].Claim
	require.Equal(t, state.OK, log.Apply(state.Command{Claim: &again}).Status)
}

func TestResumeIsBounded(t *testing.T) {
	m := newKeyedMachine(false)
	runEvents(m, Event{Kind: NotFound}, grantReceived, connected, Event{Kind: ClaimCommitted}, Event{Kind: Started})
	for range MaxResumeAttempts {
		require.Equal(t, []EffectKind{CloseConnection, Resume}, kinds(m.Step(Event{Kind: ConnectionLost})))
	}
	require.Equal(t, []EffectKind{CloseConnection, Release, Finish, Fail}, kinds(m.Step(Event{Kind: Unreachable})))
}
