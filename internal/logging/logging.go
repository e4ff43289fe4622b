// Package logging builds the daemon's logger. Logging never blocks: if the reader
// of the output is slow or the rate too high, lines are dropped and counted, the
// least important first.
package logging

import (
	"fmt"
	"io"
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/verbenastep/verbenastep/internal/settings"
)

// New returns a logger that writes to standard error, or to standard output if
// the settings say so. It returns an error if the level is unknown.
func New(s settings.Log) (*zap.Logger, error) {
	out := io.Writer(os.Stderr)
	if s.Stdout {
		out = os.Stdout
	}
	return newLogger(s, newSink(out, maxBufferBytes, maxBytesPerSecond))
}

func newLogger(s settings.Log, to *sink) (*zap.Logger, error) {
	level := zapcore.InfoLevel
	if s.Level != "" {
		parsed, err := zapcore.ParseLevel(s.Level)
		if err != nil {
			return nil, fmt.Errorf("log level %q is not known; write debug, info, warn or error", s.Level)
		}
		level = parsed
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder := zapcore.NewConsoleEncoder(config)
	if s.Format == "json" {
		encoder = zapcore.NewJSONEncoder(config)
	}
	return zap.New(&core{Core: zapcore.NewCore(encoder, to, level), sink: to}), nil
}
