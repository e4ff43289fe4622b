package replica

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/consensus"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/settings"
)

const (
	// queuedMessages bounds messages to one replica; beyond it they are lost,
	// as on a broken connection.
	queuedMessages = 1024
	// batchBytes bounds one batch of messages.
	batchBytes = 1 << 20
	// signEvery is the pause between a receiver's signs of life.
	signEvery = 300 * time.Millisecond
	// silence is how long a stream may go without one while messages are sent.
	silence = 1500 * time.Millisecond
	// redialPause is the wait before a broken stream is opened anew.
	redialPause = 100 * time.Millisecond
)

// outgoing is a message for another replica.
type outgoing struct {
	group   string
	message consensus.Message
}

// router keeps one stream to each other replica, shared by all groups.
type router struct {
	ctx  context.Context
	link port.Link
	set  *settings.Settings
	log  *zap.Logger
	done sync.WaitGroup

	mu     sync.Mutex
	queues map[string]chan outgoing
	known  map[consensus.ID]string
}

func newRouter(ctx context.Context, link port.Link, set *settings.Settings, log *zap.Logger) *router {
	return &router{ctx: ctx, link: link, set: set, log: log, queues: map[string]chan outgoing{}, known: map[consensus.ID]string{}}
}

// learn notes where a replica was heard from.
func (r *router) learn(id consensus.ID, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known[id] = address
}

// address returns where a replica was last heard from, empty where it was not.
func (r *router) address(id consensus.ID) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known[id]
}

// send queues a message.
func (r *router) send(group, address string, m consensus.Message) {
	select {
	case r.queue(address) <- outgoing{group: group, message: m}:
	default:
	}
}

func (r *router) queue(address string) chan outgoing {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.queues[address]
	if q == nil {
		q = make(chan outgoing, queuedMessages)
		r.queues[address] = q
		r.done.Go(func() { r.feed(address, q) })
	}
	return q
}

// feed keeps a stream open while there is something to send.
func (r *router) feed(address string, q chan outgoing) {
	for r.ctx.Err() == nil {
		select {
		case <-r.ctx.Done():
			return
		case m := <-q:
			if err := r.stream(address, q, m); err != nil {
				r.log.Debug("stream to replica ended", zap.String("address", address), zap.Error(err))
			}
		}
		select {
		case <-r.ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

func (r *router) stream(address string, q chan outgoing, first outgoing) error {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	stream, err := rpc.NewDRPCLogClient(r.link.Conn(address)).Step(ctx)
	if err != nil {
		return err
	}
	defer stream.Close()
	// A stream on which nothing comes back is cut: the watchdog also ends a
	// Send that blocks.
	watchdog := time.AfterFunc(silence, cancel)
	defer watchdog.Stop()
	go func() {
		for {
			if _, err := stream.Recv(); err != nil {
				cancel()
				return
			}
			watchdog.Reset(silence)
		}
	}()
	idle := time.NewTimer(silence)
	defer idle.Stop()
	next := first
	for {
		if err := r.sendBatch(stream, q, next); err != nil {
			return err
		}
		idle.Reset(silence / 2)
		select {
		case next = <-q:
		case <-idle.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendBatch sends the message and what waits behind it for the same group.
func (r *router) sendBatch(stream rpc.DRPCLog_StepClient, q chan outgoing, next outgoing) error {
	for {
		batch := &rpc.StepBatch{Group: next.group, From: r.set.Name, FromAddress: r.set.Addresses.Peers}
		size, more := 0, false
		for {
			b := consensus.EncodeMessage(next.message)
			batch.Messages = append(batch.Messages, b)
			size += len(b)
			if next, more = poll(q); !more || next.group != batch.Group || size > batchBytes {
				break
			}
		}
		if err := stream.Send(batch); err != nil || !more {
			return err
		}
	}
}

func poll(q chan outgoing) (outgoing, bool) {
	select {
	case m := <-q:
		return m, true
	default:
		return outgoing{}, false
	}
}

func (r *router) wait() { r.done.Wait() }

// step gives messages to the loop.
func (g *group) step(ctx context.Context, messages []consensus.Message) error {
	for len(messages) > 0 {
		n := len(messages)
		if g.limits.syncEach {
			n = 1
		}
		part := messages[:n]
		messages = messages[n:]
		err := g.do(ctx, func(e *engine) {
			for _, m := range part {
				e.node.Step(m)
			}
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Step takes another replica's messages.
func (s *Service) Step(stream rpc.DRPCLog_StepStream) error {
	signed := time.Time{}
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		g, err := s.group(batch.Group)
		if err != nil {
			return err
		}
		messages := make([]consensus.Message, 0, len(batch.Messages))
		for _, b := range batch.Messages {
			m, err := consensus.DecodeMessage(b)
			if err != nil {
				return err
			}
			s.router.learn(m.From, batch.FromAddress)
			messages = append(messages, m)
		}
		if err := g.step(stream.Context(), messages); err != nil {
			return err
		}
		if time.Since(signed) > signEvery {
			signed = time.Now()
			if err := stream.Send(&rpc.StepBatch{Group: batch.Group, From: s.set.Name}); err != nil {
				return err
			}
		}
	}
}
