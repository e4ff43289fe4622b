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

// pickUp gives the rest of an answer from an offset, in bytes.
func (s *Service) pickUp(c echo.Context) error {
	w, err := s.identify(c)
	if err != nil {
		return err
	}
	offset, err := offsetOf(c)
	if err != nil {
		return err
	}
	form := c.QueryParam("form")
	if form != "" && form != chatForm && form != textForm {
		return fault.New(fault.Malformed, `give "chat.completion" or "text_completion", or leave it out`, "the form is %q", form)
	}
	a, err := s.find(c.Request().Context(), w, c.Param("key"), form)
	if err != nil {
		return err
	}
	return s.writeFrom(c, a, offset, form)
}

func (s *Service) writeFrom(c echo.Context, a *answer.Answer, offset int64, form string) error {
	out := newWriter(c, a, offset)
	defer out.reader.Close()
	select {
	case <-a.Begun():
	case <-c.Request().Context().Done():
		return c.Request().Context().Err()
	}
	out.form = a.Meta().Form
	if form != "" && out.form != plainForm {
		out.form = form
	}
	c.Response().Header().Set(headerRequest, a.Meta().Key)
	stream := !strings.Contains(c.Request().Header.Get("Accept"), echo.MIMEApplicationJSON)
	if !stream && offset > 0 {
		return fault.New(fault.Malformed, "ask for an event stream, or leave the offset out", "a JSON answer can't begin at an offset")
	}
	err := out.write(stream)
	s.observer.pickedUp(a, offset, err, hex.EncodeToString(out.got.Sum(nil)))
	if errors.Is(err, errCut) {
		return nil
	}
	return err
}

func offsetOf(c echo.Context) (int64, error) {
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

func noAnswer(key string) *fault.Error {
	e := fault.New(fault.NotFound, "check the key, or send the request again under it", "no answer is known under the key")
	e.Key = key
	return e.WithRan(fault.MayHaveRun)
}

// find looks for an answer here, at the entry that an issued key names, and in
// the log.
func (s *Service) find(ctx context.Context, w config.Workspace, key, form string) (*answer.Answer, error) {
	if a, ok := s.answers.Get(w.Name, key); ok {
		return a, nil
	}
	if strings.HasPrefix(key, issuedPrefix) {
		return s.findIssued(ctx, w, key)
	}
	c, found, err := s.logs.Lookup(ctx, s.group(w.Name), w.Name, key)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "ask again", "the key's claim could not be read").WithRan(fault.MayHaveRun).After(logRetryAfter)
	}
	if !found || c.NotRun {
		return nil, noAnswer(key)
	}
	cfg := s.view.Snapshot().Config
	_, plain := cfg.Service(c.Pool)
	r := &request{
		workspace: w, key: key, callerKey: true, digest: c.Digest, pool: c.Pool, plain: plain, join: true,
		form: form, accepted: time.Now(), deadline: time.Now().Add(time.Duration(cfg.EffectiveTimeouts().RequestMS) * time.Millisecond),
		tierName: w.Tier,
	}
	if plain {
		r.form = plainForm
	} else if r.form == "" {
		r.form = chatForm
	}
	return s.submit(r)
}

// findIssued reads an answer from the entry that issued its key. It is not
// kept here: that entry keeps it.
func (s *Service) findIssued(ctx context.Context, w config.Workspace, key string) (*answer.Answer, error) {
	name, ok := entryOfKey(key)
	if !ok || name == s.self.Name {
		return nil, noAnswer(key)
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
			a.Fail(noAnswer(a.Meta().Key))
			return
		}
		wait.Sleep(ctx, retryPause)
	}
	e := fault.New(fault.Unavailable, "ask again", "the entry that holds the answer does not answer").WithRan(fault.MayHaveRun)
	a.Fail(e.After(logRetryAfter))
}

// explain answers operators and callers what became of a request.
func (s *Service) explain(c echo.Context) error {
	w, err := s.identify(c)
	if err != nil {
		return err
	}
	e, ok := s.observer.find(w.Name, c.Param("key"))
	if !ok {
		return noAnswer(c.Param("key"))
	}
	return c.JSON(http.StatusOK, e)
}
