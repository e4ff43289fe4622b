// Package logging builds the daemons' loggers.
package logging

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/verbenastep/verbenastep/internal/settings"
)

// New returns a logger that writes to standard error.
func New(s settings.Log) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.Encoding = "console"
	if s.Format == "json" {
		cfg.Encoding = "json"
	}
	cfg.Sampling = nil
	cfg.DisableCaller = true
	cfg.DisableStacktrace = true
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	if s.Level != "" {
		level, err := zapcore.ParseLevel(s.Level)
		if err != nil {
			return nil, fmt.Errorf("log level %q is not known; write debug, info, warn or error", s.Level)
		}
		cfg.Level = zap.NewAtomicLevelAt(level)
	}
	if s.Stdout {
		cfg.OutputPaths = []string{"stdout"}
	}
	return cfg.Build()
}
