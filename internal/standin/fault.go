package standin

import (
	"encoding/json"
	"net/http"

	"github.com/verbenastep/verbenastep/api/upstream"
)

// Fault is a way in which a runner misbehaves.
type Fault string

// Faults of a connection, except Refuse, which is of a start.
const (
	// Silent sends nothing more, heartbeats neither, and keeps the connection.
	Silent Fault = "silent"
	// Cut closes the connection in the middle of the stream.
	Cut Fault = "cut"
	// Truncated closes the connection in the middle of a frame.
	Truncated Fault = "truncated"
	// Crossed sends a frame of another stream.
	Crossed Fault = "crossed"
	// Doubled sends a frame twice.
	Doubled Fault = "doubled"
	// Late leaves a frame out and sends the one after it.
	Late Fault = "late"
	// Early sends an end before the stream's end.
	Early Fault = "early"
	// Refuse refuses each start and import, which do not run then.
	Refuse Fault = "refuse"
)

// Plan says how a runner misbehaves.
type Plan struct {
	Fault Fault
	// AfterFrames is how many frames a connection carries before.
	AfterFrames int
	// Connections is how many connections meet the fault; zero means all.
	Connections int
	// CrashOn closes the runner when a prompt contains it.
	CrashOn string
	// IgnoreFences lets orders of any fence pass.
	IgnoreFences bool
}

// SetPlan replaces the plan; connections that are open keep theirs.
func (r *Runner) SetPlan(p Plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.plan = p
	r.suffered = 0
}

func (r *Runner) currentPlan() Plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.plan
}

// trouble gives the next connection its part of the plan.
func (r *Runner) trouble() Plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.plan.Connections > 0 && r.suffered >= r.plan.Connections {
		return Plan{}
	}
	r.suffered++
	return r.plan
}

// line writes the frames of one connection and spoils them as planned.
type line struct {
	w       http.ResponseWriter
	ctl     *http.ResponseController
	trouble Plan
	request *http.Request
	written int
}

// write returns false where the connection is to be closed.
func (l *line) write(f upstream.Frame) bool {
	due := l.trouble.Fault != "" && l.written == l.trouble.AfterFrames
	l.written++
	if due {
		return l.spoil(f)
	}
	return l.put(f)
}

func (l *line) put(f upstream.Frame) bool {
	if json.NewEncoder(l.w).Encode(f) != nil {
		return false
	}
	return l.ctl.Flush() == nil
}

func (l *line) heartbeat() bool {
	if _, err := l.w.Write([]byte("\n")); err != nil {
		return false
	}
	return l.ctl.Flush() == nil
}

func (l *line) spoil(f upstream.Frame) bool {
	switch l.trouble.Fault {
	case Silent:
		<-l.request.Context().Done()
		return false
	case Cut:
		return false
	case Truncated:
		data, _ := json.Marshal(f)
		_, _ = l.w.Write(data[:len(data)/2])
		_ = l.ctl.Flush()
		panic(http.ErrAbortHandler)
	case Crossed:
		other := f
		other.Stream = "another-" + f.Stream
		return l.put(other) && l.put(f)
	case Doubled:
		l.put(f)
		return l.put(f)
	case Late:
		return true
	case Early:
		return l.put(upstream.Frame{Stream: f.Stream, Offset: f.Offset + int64(len(f.Text)) + 1, End: true, Finish: "stop"})
	}
	return l.put(f)
}
