package logclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"storj.io/drpc"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/rollout"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// fakeLink answers Propose calls with the function for the replica's address and
// records the addresses called.
type fakeLink struct {
	mu      sync.Mutex
	calls   []string
	answers map[string]func(*rpc.ProposeRequest) (*rpc.ProposeReply, error)
}

func (l *fakeLink) Mux() drpc.Mux { return nil }

func (l *fakeLink) Conn(address string) drpc.Conn { return &fakeConn{link: l, address: address} }

type fakeConn struct {
	drpc.Conn
	link    *fakeLink
	address string
}

func (c *fakeConn) Invoke(_ context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
	c.link.mu.Lock()
	c.link.calls = append(c.link.calls, c.address)
	c.link.mu.Unlock()
	reply, err := c.link.answers[c.address](in.(*rpc.ProposeRequest))
	if err == nil {
		to := out.(*rpc.ProposeReply)
		to.Results, to.Leader = reply.Results, reply.Leader
	}
	return err
}

func newTestClient(answers map[string]func(*rpc.ProposeRequest) (*rpc.ProposeReply, error)) (*Service, *fakeLink) {
	link := &fakeLink{answers: answers}
	set := &settings.Settings{Replicas: []settings.Peer{{Name: "a", Address: "a"}, {Name: "b", Address: "b"}}}
	s := New(set, zap.NewNop())
	s.link = link
	return s, link
}

func accept(req *rpc.ProposeRequest) (*rpc.ProposeReply, error) {
	reply := &rpc.ProposeReply{}
	for range req.Commands {
		data, _ := json.Marshal(state.Result{Status: state.OK})
		reply.Results = append(reply.Results, &rpc.Proposed{Result: data})
	}
	return reply, nil
}

func refuse(leader string) func(*rpc.ProposeRequest) (*rpc.ProposeReply, error) {
	return func(req *rpc.ProposeRequest) (*rpc.ProposeReply, error) {
		reply := &rpc.ProposeReply{Leader: leader}
		for range req.Commands {
			reply.Results = append(reply.Results, &rpc.Proposed{Refused: true})
		}
		return reply, nil
	}
}

func failConnection(*rpc.ProposeRequest) (*rpc.ProposeReply, error) {
	return nil, errors.New("connection closed")
}

var (
	claim   = state.Command{Claim: &state.Claim{Workspace: "w", Key: "k", Stream: "s"}}
	suspect = state.Command{Suspect: &state.Suspect{Pool: "p", Crashes: 1}}
	order   = state.Command{Rollout: &state.Rollout{Start: &rollout.Start{Pool: "p", Target: "v2", Duration: time.Second}}}
)

func TestProposeFollowsLeaderHint(t *testing.T) {
	s, link := newTestClient(map[string]func(*rpc.ProposeRequest) (*rpc.ProposeReply, error){"a": refuse("b"), "b": accept})
	for range 2 {
		result, err := s.Propose(t.Context(), port.GroupMain, claim)
		require.NoError(t, err)
		require.Equal(t, state.OK, result.Status)
	}
	require.Equal(t, []string{"a", "b", "b"}, link.calls)
}

func TestProposeRepeatsOnlyIdempotentCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, link := newTestClient(map[string]func(*rpc.ProposeRequest) (*rpc.ProposeReply, error){"a": failConnection, "b": accept})
		_, err := s.Propose(t.Context(), port.GroupMain, claim)
		require.NoError(t, err)
		require.Equal(t, []string{"a", "b"}, link.calls)

		s, link = newTestClient(map[string]func(*rpc.ProposeRequest) (*rpc.ProposeReply, error){"a": failConnection, "b": accept})
		_, err = s.Propose(t.Context(), port.GroupMain, order)
		require.NoError(t, err)
		require.Equal(t, []string{"a", "b"}, link.calls)

		s, link = newTestClient(map[string]func(*rpc.ProposeRequest) (*rpc.ProposeReply, error){"a": failConnection, "b": accept})
		_, err = s.Propose(t.Context(), port.GroupMain, suspect)
		failed := fault.From(err)
		require.Equal(t, fault.Unknown, failed.Kind)
		require.Equal(t, fault.MayHaveRun, failed.Ran)
		require.Equal(t, []string{"a"}, link.calls)
	})
}

