package rollout

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var order = Start{Pool: "p", Target: "v2", Duration: 12 * time.Second}

// Guards against a record that a late or repeated command sets back.
func TestRecordNeverGoesBack(t *testing.T) {
	b := &Book{}
	b.Start(order)
	high := Advance{Pool: "p", Number: 1, Phase: Shift, Elapsed: 5 * time.Second, Requests: 90, Reserved: 30, Evidence: Evidence{Failures: 3}}
	want, status := b.Advance(high)
	require.Equal(t, OK, status)
	got, status := b.Advance(Advance{Pool: "p", Number: 1, Phase: Trial, Elapsed: time.Second, Requests: 9, Reserved: 3})
	require.Equal(t, OK, status)
	require.Equal(t, want, got)
	done, _ := b.Advance(Advance{Pool: "p", Number: 1, Phase: RolledBack, Reason: "aborted"})
	require.Equal(t, "aborted", done.Reason)
	got, status = b.Advance(Advance{Pool: "p", Number: 1, Phase: Completed})
	require.Equal(t, Conflict, status)
	require.Equal(t, done, got)
}

// Guards against a paused leader whose command raises a reservation that the next one counts
// on.
func TestCommandsOfAnEarlierTermChangeNothing(t *testing.T) {
	b := &Book{}
	b.Start(order)
	claimed, _ := b.Advance(Advance{Pool: "p", Number: 1, Phase: Trial, Reserved: 10, Term: 7})
	got, status := b.Advance(Advance{Pool: "p", Number: 1, Phase: Settle, Reserved: 20, Term: 6})
	require.Equal(t, Conflict, status)
	require.Equal(t, claimed, got)
}

// Guards against a retried order that is refused, and against a second one that replaces the
// first.
func TestRepeatedOrderGetsItsRecord(t *testing.T) {
	b := &Book{}
	first, _ := b.Start(order)
	again, status := b.Start(order)
	require.Equal(t, OK, status)
	require.Equal(t, first, again)
	other := order
	other.Target = "v3"
	running, status := b.Start(other)
	require.Equal(t, Conflict, status)
	require.Equal(t, first, running)
	b.Advance(Advance{Pool: "p", Number: 1, Phase: Completed})
	done, status := b.Start(order)
	require.Equal(t, OK, status)
	require.Equal(t, Completed, done.Phase)
	next, status := b.Start(other)
	require.Equal(t, OK, status)
	require.Equal(t, uint64(2), next.Number)
	other.Pool, other.Complete = "q", true
	only, _ := b.Start(other)
	require.Equal(t, Completed, only.Phase)
}

// Guards against records that a snapshot changes, and against unusable ones that are taken over.
func TestBookIsEncodedAsItsRecords(t *testing.T) {
	b := &Book{}
	b.Start(order)
	b.Advance(Advance{Pool: "p", Number: 1, Phase: Trial, Elapsed: time.Second, Requests: 90, Reserved: 30, Term: 4, Evidence: Evidence{Slowness: 2.5}})
	data, err := json.Marshal(b)
	require.NoError(t, err)
	got := &Book{}
	require.NoError(t, json.Unmarshal(data, got))
	require.Equal(t, b.Records(), got.Records())
	require.Error(t, json.Unmarshal([]byte(`[{"pool":"p","number":1,"phase":"other"}]`), got))
	require.Equal(t, b.Records(), got.Records())
}

// Guards against a broker that uses a version which the phase does not allow.
func TestGate(t *testing.T) {
	type allowed struct{ central, local, old bool }
	for phase, want := range map[Phase]allowed{
		"": {true, true, true}, Trial: {true, false, true}, Shift: {true, false, true},
		Settle: {true, true, false}, Completed: {true, true, false}, RolledBack: {false, false, true},
	} {
		g := Gate{Target: "v2", Phase: phase}
		require.Equal(t, want, allowed{g.AllowsTarget(true), g.AllowsTarget(false), g.AllowsOld(true)}, phase)
	}
}
