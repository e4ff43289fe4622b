package logging

import (
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxBufferBytes is the maximum number of bytes buffered for a slow reader.
	maxBufferBytes = 256 << 10
	// maxBytesPerSecond is the rate limit of the output, about 2,000 lines of 500
	// bytes; a burst may use one second's worth.
	maxBytesPerSecond = 1 << 20
	// minInfoRoom and minWarnRoom are the fractions of free room below which lines
	// are dropped: first debug and info lines, last warnings, errors and lines
	// marked by Important.
	minInfoRoom = 0.5
	minWarnRoom = 0.1
)

// sink writes lines in order from a goroutine of its own, so that a slow reader
// never blocks a caller. Lines that do not fit are dropped and counted.
type sink struct {
	out io.Writer
	// maxPending bounds pending, in bytes; rate is in bytes per second.
	maxPending int
	rate       float64
	ready      *sync.Cond

	mu      sync.Mutex
	pending []byte
	// credit is how many bytes the rate limit allows, as of creditAt.
	credit   float64
	creditAt time.Time
	dropped  int
	writing  bool
}

func newSink(out io.Writer, maxPending int, rate float64) *sink {
	s := &sink{out: out, maxPending: maxPending, rate: rate, credit: rate, creditAt: time.Now()}
	s.ready = sync.NewCond(&s.mu)
	go s.run()
	return s
}

// room returns the free fraction of the buffer or the unused fraction of the rate
// limit, whichever is less. The caller holds the lock.
func (s *sink) room() float64 {
	now := time.Now()
	s.credit = min(s.rate, s.credit+s.rate*now.Sub(s.creditAt).Seconds())
	s.creditAt = now
	return min(1-float64(len(s.pending))/float64(s.maxPending), s.credit/s.rate)
}

// admit reports whether a line is to be written, and otherwise counts it as dropped.
func (s *sink) admit(l zapcore.Level, important bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	minRoom := minInfoRoom
	if l >= zapcore.WarnLevel || important {
		minRoom = minWarnRoom
	}
	if s.room() >= minRoom {
		return true
	}
	s.dropped++
	return false
}

// Write queues one line, or drops it if the buffer is full. It never fails.
func (s *sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending)+len(line) > s.maxPending {
		s.dropped++
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	s.credit -= float64(len(line))
	s.ready.Signal()
	return len(line), nil
}

// Sync waits until all lines are written, at most a second: a stopped reader must
// not block the daemon.
func (s *sink) Sync() error {
	const timeout, interval = time.Second, 5 * time.Millisecond
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(interval) {
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
		// An error is ignored: there is nowhere left to report it.
		_, _ = s.out.Write(batch)
	}
}

// takeDropped returns the number of dropped lines and resets it, or returns 0
// while there is no room for info lines.
func (s *sink) takeDropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropped == 0 || s.room() < minInfoRoom {
		return 0
	}
	n := s.dropped
	s.dropped = 0
	return n
}

// Important returns a field that marks a line as saying why a request failed: the
// line is dropped only when warnings are. The field itself is not written.
func Important() zap.Field { return zap.Field{Key: importantKey, Type: zapcore.SkipType} }

const importantKey = "important"

// core drops the lines that the sink does not admit, and logs their number once
// there is room again.
type core struct {
	zapcore.Core
	sink *sink
}

// With returns a core that adds fields to each line.
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

// Write writes an entry, or drops it if the sink does not admit it.
func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	important := false
	for _, f := range fields {
		important = important || f.Key == importantKey && f.Type == zapcore.SkipType
	}
	if !c.sink.admit(e.Level, important) {
		return nil
	}
	if n := c.sink.takeDropped(); n > 0 {
		notice := zapcore.Entry{Level: zapcore.WarnLevel, Time: e.Time, LoggerName: "log", Message: "lines were dropped; the reader is slow or the load high"}
		if err := c.Core.Write(notice, []zapcore.Field{zap.Int("dropped", n)}); err != nil {
			return err
		}
	}
	return c.Core.Write(e, fields)
}
