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
	// fetchHeartbeat is the longest pause between two frames of a fetch.
	fetchHeartbeat = 250 * time.Millisecond
	// fetchSilence ends a fetch that carries nothing.
	fetchSilence = time.Second
	// fetchBytes is the largest frame of a fetch.
	fetchBytes = 256 << 10
)

// answersServer serves the answers that this entry holds to other entries.
type answersServer struct {
	rpc.DRPCAnswersUnimplementedServer
	answers *answer.Store
	// stopped tells whether the entry has stopped: its unfinished answers go on
	// elsewhere, if at all.
	stopped func() bool
}

// Fetch streams an answer from an offset to its end.
func (s *answersServer) Fetch(req *rpc.FetchRequest, out rpc.DRPCAnswers_FetchStream) error {
	a, ok := s.answers.Get(req.Workspace, req.Key)
	if !ok {
		return out.Send(unheld(req.Key))
	}
	reader := a.Attach(int64(req.Offset))
	defer reader.Close()
	for {
		p, err := reader.Read(out.Context(), fetchHeartbeat)
		if err != nil {
			return err
		}
		if s.stopped() && !p.Ended {
			return out.Send(unheld(req.Key))
		}
		m := a.Meta()
		if req.Stream != "" && m.Stream != "" && req.Stream != m.Stream {
			return out.Send(unheld(req.Key))
		}
		if err := sendPiece(out, m, p); err != nil || p.Ended {
			return err
		}
	}
}

func unheld(key string) *rpc.FetchFrame {
	return &rpc.FetchFrame{End: true, Failure: noAnswer(key).Encode()}
}

// sendPiece sends a piece in frames, the last of which bears the end.
func sendPiece(out rpc.DRPCAnswers_FetchStream, m answer.Meta, p answer.Piece) error {
	offset, data := p.Offset, p.Data
	for {
		n := min(len(data), fetchBytes)
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

func setEnd(f *rpc.FetchFrame, p answer.Piece) {
	f.End = true
	f.Status = uint32(p.Result.Status)
	f.ContentType = p.Result.ContentType
	f.Finish = p.Result.Finish
	f.PromptTokens = uint32(p.Result.PromptTokens)
	f.OutputTokens = uint32(p.Result.OutputTokens)
	if p.Failure != nil {
		f.Failure = p.Failure.Encode()
	}
}

// fetcher copies an answer from the entry that holds it.
type fetcher struct {
	link    port.Link
	answer  *answer.Answer
	address string
	// stream is the dispatch that is meant; empty for whichever it is.
	stream  string
	result  answer.Result
	failure *fault.Error
}

// run reads on from the answer's length; it leaves the end to the caller.
func (f *fetcher) run(ctx context.Context) claims.EventKind {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(fetchSilence, cancel)
	defer silence.Stop()
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
		silence.Reset(fetchSilence)
		if kind, done := f.take(frame); done {
			return kind
		}
	}
}

func (f *fetcher) take(frame *rpc.FetchFrame) (claims.EventKind, bool) {
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
			Status: int(frame.Status), ContentType: frame.ContentType, Finish: frame.Finish,
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
	x.ownersFailure = f.failure
	if kind == claims.FetchInterrupted && x.ctx.Err() != nil {
		return x.interrupted(kind)
	}
	if kind == claims.FetchInterrupted && !x.service.live(e.Address) {
		kind = claims.OwnerDead
	}
	return claims.Event{Kind: kind, Length: x.answer.Length()}
}

// live tells whether a daemon of a peers' address is a live member.
func (s *Service) live(address string) bool {
	return slices.ContainsFunc(s.members.Live(), func(m port.Member) bool { return m.Peers == address })
}
