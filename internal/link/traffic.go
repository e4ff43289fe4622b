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

// trafficLogInterval is the interval of the "link traffic" log message: short
// enough to locate a change within an incident, long enough to add little to the
// log.
const trafficLogInterval = 10 * time.Second

// traffic counts message bytes per RPC, without DRPC framing and network
// overhead. It is safe for concurrent use.
type traffic struct {
	total *prometheus.CounterVec

	mu             sync.Mutex
	countersByCall map[string]*callCounters
}

// callCounters holds the metrics of one RPC, and the bytes sent and received
// since the last log message.
type callCounters struct {
	sent, received                 prometheus.Counter
	sentSinceLog, receivedSinceLog atomic.Int64
}

func newTraffic() *traffic {
	return &traffic{
		countersByCall: map[string]*callCounters{},
		total: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "verbenastep", Subsystem: "link", Name: "bytes_total",
			Help: "Bytes of messages between daemons by the call they belong to, without framing.",
		}, []string{"rpc", "direction"}),
	}
}

// counters returns the counters of an RPC, created on first use.
func (t *traffic) counters(rpc string) *callCounters {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.countersByCall[rpc]
	if c == nil {
		c = &callCounters{sent: t.total.WithLabelValues(rpc, "sent"), received: t.total.WithLabelValues(rpc, "received")}
		t.countersByCall[rpc] = c
	}
	return c
}

func (c *callCounters) countSent(n int) {
	c.sent.Add(float64(n))
	c.sentSinceLog.Add(int64(n))
}

func (c *callCounters) countReceived(n int) {
	c.received.Add(float64(n))
	c.receivedSinceLog.Add(int64(n))
}

// takeFields returns the log fields with the bytes per RPC since the previous
// call and resets them. RPCs without traffic are left out.
func (t *traffic) takeFields() []zap.Field {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent, received := map[string]int{}, map[string]int{}
	for rpc, c := range t.countersByCall {
		if n := c.sentSinceLog.Swap(0); n > 0 {
			sent[rpc] = int(n)
		}
		if n := c.receivedSinceLog.Swap(0); n > 0 {
			received[rpc] = int(n)
		}
	}
	return []zap.Field{zap.Any("sent_bytes", sent), zap.Any("received_bytes", received)}
}

// meteredEncoding counts the bytes of the messages it encodes and decodes.
type meteredEncoding struct {
	drpc.Encoding
	counters *callCounters
}

// Marshal implements drpc.Encoding and counts the result as sent.
func (e meteredEncoding) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := e.Encoding.Marshal(msg)
	e.counters.countSent(len(data))
	return data, err
}

// MarshalAppend appends the encoded message to buf and counts it as sent. DRPC
// calls it instead of Marshal to reuse its buffer.
func (e meteredEncoding) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	data, err := drpcenc.MarshalAppend(msg, e.Encoding, buf)
	e.counters.countSent(max(0, len(data)-len(buf)))
	return data, err
}

// Unmarshal implements drpc.Encoding and counts data as received.
func (e meteredEncoding) Unmarshal(data []byte, msg drpc.Message) error {
	e.counters.countReceived(len(data))
	return e.Encoding.Unmarshal(data, msg)
}

// meteredStream counts the message bytes of an incoming or outgoing stream.
type meteredStream struct {
	drpc.Stream
	counters *callCounters
}

// MsgSend implements drpc.Stream.
func (s meteredStream) MsgSend(msg drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgSend(msg, meteredEncoding{Encoding: enc, counters: s.counters})
}

// MsgRecv implements drpc.Stream.
func (s meteredStream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgRecv(msg, meteredEncoding{Encoding: enc, counters: s.counters})
}
