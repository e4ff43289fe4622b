package schedclient

import (
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
)

// cause is the reason why bytes cross the link between two regions.
type cause string

// Causes, as metric labels. The sizes of prompts and answers are estimated from
// their token counts.
const (
	causeScheduling cause = "scheduling"
	causePrompt     cause = "prompt"
	causeAnswer     cause = "answer"
)

// bytesPerToken is the assumed average length of a token's text, in bytes.
const bytesPerToken = 4

// linkBytes counts the bytes sent over inter-region links, by region and cause.
type linkBytes struct {
	total *prometheus.CounterVec
}

func newLinkBytes(r prometheus.Registerer) (*linkBytes, error) {
	l := &linkBytes{total: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "verbenastep_sched_link_bytes_total", Help: "Bytes that scheduling sent over the link between regions.",
	}, []string{"region", "cause"})}
	return l, r.Register(l.total)
}

// countLinkBytes counts bytes if the session's dispatcher is in another region.
func (s *session) countLinkBytes(c cause, bytes int) {
	if s.pool.Region == s.service.set.Region || s.service.bytes == nil {
		return
	}
	s.service.bytes.total.WithLabelValues(s.pool.Region, string(c)).Add(float64(bytes))
}

func (s *session) countPrompt(tokens int) {
	s.countLinkBytes(causePrompt, tokens*bytesPerToken)
}

func (s *session) countAnswer(tokens int) {
	s.countLinkBytes(causeAnswer, tokens*bytesPerToken)
}

func sizeOf(m proto.Message) int { return proto.Size(m) }
