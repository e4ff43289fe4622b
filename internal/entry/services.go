package entry

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/internal/answer"
)

// passedHeaders are the caller's headers that a plain service receives.
var passedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match"}

// call serves one call on a plain service.
func (s *Service) call(c echo.Context) error {
	r, err := s.prepare(c)
	if err != nil {
		return err
	}
	svc, ok := s.view.Snapshot().Config.Service(c.Param("service"))
	if !ok {
		return fault.New(fault.NotFound, "check the service's name", "service %q is not declared", c.Param("service"))
	}
	path := "/" + c.Param("*")
	op, ok := svc.Match(r.method, path)
	if !ok {
		return fault.New(fault.NotFound, "check method and path against the declared operations", "service %q has no operation %s %s", svc.Name, r.method, path)
	}
	if !op.Idempotent && !op.KeyOptional && !r.callerKey {
		return fault.New(fault.KeyRequired, "send an Idempotency-Key", "operation %q of service %q may not be repeated", op.Name, svc.Name)
	}
	r.plain = true
	r.pool = svc.Name
	r.operation = op
	r.path = path
	if q := c.Request().URL.RawQuery; q != "" {
		r.path += "?" + q
	}
	r.header = passed(r.header)
	r.digest = digestOf([]byte(svc.Name), []byte(r.method), []byte(r.path), r.body)
	a, err := s.submit(r)
	if err != nil {
		return err
	}
	defer a.Attach()()
	c.Response().Header().Set(headerRequest, r.key)
	return writeReply(c, a)
}

func passed(from http.Header) http.Header {
	out := http.Header{}
	for _, name := range passedHeaders {
		if v := from.Get(name); v != "" {
			out.Set(name, v)
		}
	}
	return out
}

func writeReply(c echo.Context, a *answer.Answer) error {
	text, p, err := readAll(c, a)
	if err != nil {
		return err
	}
	return c.Blob(p.Result.Status, p.Result.ContentType, []byte(text))
}

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
	a, ok := s.answers.Get(w.Name, c.Param("key"))
	if !ok {
		return fault.New(fault.NotFound, "check the key, or send the request again", "no answer is known under the key")
	}
	defer a.Attach()()
	return writeStream(c, a, chatForm, offset)
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
