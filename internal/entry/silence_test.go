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

// silent accepts connections and never answers on them, as one end does when
// something between has lost track of them.
func silent(t *testing.T) string {
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

// TestSilentUpstreamIsUnknown: an engine that accepts and never answers is
// given up in bounded time, and the caller is told that nobody knows.
func TestSilentUpstreamIsUnknown(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.pools["logbook-model"] = silent(t)
	e := c.entry(t, "entry-1")
	got := e.do(t, "POST", "/v1/chat/completions", chatBody("draft", false), "Idempotency-Key", "k1")
	f := faultOf(t, got.body)
	require.Equal(t, fault.Unknown, f.Kind)
	require.Equal(t, fault.MayHaveRun, f.Ran)
	require.Equal(t, 1, c.count(promise.Dispatch))
}

// dispatched commits a claim as if its entry had dispatched the request.
func (c *cluster) dispatched(claim state.Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim.Workspace = "judging"
	c.machine.Apply(state.Command{Claim: &claim})
	c.events = append(c.events, promise.Event{Kind: promise.Dispatch, Workspace: claim.Workspace, Key: claim.Key, Stream: claim.Stream})
}

// TestSilentOwner: the entry that dispatched accepts and never answers. An
// engine's stream is resumed without it; a service's outcome is unknown.
func TestSilentOwner(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	r := c.runner(t, 500)
	owner := silent(t)
	c.members = append(c.members, port.Member{Name: "entry-0", Peers: owner})
	conn, err := engine.Dial(t.Context(), r.Self.Address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Start(t.Context(), upstream.Start{Stream: "s2", Prompt: "draft #8", MaxTokens: 100}, time.Second)
	require.NoError(t, err)
	c.dispatched(state.Claim{Key: "k2", Pool: "logbook-model", Stream: "s2", Entry: owner, Address: r.Self.Address})
	digest := digestOf([]byte("register-api"), []byte("POST"), []byte("/transfers"), []byte("{}"))
	c.dispatched(state.Claim{Key: "t1", Pool: "register-api", Stream: "s1", Entry: owner, Digest: digest})
	two := c.entry(t, "entry-2")
	told := make(chan reply, 1)
	go func() {
		got, _ := two.try("POST", "/services/register-api/transfers", "{}", "Idempotency-Key", "t1")
		told <- got
	}()
	got := two.do(t, "GET", "/v1/answers/k2", "")
	answer, whole := text(got.body)
	require.True(t, whole, got.body)
	require.Equal(t, standin.AnswerTo("draft #8", 100), answer)
	require.Equal(t, 1, total(r.Executions()))
	require.Equal(t, fault.MayHaveRun, faultOf(t, (<-told).body).Ran)
}

// TestDeadOwner: an owner that membership holds for dead is asked once only.
func TestDeadOwner(t *testing.T) {
	c := newCluster(t)
	owner := silent(t)
	digest := digestOf([]byte("register-api"), []byte("POST"), []byte("/transfers"), []byte("{}"))
	c.dispatched(state.Claim{Key: "t1", Pool: "register-api", Stream: "s1", Entry: owner, Digest: digest})
	e := c.entry(t, "entry-1")
	require.False(t, e.live(owner))
	require.Equal(t, fault.Unknown, faultOf(t, transfer(t, e, "t1", "{}").body).Kind)
	require.Zero(t, e.answers.Len(), "the failed answer is forgotten")
}
