package entry

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/upstream"
	"github.com/verbenastep/verbenastep/core/promise"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/engine"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/standin"
)

// startSilentListener accepts connections and never responds on them, as seen when
// a device on the path has dropped their state.
func startSilentListener(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	return ln.Addr().String()
}

// TestSilentUpstream checks that an engine which accepts a connection and never
// responds does not block the request, and that its outcome is unknown.
func TestSilentUpstream(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.upstreamAddresses["logbook-model"] = startSilentListener(t)
	e := c.startEntry(t, "entry-1")
	got := e.do(t, "POST", "/v1/chat/completions", chatBody("draft", false), "Idempotency-Key", "k1")
	f := faultOf(t, got.body)
	require.Equal(t, fault.Unknown, f.Kind)
	require.Equal(t, fault.MayHaveRun, f.Ran)
	require.Equal(t, 1, c.countEvents(promise.Dispatch))
}

// addDispatchedClaim commits a claim and records its dispatch as its entry would.
func (c *cluster) addDispatchedClaim(claim state.Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim.Workspace = "judging"
	c.machine.Apply(state.Command{Claim: &claim})
	c.events = append(c.events, promise.Event{Kind: promise.Dispatch, Workspace: claim.Workspace, Key: claim.Key, Stream: claim.Stream})
}

// TestSilentOwner covers an entry that dispatched requests and then accepts
// connections without responding. The stream of an engine is resumed without it;
// the outcome of a service call is unknown.
func TestSilentOwner(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	r := c.startRunner(t, 500)
	owner := startSilentListener(t)
	c.members = append(c.members, port.Member{Name: "entry-0", Peers: owner})
	conn, err := engine.Dial(t.Context(), r.Self.Address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Start(t.Context(), upstream.Start{Stream: "s2", Prompt: "draft #8", MaxTokens: 100}, time.Second)
	require.NoError(t, err)
	c.addDispatchedClaim(state.Claim{Key: "k2", Pool: "logbook-model", Stream: "s2", Entry: owner, Address: r.Self.Address})
	digest := hashParts([]byte("register-api"), []byte("POST"), []byte("/transfers"), []byte("{}"))
	c.addDispatchedClaim(state.Claim{Key: "t1", Pool: "register-api", Stream: "s1", Entry: owner, Digest: digest})
	second := c.startEntry(t, "entry-2")
	responses := make(chan response, 1)
	go func() {
		got, _ := second.try("POST", "/services/register-api/transfers", "{}", "Idempotency-Key", "t1")
		responses <- got
	}()
	got := second.do(t, "GET", "/v1/answers/k2", "")
	answer, complete := joinDeltas(got.body)
	require.True(t, complete, got.body)
	require.Equal(t, standin.AnswerTo("draft #8", 100), answer)
	require.Equal(t, 1, total(r.Executions()))
	require.Equal(t, fault.MayHaveRun, faultOf(t, (<-responses).body).Ran)
}

// TestDeadOwner covers a call whose entry is not a live member. That entry is
// asked only once; the outcome is unknown and the failed answer is not kept.
func TestDeadOwner(t *testing.T) {
	c := newCluster(t)
	owner := startSilentListener(t)
	digest := hashParts([]byte("register-api"), []byte("POST"), []byte("/transfers"), []byte("{}"))
	c.addDispatchedClaim(state.Claim{Key: "t1", Pool: "register-api", Stream: "s1", Entry: owner, Digest: digest})
	e := c.startEntry(t, "entry-1")
	require.False(t, e.isLive(owner))
	require.Equal(t, fault.Unknown, faultOf(t, postTransfer(t, e, "t1", "{}").body).Kind)
	require.Zero(t, e.answers.Len(), "the failed answer is still stored")
}
