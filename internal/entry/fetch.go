package entry

import (
	"context"
	"slices"
	"time"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/rpc"
	"github.com/verbenastep/verbenastep/core/claims"
	"github.com/verbenastep/verbenastep/internal/answer"
	"github.com/verbenastep/verbenastep/internal/port"
)

const (
	// fetchHeartbeatInterval is the maximum interval between two frames of a
	// fetch.
	fetchHeartbeatInterval = 250 * time.Millisecond
	// fetchIdleTimeout is how long a fetch may carry no frame.
	fetchIdleTimeout = time.Second
	// maxFetchFrameBytes is the maximum size of the data of a frame.
	maxFetchFrameBytes = 256 << 10
)

// answersServer implements the Answers RPC service, by which other entries read
// the answers that this entry holds.
type answersServer struct {
	rpc.DRPCAnswersUnimplementedServer
	answers *answer.Store
	// isStopped reports whether the entry has stopped. Unfinished answers then get
	// no more data at this entry; another entry may continue them.
	isStopped func() bool
}

// Fetch streams an answer from an offset to its end, with empty frames as
// heartbeats. It ends with a not_found failure if the answer is not held, belongs
// to another stream, or can no longer continue here.
func (s *answersServer) Fetch(req *rpc.FetchRequest, out rpc.DRPCAnswers_FetchStream) error {
	a, ok := s.answers.Get(req.Workspace, req.Key)
	if !ok {
		return out.Send(notHeldFrame(req.Key))
	}
	reader := a.Attach(int64(req.Offset))
	defer reader.Close()
	for {
		p, err := reader.Read(out.Context(), fetchHeartbeatInterval)
		if err != nil {
			return err
		}
		if s.isStopped() && !p.Ended {
			return out.Send(notHeldFrame(req.Key))
		}
		m := a.Meta()
		if req.Stream != "" && m.Stream != "" && req.Stream != m.Stream {
			return out.Send(notHeldFrame(req.Key))
		}
		if err := sendChunk(out, m, p); err != nil || p.Ended {
			return err
		}
	}
}

// notHeldFrame returns the last frame for an answer that is not held.
func notHeldFrame(key string) *rpc.FetchFrame {
	return &rpc.FetchFrame{End: true, Failure: answerNotFound(key).Encode()}
}

// sendChunk sends a chunk in one or more frames. The last one carries the end of
// the answer, if the chunk has it.
func sendChunk(out rpc.DRPCAnswers_FetchStream, m answer.Meta, p answer.Chunk) error {
	offset, data := p.Offset, p.Data
	for {
		n := min(len(data), maxFetchFrameBytes)
		f := &rpc.FetchFrame{Offset: uint64(offset), Data: data[:n], Stream: m.Stream, Pool: m.Pool, Form: m.Form}
		offset += int64(n)
		data = data[n:]
		if len(data) == 0 && p.Ended {
			setEnd(f, p)
		}
		if err := out.Send(f); err != nil {
			return err
		}
		if len(data) == 0 {
			return nil
		}
	}
}

// setEnd marks a frame as the last and sets the result or failure.
func setEnd(f *rpc.FetchFrame, p answer.Chunk) {
	f.End = true
	f.Status = uint32(p.Result.Status)
	f.ContentType = p.Result.ContentType
	f.Finish = p.Result.FinishReason
	f.PromptTokens = uint32(p.Result.PromptTokens)
	f.OutputTokens = uint32(p.Result.OutputTokens)
	if p.Failure != nil {
		f.Failure = p.Failure.Encode()
	}
}

// fetcher copies an answer from the entry that holds it into a local one.
type fetcher struct {
	link    port.Link
	answer  *answer.Answer
	address string
	// stream is the stream that the answer must come from; empty for any.
	stream  string
	result  answer.Result
	failure *fault.Error
}

// run copies the answer from the current length of the local one. It returns
// Fetched with result set, FetchFailed with failure set, AnswerNotHeld or
// FetchInterrupted. Ending the local answer is left to the caller.
func (f *fetcher) run(ctx context.Context) claims.EventKind {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(fetchIdleTimeout, cancel)
	defer idleTimer.Stop()
	m := f.answer.Meta()
	req := &rpc.FetchRequest{Workspace: m.Workspace, Key: m.Key, Offset: uint64(f.answer.Length()), Stream: f.stream}
	in, err := rpc.NewDRPCAnswersClient(f.link.Conn(f.address)).Fetch(ctx, req)
	if err != nil {
		return claims.FetchInterrupted
	}
	defer in.Close()
	for {
		frame, err := in.Recv()
		if err != nil {
			return claims.FetchInterrupted
		}
		idleTimer.Reset(fetchIdleTimeout)
		if kind, done := f.handleFrame(frame); done {
			return kind
		}
	}
}

// handleFrame appends a frame's data and reports the outcome of the fetch once it
// is decided.
func (f *fetcher) handleFrame(frame *rpc.FetchFrame) (claims.EventKind, bool) {
	if f.stream != "" && frame.Stream != "" && frame.Stream != f.stream {
		return claims.FetchInterrupted, true
	}
	if len(frame.Data) > 0 {
		f.answer.Describe(frame.Pool, frame.Form)
		if f.answer.Append(int64(frame.Offset), frame.Data) != nil {
			return claims.FetchInterrupted, true
		}
	}
	if !frame.End {
		return "", false
	}
	if len(frame.Failure) == 0 {
		if frame.Offset+uint64(len(frame.Data)) != uint64(f.answer.Length()) {
			return claims.FetchInterrupted, true
		}
		f.answer.Describe(frame.Pool, frame.Form)
		f.result = answer.Result{
			Status: int(frame.Status), ContentType: frame.ContentType, FinishReason: frame.Finish,
			PromptTokens: int(frame.PromptTokens), OutputTokens: int(frame.OutputTokens),
		}
		return claims.Fetched, true
	}
	failure, err := fault.Decode(frame.Failure)
	if err != nil {
		return claims.FetchInterrupted, true
	}
	if failure.Kind == fault.NotFound {
		return claims.AnswerNotHeld, true
	}
	f.failure = failure
	return claims.FetchFailed, true
}

func (x *execution) fetch(e claims.Effect) claims.Event {
	f := &fetcher{link: x.service.link, answer: x.answer, address: e.Address, stream: e.Stream}
	kind := f.run(x.ctx)
	x.result = f.result
	x.ownerFailure = f.failure
	if kind == claims.FetchInterrupted && x.ctx.Err() != nil {
		return x.interrupted(kind)
	}
	if kind == claims.FetchInterrupted && !x.service.isLive(e.Address) {
		kind = claims.OwnerDead
	}
	return claims.Event{Kind: kind, Length: x.answer.Length()}
}

// isLive reports whether the daemon with the given peers' address is a live
// member.
func (s *Service) isLive(address string) bool {
	return slices.ContainsFunc(s.members.Live(), func(m port.Member) bool { return m.Peers == address })
}
