package schedclient

import (
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
)

// cause is why bytes cross the link between two regions.
type cause string

// Causes. Prompts and answers are estimated from their tokens.
const (
	causeScheduling cause = "scheduling"
	causePrompt     cause = "prompt"
	causeAnswer     cause = "answer"
)

// bytesPerToken estimates the bytes of a token's text.
const bytesPerToken = 4

// linkBytes counts bytes across the link by cause.
type linkBytes struct {
	total *prometheus.CounterVec
}

func newLinkBytes(r prometheus.Registerer) (*linkBytes, error) {
	l := &linkBytes{total: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "verbenastep_sched_link_bytes_total", Help: "Bytes that scheduling sent over the link between regions.",
	}, []string{"region", "cause"})}
	return l, r.Register(l.total)
}

// crossed counts bytes where the place is in another region.
func (s *session) crossed(c cause, bytes int) {
	if s.place.Region == s.service.set.Region || s.service.bytes == nil {
		return
	}
	s.service.bytes.total.WithLabelValues(s.place.Region, string(c)).Add(float64(bytes))
}

func (s *session) promptCrosses(tokens int) {
	s.crossed(causePrompt, tokens*bytesPerToken)
}

func (s *session) answerCrossed(tokens int) {
	s.crossed(causeAnswer, tokens*bytesPerToken)
}

func sizeOf(m proto.Message) int { return proto.Size(m) }
