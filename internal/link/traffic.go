package link

import (
	"sync"
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
	sent, received          prometheus.Counter
	sentSince, arrivedSince int
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

// encoding counts what passes through an encoding for a call.
func (t *traffic) encoding(rpc string, next drpc.Encoding) drpc.Encoding {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.calls[rpc]
	if c == nil {
		c = &call{sent: t.total.WithLabelValues(rpc, "sent"), received: t.total.WithLabelValues(rpc, "received")}
		t.calls[rpc] = c
	}
	return meteredEncoding{Encoding: next, traffic: t, call: c}
}

func (t *traffic) sent(c *call, n int) {
	c.sent.Add(float64(n))
	t.mu.Lock()
	c.sentSince += n
	t.mu.Unlock()
}

func (t *traffic) arrived(c *call, n int) {
	c.received.Add(float64(n))
	t.mu.Lock()
	c.arrivedSince += n
	t.mu.Unlock()
}

// fields returns the bytes by call since the last time, and begins anew.
func (t *traffic) fields() []zap.Field {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent, received := map[string]int{}, map[string]int{}
	for rpc, c := range t.calls {
		if c.sentSince > 0 {
			sent[rpc] = c.sentSince
		}
		if c.arrivedSince > 0 {
			received[rpc] = c.arrivedSince
		}
		c.sentSince, c.arrivedSince = 0, 0
	}
	return []zap.Field{zap.Any("sent_bytes", sent), zap.Any("received_bytes", received)}
}

// meteredEncoding counts the encoded bytes.
type meteredEncoding struct {
	drpc.Encoding
	traffic *traffic
	call    *call
}

// Marshal encodes a message that is sent.
func (e meteredEncoding) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := e.Encoding.Marshal(msg)
	e.traffic.sent(e.call, len(data))
	return data, err
}

// MarshalAppend encodes a message that is sent into a buffer that is used again.
func (e meteredEncoding) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	data, err := drpcenc.MarshalAppend(msg, e.Encoding, buf)
	e.traffic.sent(e.call, max(0, len(data)-len(buf)))
	return data, err
}

// Unmarshal decodes a message that arrived.
func (e meteredEncoding) Unmarshal(data []byte, msg drpc.Message) error {
	e.traffic.arrived(e.call, len(data))
	return e.Encoding.Unmarshal(data, msg)
}

// meteredStream counts a stream that was opened here or by another daemon.
type meteredStream struct {
	drpc.Stream
	traffic *traffic
	rpc     string
}

// MsgSend sends a message.
func (s meteredStream) MsgSend(msg drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgSend(msg, s.traffic.encoding(s.rpc, enc))
}

// MsgRecv receives a message.
func (s meteredStream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgRecv(msg, s.traffic.encoding(s.rpc, enc))
}
