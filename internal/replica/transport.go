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
	// maxQueuedMessages bounds the queue to one replica. Messages beyond it are
	// dropped, which consensus tolerates like a broken connection.
	maxQueuedMessages = 1024
	// maxBatchBytes is the size at which a batch of messages is complete.
	maxBatchBytes = 1 << 20
	// ackInterval is the shortest interval between the acknowledgements that a
	// receiver sends.
	ackInterval = 300 * time.Millisecond
	// streamTimeout is the time without an acknowledgement after which a stream
	// is closed.
	streamTimeout = 1500 * time.Millisecond
	// reconnectDelay is the delay before another stream is opened.
	reconnectDelay = 100 * time.Millisecond
)

// outgoingMessage is a message to another replica.
type outgoingMessage struct {
	group   string
	message consensus.Message
}

// transport sends messages over one stream per replica, shared by all groups.
// It is safe for concurrent use.
type transport struct {
	ctx        context.Context
	link       port.Link
	set        *settings.Settings
	log        *zap.Logger
	goroutines sync.WaitGroup

	mu        sync.Mutex
	queues    map[string]chan outgoingMessage
	addresses map[consensus.ID]string
}

func newTransport(ctx context.Context, link port.Link, set *settings.Settings, log *zap.Logger) *transport {
	return &transport{ctx: ctx, link: link, set: set, log: log, queues: map[string]chan outgoingMessage{}, addresses: map[consensus.ID]string{}}
}

// recordAddress implements sender.
func (t *transport) recordAddress(id consensus.ID, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addresses[id] = address
}

// address implements sender.
func (t *transport) address(id consensus.ID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addresses[id]
}

// send implements sender. It drops the message if the queue is full.
func (t *transport) send(group, address string, m consensus.Message) {
	select {
	case t.queueFor(address) <- outgoingMessage{group: group, message: m}:
	default:
	}
}

// queueFor returns the queue to an address and starts its sender on first use.
func (t *transport) queueFor(address string) chan outgoingMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[address]
	if q == nil {
		q = make(chan outgoingMessage, maxQueuedMessages)
		t.queues[address] = q
		t.goroutines.Go(func() { t.sendLoop(address, q) })
	}
	return q
}

// sendLoop opens a stream whenever there are messages to send, until the context
// ends.
func (t *transport) sendLoop(address string, q chan outgoingMessage) {
	for t.ctx.Err() == nil {
		select {
		case <-t.ctx.Done():
			return
		case m := <-q:
			if err := t.sendStream(address, q, m); err != nil {
				t.log.Debug("stream to replica ended", zap.String("address", address), zap.Error(err))
			}
		}
		select {
		case <-t.ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// sendStream opens a stream and sends first and all queued messages. It returns
// nil once nothing has been queued for half of streamTimeout.
func (t *transport) sendStream(address string, q chan outgoingMessage, first outgoingMessage) error {
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	stream, err := rpc.NewDRPCLogClient(t.link.Conn(address)).Step(ctx)
	if err != nil {
		return err
	}
	defer stream.Close()
	// The watchdog closes a stream without acknowledgements, which also unblocks
	// a Send in progress.
	watchdog := time.AfterFunc(streamTimeout, cancel)
	defer watchdog.Stop()
	go func() {
		for {
			if _, err := stream.Recv(); err != nil {
				cancel()
				return
			}
			watchdog.Reset(streamTimeout)
		}
	}()
	idle := time.NewTimer(streamTimeout)
	defer idle.Stop()
	next := first
	for {
		if err := t.sendBatch(stream, q, next); err != nil {
			return err
		}
		idle.Reset(streamTimeout / 2)
		select {
		case next = <-q:
		case <-idle.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendBatch sends next and the queued messages of the same group in one batch,
// and repeats this until the queue is empty.
func (t *transport) sendBatch(stream rpc.DRPCLog_StepClient, q chan outgoingMessage, next outgoingMessage) error {
	for {
		batch := &rpc.StepBatch{Group: next.group, From: t.set.Name, FromAddress: t.set.Addresses.Peers}
		size, more := 0, false
		for {
			b := consensus.EncodeMessage(next.message)
			batch.Messages = append(batch.Messages, b)
			size += len(b)
			if next, more = tryReceive(q); !more || next.group != batch.Group || size > maxBatchBytes {
				break
			}
		}
		if err := stream.Send(batch); err != nil || !more {
			return err
		}
	}
}

// tryReceive returns the next queued message without blocking.
func tryReceive(q chan outgoingMessage) (outgoingMessage, bool) {
	select {
	case m := <-q:
		return m, true
	default:
		return outgoingMessage{}, false
	}
}

func (t *transport) wait() { t.goroutines.Wait() }

// step passes messages to the node in the group's loop.
func (g *group) step(ctx context.Context, messages []consensus.Message) error {
	for len(messages) > 0 {
		n := len(messages)
		if g.limits.syncEachEntry {
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

// Step receives the messages of another replica, and acknowledges them at most
// once per ackInterval.
func (s *Service) Step(stream rpc.DRPCLog_StepStream) error {
	lastAck := time.Time{}
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
			s.transport.recordAddress(m.From, batch.FromAddress)
			messages = append(messages, m)
		}
		if err := g.step(stream.Context(), messages); err != nil {
			return err
		}
		if time.Since(lastAck) > ackInterval {
			lastAck = time.Now()
			if err := stream.Send(&rpc.StepBatch{Group: batch.Group, From: s.set.Name}); err != nil {
				return err
			}
		}
	}
}
