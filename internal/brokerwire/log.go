package brokerwire

import (
	"strconv"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/core/broker"
)

// hexadecimal is the base in which contents are logged.
const hexadecimal = 16

// SuspicionFields returns the log fields of a suspicion.
func SuspicionFields(x broker.Suspicion) []zap.Field {
	return []zap.Field{
		zap.String("entry", x.ID.Entry), zap.Uint64("number", x.ID.Number), zap.String("upstream", x.Upstream),
		zap.String("content", strconv.FormatUint(x.Content, hexadecimal)), zap.Int("crashes", x.Crashes), zap.Bool("quarantined", x.Quarantined), zap.Duration("settled_after", x.SettledAfter),
	}
}

// LimitFields returns the log fields of an upstream's limit.
func LimitFields(l broker.RequestLimit) []zap.Field {
	return []zap.Field{zap.String("upstream", l.Upstream), zap.Int64("born", l.Born), zap.Bool("limited", l.Limited), zap.Float64("per_second", l.PerSecond), zap.Bool("brittle", l.Brittle), zap.Int("max_rejections", l.MaxRejections)}
}
