package broker

import (
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/broker"
)

// reportPace counts the changes of windows since the last round and logs those that end slow
// start or cut it. The caller holds the lock.
func (s *Service) reportPace() {
	if s.set.Routing == nil || s.set.Routing.Pace == nil {
		return
	}
	for _, c := range s.core.TakePaceChanges() {
		s.metrics.paceChanges.WithLabelValues(string(c.Event)).Inc()
		fields := []zap.Field{zap.String("upstream", c.Upstream), zap.Int("slots", c.Window), zap.Int("answers", c.Answers), zap.Duration("after", c.Since), zap.String("reason", c.Reason)}
		switch c.Event {
		case broker.PaceOpened:
			s.log.Info("slow start of upstream ended", fields...)
		case broker.PaceShrunk:
			s.log.Info("slow start of upstream cut", fields...)
		}
	}
	s.metrics.paceOpening.Set(float64(s.core.WindowsOpening()))
}
