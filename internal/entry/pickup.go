package entry

import (
	"context"
	"encoding/hex"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/claims"
	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/internal/answer"
	"github.com/verbenastep/verbenastep/internal/wait"
)

// getAnswer handles GET /v1/answers/:key: it writes an answer from an offset, in
// bytes.
func (s *Service) getAnswer(c echo.Context) error {
	w, err := s.authenticate(c)
	if err != nil {
		return err
	}
	offset, err := requestedOffset(c)
	if err != nil {
		return err
	}
	form := c.QueryParam("form")
	if form != "" && form != chatForm && form != textForm {
		return fault.New(fault.Malformed, `give "chat.completion" or "text_completion", or leave it out`, "the form is %q", form)
	}
	a, err := s.findAnswer(c.Request().Context(), w, c.Param("key"), form)
	if err != nil {
		return err
	}
	return s.writeFrom(c, a, offset, form)
}

// writeFrom waits until the answer has begun and writes it from offset, in the
// given format or, if that is empty, in the format of the original request. A
// service's reply is always written unchanged.
func (s *Service) writeFrom(c echo.Context, a *answer.Answer, offset int64, form string) error {
	out := newWriter(c, a, offset)
	defer out.reader.Close()
	select {
	case <-a.Begun():
	case <-c.Request().Context().Done():
		return c.Request().Context().Err()
	}
	out.form = a.Meta().Form
	if form != "" && out.form != serviceForm {
		out.form = form
	}
	c.Response().Header().Set(requestKeyHeader, a.Meta().Key)
	stream := !strings.Contains(c.Request().Header.Get("Accept"), echo.MIMEApplicationJSON)
	if !stream && offset > 0 {
		return fault.New(fault.Malformed, "ask for an event stream, or leave the offset out", "a JSON answer can't begin at an offset")
	}
	err := out.write(stream)
	s.observer.recordRetrieval(a, offset, err, hex.EncodeToString(out.written.Sum(nil)))
	if errors.Is(err, errTruncated) {
		return nil
	}
	return err
}

// requestedOffset returns the offset that the query or the Last-Event-ID header
// names, or zero.
func requestedOffset(c echo.Context) (int64, error) {
	text := c.QueryParam("offset")
	if text == "" {
		text = c.Request().Header.Get("Last-Event-ID")
	}
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, fault.New(fault.Malformed, "give the offset as bytes, zero or more", "the offset is %q", text)
	}
	return n, nil
}

// answerNotFound returns the error for a key without a known answer.
func answerNotFound(key string) *fault.Error {
	e := fault.New(fault.NotFound, "check the key, or send the request again under it", "no answer is known under the key")
	e.Key = key
	return e.WithRan(fault.MayHaveRun)
}

// findAnswer looks up an answer in the local store, then at the entry that issued
// the key or, for a caller's own key, by its claim in the log.
func (s *Service) findAnswer(ctx context.Context, w config.Workspace, key, form string) (*answer.Answer, error) {
	if a, ok := s.answers.Get(w.Name, key); ok {
		return a, nil
	}
	if strings.HasPrefix(key, issuedKeyPrefix) {
		return s.findIssued(ctx, w, key)
	}
	c, found, err := s.logs.Lookup(ctx, s.group(w.Name), w.Name, key)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "ask again", "the key's claim could not be read").WithRan(fault.MayHaveRun).After(logRetryAfter)
	}
	if !found || c.NotRun {
		return nil, answerNotFound(key)
	}
	cfg := s.view.Snapshot().Config
	_, plainService := cfg.Service(c.Pool)
	r := &request{
		workspace: w, key: key, hasCallerKey: true, digest: c.Digest, pool: c.Pool, plainService: plainService, joinOnly: true,
		form: form, accepted: time.Now(), deadline: time.Now().Add(time.Duration(cfg.EffectiveTimeouts().RequestMS) * time.Millisecond),
		tierName: w.Tier,
	}
	if plainService {
		r.form = serviceForm
	} else if r.form == "" {
		r.form = chatForm
	}
	return s.submit(r)
}

// findIssued returns an answer that is copied from the entry that issued its key.
// The copy is not stored, because that entry retains the answer.
func (s *Service) findIssued(ctx context.Context, w config.Workspace, key string) (*answer.Answer, error) {
	name, ok := issuingEntry(key)
	if !ok || name == s.self.Name {
		return nil, answerNotFound(key)
	}
	m, ok := s.members.Find(name)
	if !ok {
		e := fault.New(fault.Unavailable, "ask again later; the answer is lost if that entry does not come back", "the entry %q that holds the answer is not live", name)
		return nil, e.WithRan(fault.MayHaveRun).After(logRetryAfter)
	}
	a := answer.New(answer.Meta{Workspace: w.Name, Key: key})
	go s.copyIssued(ctx, m.Peers, a)
	return a, nil
}

// copyIssued fetches an answer from another entry into a and ends it.
func (s *Service) copyIssued(ctx context.Context, address string, a *answer.Answer) {
	f := fetcher{link: s.link, answer: a, address: address}
	for range claims.MaxFetchAttempts {
		switch f.run(ctx) {
		case claims.Fetched:
			a.End(f.result)
			return
		case claims.FetchFailed:
			a.Fail(f.failure)
			return
		case claims.AnswerNotHeld:
			a.Fail(answerNotFound(a.Meta().Key))
			return
		}
		wait.Sleep(ctx, retryDelay)
	}
	e := fault.New(fault.Unavailable, "ask again", "the entry that holds the answer does not answer").WithRan(fault.MayHaveRun)
	a.Fail(e.After(logRetryAfter))
}

// explainRequest handles GET /v1/answers/:key/why.
func (s *Service) explainRequest(c echo.Context) error {
	w, err := s.authenticate(c)
	if err != nil {
		return err
	}
	e, ok := s.observer.explanation(w.Name, c.Param("key"))
	if !ok {
		return answerNotFound(c.Param("key"))
	}
	return c.JSON(http.StatusOK, e)
}
