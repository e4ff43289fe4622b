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
	// maxCallsInFlight bounds the concurrent Propose calls to one group;
	// commands that arrive meanwhile are batched into the next call.
	maxCallsInFlight = 4
	// maxBatchCommands and maxBatchBytes bound the commands of one call.
	maxBatchCommands = 512
	maxBatchBytes    = 1 << 20
)

// pendingCommand is a command whose outcome is not known yet.
type pendingCommand struct {
	data []byte
	// repeatable reports that the command may be sent again after an attempt
	// without an answer; see idempotent.
	repeatable bool
	// outcomeUnknown reports that an attempt ended without an answer, so that
	// the command may have committed.
	outcomeUnknown bool
	done           chan commandResult
}

// commandResult is the outcome of a command.
type commandResult struct {
	result         state.Result
	outcomeUnknown bool
	err            error
}

// queue holds the commands of one group that have not been sent yet.
type queue struct {
	waiting       []*pendingCommand
	callsInFlight int
}

// idempotent reports whether committing the command twice has the same effect
// and result as committing it once. A Suspect command counts crashes, so it is
// not. A Rollout command is: a repeated order finds its own record, and a record
// is never lowered.
func idempotent(c state.Command) bool {
	return c.Suspect == nil
}

// Propose commits a command through the leader and returns its result. It
// returns fault.Unavailable if the command was certainly not committed,
// fault.Unknown if it may have been, and fault.TooLarge if it exceeds
// port.MaxCommandBytes.
func (s *Service) Propose(ctx context.Context, group string, c state.Command) (state.Result, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return state.Result{}, err
	}
	if len(data) > port.MaxCommandBytes {
		return state.Result{}, fault.New(fault.TooLarge, "split it, or send less", "the command has %d bytes, the log takes %d", len(data), port.MaxCommandBytes)
	}
	command := &pendingCommand{data: data, repeatable: idempotent(c), done: make(chan commandResult, 1)}
	s.enqueue(group, command)
	out := commandResult{outcomeUnknown: true}
	select {
	case out = <-command.done:
	case <-ctx.Done():
		out.err = ctx.Err()
	}
	if out.err == nil {
		return out.result, nil
	}
	if out.outcomeUnknown {
		return out.result, fault.New(fault.Unknown, "look up what became of it, or send it again", "the log did not answer: %v", out.err).WithRan(fault.MayHaveRun)
	}
	return out.result, fault.New(fault.Unavailable, "retry when the log has a leader; see verbenastep replicas", "the log has no leader: %v", out.err)
}

// enqueue adds a command to the group's queue and starts another sender if fewer
// than maxCallsInFlight run.
func (s *Service) enqueue(group string, command *pendingCommand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[group]
	if q == nil {
		q = &queue{}
		s.queues[group] = q
	}
	q.waiting = append(q.waiting, command)
	if q.callsInFlight < maxCallsInFlight {
		q.callsInFlight++
		go s.sendBatches(group, q)
	}
}

// sendBatches sends batches until the queue is empty.
func (s *Service) sendBatches(group string, q *queue) {
	for {
		batch := s.nextBatch(q)
		if len(batch) == 0 {
			return
		}
		s.sendBatch(group, batch)
	}
}

// nextBatch removes the next batch from the queue. An empty batch ends the
// sender, whose call is no longer counted.
func (s *Service) nextBatch(q *queue) []*pendingCommand {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, size := 0, 0
	for n < len(q.waiting) && n < maxBatchCommands && (n == 0 || size+len(q.waiting[n].data) <= maxBatchBytes) {
		size += len(q.waiting[n].data)
		n++
	}
	batch := q.waiting[:n:n]
	q.waiting = q.waiting[n:]
	if n == 0 {
		q.callsInFlight--
	}
	return batch
}

// sendBatch makes attempts until every command of the batch has an outcome or
// callTimeout ends.
func (s *Service) sendBatch(group string, batch []*pendingCommand) {
	_, err := s.callLeader(context.Background(), group, true, func(ctx context.Context, log rpc.DRPCLogClient) (attemptResult, error) {
		req := &rpc.ProposeRequest{Group: group}
		for _, c := range batch {
			req.Commands = append(req.Commands, c.data)
		}
		reply, err := log.Propose(ctx, req)
		batch = settleBatch(batch, reply, err)
		if len(batch) == 0 {
			return attemptResult{}, nil
		}
		return attemptResult{refused: true, leader: reply.GetLeader()}, err
	})
	for _, c := range batch {
		c.done <- commandResult{outcomeUnknown: c.outcomeUnknown, err: err}
	}
}

// settleBatch delivers the results of an attempt and returns the commands to
// send again.
func settleBatch(batch []*pendingCommand, reply *rpc.ProposeReply, err error) []*pendingCommand {
	remaining := []*pendingCommand{}
	for i, c := range batch {
		out := &rpc.Proposed{Unknown: true}
		if err == nil && i < len(reply.Results) {
			out = reply.Results[i]
		}
		c.outcomeUnknown = c.outcomeUnknown || out.Unknown
		switch {
		case out.Refused, out.Unknown && c.repeatable:
			remaining = append(remaining, c)
		case out.Unknown:
			c.done <- commandResult{outcomeUnknown: true, err: unknownOutcomeError(err)}
		default:
			s := commandResult{}
			s.err = json.Unmarshal(out.Result, &s.result)
			c.done <- s
		}
	}
	return remaining
}

// replicaStoppedError reports that a replica ended the call before it knew the
// outcome of a command.
type replicaStoppedError struct{}

// Error implements error.
func (replicaStoppedError) Error() string { return "the replica stopped meanwhile; ask another one" }

func unknownOutcomeError(err error) error {
	if err != nil {
		return err
	}
	return replicaStoppedError{}
}
