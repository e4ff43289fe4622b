package logclient

import (
	"context"
	"encoding/json"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// callsInFlight is the most Propose calls at once to one group; commands
	// that come meanwhile share the next call.
	callsInFlight = 4
	// batchCommands and batchBytes bound one call.
	batchCommands = 512
	batchBytes    = 1 << 20
)

// command is one on its way.
type command struct {
	data []byte
	// again says that committing it twice has the effect and answer of once.
	again bool
	// unknown says that a call with it ended without an answer.
	unknown bool
	done    chan settled
}

// settled is how a command ended.
type settled struct {
	result  state.Result
	unknown bool
	err     error
}

// queue holds the commands for a group that wait for a call.
type queue struct {
	waiting []*command
	calls   int
}

// idempotent tells whether a command that commits twice has the effect and
// answer of one.
func idempotent(c state.Command) bool {
	return c.Suspect == nil
}

// Propose commits a command through the leader.
func (s *Service) Propose(ctx context.Context, group string, c state.Command) (state.Result, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return state.Result{}, err
	}
	if len(data) > port.MaxCommandBytes {
		return state.Result{}, fault.New(fault.TooLarge, "split it, or send less", "the command has %d bytes, the log takes %d", len(data), port.MaxCommandBytes)
	}
	cmd := &command{data: data, again: idempotent(c), done: make(chan settled, 1)}
	s.enqueue(group, cmd)
	out := settled{unknown: true}
	select {
	case out = <-cmd.done:
	case <-ctx.Done():
		out.err = ctx.Err()
	}
	if out.err == nil {
		return out.result, nil
	}
	if out.unknown {
		return out.result, fault.New(fault.Unknown, "look up what became of it, or send it again", "the log did not answer: %v", out.err).WithRan(fault.MayHaveRun)
	}
	return out.result, fault.New(fault.Unavailable, "retry when the log has a leader; see verbenastep replicas", "the log has no leader: %v", out.err)
}

// enqueue adds a command and begins a call where one more is allowed.
func (s *Service) enqueue(group string, cmd *command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[group]
	if q == nil {
		q = &queue{}
		s.queues[group] = q
	}
	q.waiting = append(q.waiting, cmd)
	if q.calls < callsInFlight {
		q.calls++
		go s.work(group, q)
	}
}

// work makes calls until nothing waits.
func (s *Service) work(group string, q *queue) {
	for {
		batch := s.take(q)
		if len(batch) == 0 {
			return
		}
		s.call(group, batch)
	}
}

func (s *Service) take(q *queue) []*command {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, size := 0, 0
	for n < len(q.waiting) && n < batchCommands && (n == 0 || size+len(q.waiting[n].data) <= batchBytes) {
		size += len(q.waiting[n].data)
		n++
	}
	batch := q.waiting[:n:n]
	q.waiting = q.waiting[n:]
	if n == 0 {
		q.calls--
	}
	return batch
}

// call makes attempts until all commands of a batch are settled.
func (s *Service) call(group string, batch []*command) {
	_, err := s.toLeader(context.Background(), group, true, func(ctx context.Context, log rpc.DRPCLogClient) (answer, error) {
		req := &rpc.ProposeRequest{Group: group}
		for _, c := range batch {
			req.Commands = append(req.Commands, c.data)
		}
		reply, err := log.Propose(ctx, req)
		batch = settle(batch, reply, err)
		if len(batch) == 0 {
			return answer{}, nil
		}
		return answer{refused: true, leader: reply.GetLeader()}, err
	})
	for _, c := range batch {
		c.done <- settled{unknown: c.unknown, err: err}
	}
}

// settle takes an attempt's outcome and returns what is to be sent again.
func settle(batch []*command, reply *rpc.ProposeReply, err error) []*command {
	left := []*command{}
	for i, c := range batch {
		out := &rpc.Proposed{Unknown: true}
		if err == nil && i < len(reply.Results) {
			out = reply.Results[i]
		}
		c.unknown = c.unknown || out.Unknown
		switch {
		case out.Refused, out.Unknown && c.again:
			left = append(left, c)
		case out.Unknown:
			c.done <- settled{unknown: true, err: errUnanswered(err)}
		default:
			s := settled{}
			s.err = json.Unmarshal(out.Result, &s.result)
			c.done <- s
		}
	}
	return left
}

// unanswered says that a replica stopped before it knew the outcome.
type unanswered struct{}

// Error names the remedy.
func (unanswered) Error() string { return "the replica stopped meanwhile; ask another one" }

func errUnanswered(err error) error {
	if err != nil {
		return err
	}
	return unanswered{}
}
