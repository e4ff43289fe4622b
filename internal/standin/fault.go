package standin

import (
	"encoding/json"
	"net/http"

	"github.com/verbenastep/verbenastep/api/upstream"
)

// Fault is a kind of misbehaviour of a stand-in.
type Fault string

// Faults of a connection, except Refuse, which applies to the start of a
// stream.
const (
	// Silent keeps the connection open but sends nothing more, not even
	// heartbeats.
	Silent Fault = "silent"
	// Cut closes the connection between two frames of the stream.
	Cut Fault = "cut"
	// Truncated closes the connection in the middle of a frame.
	Truncated Fault = "truncated"
	// ForeignFrame sends a frame that names another stream before the correct one.
	ForeignFrame Fault = "crossed"
	// DuplicateFrame sends a frame twice.
	DuplicateFrame Fault = "doubled"
	// MissingFrame omits a frame and sends the one after it.
	MissingFrame Fault = "late"
	// PrematureEnd sends an end frame before the end of the stream.
	PrematureEnd Fault = "early"
	// Refuse rejects each start and import without executing it.
	Refuse Fault = "refuse"
)

// FaultPlan describes how a runner misbehaves; the zero value means not at all.
type FaultPlan struct {
	Fault Fault
	// AfterFrames is the number of frames that a connection carries before the
	// fault.
	AfterFrames int
	// Connections is the number of connections to which the fault applies; zero
	// means all.
	Connections int
	// CrashOn, unless empty, closes the runner when a prompt contains it.
	CrashOn string
	// IgnoreFences accepts orders regardless of their fence.
	IgnoreFences bool
}

// SetFaultPlan replaces the plan. Open connections keep the previous one.
func (r *Runner) SetFaultPlan(p FaultPlan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultPlan = p
	r.faultyConnections = 0
}

func (r *Runner) currentPlan() FaultPlan {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faultPlan
}

// nextConnectionPlan returns the plan for a new connection and counts the
// connection.
func (r *Runner) nextConnectionPlan() FaultPlan {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faultPlan.Connections > 0 && r.faultyConnections >= r.faultPlan.Connections {
		return FaultPlan{}
	}
	r.faultyConnections++
	return r.faultPlan
}

// frameWriter writes the frames of one connection and applies the planned
// fault.
type frameWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	plan       FaultPlan
	request    *http.Request
	frameCount int
}

// write writes a frame, faulty if the plan says so. It returns false if the
// connection must be closed.
func (fw *frameWriter) write(f upstream.Frame) bool {
	isFaulty := fw.plan.Fault != "" && fw.frameCount == fw.plan.AfterFrames
	fw.frameCount++
	if isFaulty {
		return fw.writeFaulty(f)
	}
	return fw.encode(f)
}

func (fw *frameWriter) encode(f upstream.Frame) bool {
	if json.NewEncoder(fw.w).Encode(f) != nil {
		return false
	}
	return fw.controller.Flush() == nil
}

func (fw *frameWriter) writeHeartbeat() bool {
	if _, err := fw.w.Write([]byte("\n")); err != nil {
		return false
	}
	return fw.controller.Flush() == nil
}

func (fw *frameWriter) writeFaulty(f upstream.Frame) bool {
	switch fw.plan.Fault {
	case Silent:
		<-fw.request.Context().Done()
		return false
	case Cut:
		return false
	case Truncated:
		data, _ := json.Marshal(f)
		_, _ = fw.w.Write(data[:len(data)/2])
		_ = fw.controller.Flush()
		panic(http.ErrAbortHandler)
	case ForeignFrame:
		other := f
		other.Stream = "another-" + f.Stream
		return fw.encode(other) && fw.encode(f)
	case DuplicateFrame:
		fw.encode(f)
		return fw.encode(f)
	case MissingFrame:
		return true
	case PrematureEnd:
		return fw.encode(upstream.Frame{Stream: f.Stream, Offset: f.Offset + int64(len(f.Text)) + 1, End: true, Finish: "stop"})
	}
	return fw.encode(f)
}
