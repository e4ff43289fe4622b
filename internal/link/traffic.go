package link

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"storj.io/drpc"
	"storj.io/drpc/drpcenc"
)

// trafficEvery is how often the bytes by call are logged: often enough to place
// a change within an incident, rare beside all other lines.
const trafficEvery = 10 * time.Second

// traffic counts the bytes of messages by the call that they belong to. Framing
// and what the network adds are not in it.
type traffic struct {
	total *prometheus.CounterVec

	mu    sync.Mutex
	calls map[string]*call
}

// call has one call's counters, and its bytes since they were logged last.
type call struct {
	sent, received           prometheus.Counter
	sentSince, receivedSince atomic.Int64
}

func newTraffic() *traffic {
	return &traffic{
		calls: map[string]*call{},
		total: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "verbenastep", Subsystem: "link", Name: "bytes_total",
			Help: "Bytes of messages between daemons by the call they belong to, without framing.",
		}, []string{"rpc", "direction"}),
	}
}

// call returns the counters of a call.
func (t *traffic) call(rpc string) *call {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.calls[rpc]
	if c == nil {
		c = &call{sent: t.total.WithLabelValues(rpc, "sent"), received: t.total.WithLabelValues(rpc, "received")}
		t.calls[rpc] = c
	}
	return c
}

func (c *call) countSent(n int) {
	c.sent.Add(float64(n))
	c.sentSince.Add(int64(n))
}

func (c *call) countReceived(n int) {
	c.received.Add(float64(n))
	c.receivedSince.Add(int64(n))
}

// fields returns the bytes by call since the last time, and begins anew.
func (t *traffic) fields() []zap.Field {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent, received := map[string]int{}, map[string]int{}
	for rpc, c := range t.calls {
		if n := c.sentSince.Swap(0); n > 0 {
			sent[rpc] = int(n)
		}
		if n := c.receivedSince.Swap(0); n > 0 {
			received[rpc] = int(n)
		}
	}
	return []zap.Field{zap.Any("sent_bytes", sent), zap.Any("received_bytes", received)}
}

// meteredEncoding counts the encoded bytes.
type meteredEncoding struct {
	drpc.Encoding
	call *call
}

// Marshal encodes a message that is sent.
func (e meteredEncoding) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := e.Encoding.Marshal(msg)
	e.call.countSent(len(data))
	return data, err
}

// MarshalAppend encodes a message that is sent into a buffer that is used again.
func (e meteredEncoding) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	data, err := drpcenc.MarshalAppend(msg, e.Encoding, buf)
	e.call.countSent(max(0, len(data)-len(buf)))
	return data, err
}

// Unmarshal decodes a message that arrived.
func (e meteredEncoding) Unmarshal(data []byte, msg drpc.Message) error {
	e.call.countReceived(len(data))
	return e.Encoding.Unmarshal(data, msg)
}

// meteredStream counts a stream that was opened here or by another daemon.
type meteredStream struct {
	drpc.Stream
	call *call
}

// MsgSend sends a message.
func (s meteredStream) MsgSend(msg drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgSend(msg, meteredEncoding{Encoding: enc, call: s.call})
}

// MsgRecv receives a message.
func (s meteredStream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgRecv(msg, meteredEncoding{Encoding: enc, call: s.call})
}
