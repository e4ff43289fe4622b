package logging

import (
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// bufferBytes is the most that waits for a slow reader.
	bufferBytes = 256 << 10
	// bytesPerSecond is the most that is written over time, with a second's
	// worth at once: 2,000 lines of 500 bytes.
	bytesPerSecond = 1 << 20
	// Below these parts of the room that is left, lines of a level are dropped:
	// details first, what says why a request failed last.
	infoRoom = 0.5
	warnRoom = 0.1
)

// sink writes lines in the background, in order, and never makes a caller wait:
// what does not fit is dropped and counted.
type sink struct {
	out   io.Writer
	most  int
	rate  float64
	ready *sync.Cond

	mu      sync.Mutex
	pending []byte
	// credit is how many bytes may be written now, as of since.
	credit  float64
	since   time.Time
	dropped int
	writing bool
}

func newSink(out io.Writer, most int, rate float64) *sink {
	s := &sink{out: out, most: most, rate: rate, credit: rate, since: time.Now()}
	s.ready = sync.NewCond(&s.mu)
	go s.run()
	return s
}

// room is the part of the buffer or of the rate that is left, whichever is
// less; the lock is held.
func (s *sink) room() float64 {
	now := time.Now()
	s.credit = min(s.rate, s.credit+s.rate*now.Sub(s.since).Seconds())
	s.since = now
	return min(1-float64(len(s.pending))/float64(s.most), s.credit/s.rate)
}

// admits tells whether a line of a level is written, and counts it otherwise.
func (s *sink) admits(l zapcore.Level, important bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	least := infoRoom
	if l >= zapcore.WarnLevel || important {
		least = warnRoom
	}
	if s.room() >= least {
		return true
	}
	s.dropped++
	return false
}

// Write queues one line.
func (s *sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending)+len(line) > s.most {
		s.dropped++
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	s.credit -= float64(len(line))
	s.ready.Signal()
	return len(line), nil
}

// Sync waits until all is written, but not for a reader that has stopped.
func (s *sink) Sync() error {
	const patience, pause = time.Second, 5 * time.Millisecond
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(pause) {
		s.mu.Lock()
		idle := len(s.pending) == 0 && !s.writing
		s.mu.Unlock()
		if idle {
			return nil
		}
	}
	return nil
}

func (s *sink) run() {
	for {
		s.mu.Lock()
		s.writing = false
		for len(s.pending) == 0 {
			s.ready.Wait()
		}
		batch := s.pending
		s.pending = nil
		s.writing = true
		s.mu.Unlock()
		// There is nowhere to report that standard output fails.
		_, _ = s.out.Write(batch)
	}
}

// takeDropped returns how many lines were dropped since the last call, once
// there is room again.
func (s *sink) takeDropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropped == 0 || s.room() < infoRoom {
		return 0
	}
	n := s.dropped
	s.dropped = 0
	return n
}

// Important marks a line that says why a request failed: it is dropped only
// after all lines that say less.
func Important() zap.Field { return zap.Field{Key: importantKey, Type: zapcore.SkipType} }

const importantKey = "important"

// core drops lines that the sink does not admit, and says so in one line when
// there is room again.
type core struct {
	zapcore.Core
	sink *sink
}

// With adds fields.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	return &core{Core: c.Core.With(fields), sink: c.sink}
}

// Check adds the core to an entry that is enabled.
func (c *core) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return ce
	}
	return ce.AddCore(e, c)
}

// Write writes an entry or drops it.
func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	important := false
	for _, f := range fields {
		important = important || f.Key == importantKey && f.Type == zapcore.SkipType
	}
	if !c.sink.admits(e.Level, important) {
		return nil
	}
	if n := c.sink.takeDropped(); n > 0 {
		lost := zapcore.Entry{Level: zapcore.WarnLevel, Time: e.Time, LoggerName: "log", Message: "lines were dropped; the reader is slow or the load high"}
		if err := c.Core.Write(lost, []zapcore.Field{zap.Int("dropped", n)}); err != nil {
			return err
		}
	}
	return c.Core.Write(e, fields)
}