func TestProposeReportsWhetherCommandMayHaveCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newTestClient(map[string]func(*rpc.ProposeRequest) (*rpc.ProposeReply, error){"a": refuse(""), "b": refuse("")})
		_, err := s.Propose(t.Context(), port.GroupMain, claim)
		require.Equal(t, fault.Unavailable, fault.From(err).Kind)
		require.Equal(t, fault.NotRun, fault.From(err).Ran)

		s, _ = newTestClient(map[string]func(*rpc.ProposeRequest) (*rpc.ProposeReply, error){"a": failConnection, "b": refuse("")})
		_, err = s.Propose(t.Context(), port.GroupMain, claim)
		require.Equal(t, fault.MayHaveRun, fault.From(err).Ran)
	})
}

// ownReplica is the daemon's own replica, which knows the leader.
type ownReplica string

func (r ownReplica) Leadership() (leads bool, leader port.Leader) {
	return false, port.Leader{Address: string(r)}
}

// TestLeaderOfTheOwnReplicaIsAskedFirst guards against a control daemon that can't acknowledge
// while all replicas of its settings are gone: each took an attempt of 0.8 s.
func TestLeaderOfTheOwnReplicaIsAskedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gone := func(*rpc.ProposeRequest) (*rpc.ProposeReply, error) {
			time.Sleep(attemptTimeout)
			return nil, context.DeadlineExceeded
		}
		s, link := newTestClient(map[string]func(*rpc.ProposeRequest) (*rpc.ProposeReply, error){"a": gone, "b": gone, "c": accept})
		s.replica = ownReplica("c")
		began := time.Now()
		result, err := s.Propose(t.Context(), port.GroupMain, claim)
		require.NoError(t, err)
		require.Equal(t, state.OK, result.Status)
		require.Less(t, time.Since(began), attemptTimeout)
		require.Equal(t, []string{"c"}, link.calls)

		s.replica = ownReplica("a")
		s.setLeader(port.GroupMain, "")
		link.calls = nil
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		defer cancel()
		_, err = s.Propose(ctx, port.GroupMain, claim)
		require.Error(t, err)
		time.Sleep(callTimeout)
		link.mu.Lock()
		defer link.mu.Unlock()
		require.Contains(t, link.calls, "b", "a leader that does not answer is not the only one asked")
	})
}

func TestConcurrentProposalsShareCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(req *rpc.ProposeRequest) (*rpc.ProposeReply, error) {
			time.Sleep(time.Millisecond)
			return accept(req)
		}
		s, link := newTestClient(map[string]func(*rpc.ProposeRequest) (*rpc.ProposeReply, error){"a": slow, "b": slow})
		all := sync.WaitGroup{}
		for i := range 200 {
			all.Go(func() {
				c := state.Command{Claim: &state.Claim{Workspace: "w", Key: fmt.Sprint(i), Stream: "s"}}
				_, err := s.Propose(t.Context(), port.GroupMain, c)
				require.NoError(t, err)
			})
		}
		all.Wait()
		require.LessOrEqual(t, len(link.calls), 2*maxCallsInFlight)
	})
}

func TestProposeRejectsOversizedCommand(t *testing.T) {
	s, link := newTestClient(nil)
	body := make([]byte, port.MaxCommandBytes)
	_, err := s.Propose(t.Context(), port.GroupMain, state.Command{Finish: &state.Finish{Body: body}})
	require.Equal(t, fault.TooLarge, fault.From(err).Kind)
	require.Empty(t, link.calls)
}
