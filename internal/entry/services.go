package entry

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/verbenastep/verbenastep/api/fault"
)

// forwardedHeaders are the request headers that a service receives.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match"}

// serveServiceCall handles a request to a service.
func (s *Service) serveServiceCall(c echo.Context) error {
	r, err := s.prepare(c)
	if err != nil {
		return err
	}
	defer r.releaseMemoryUnlessSubmitted()
	svc, ok := s.view.Snapshot().Config.Service(c.Param("service"))
	if !ok {
		return fault.New(fault.NotFound, "check the service's name", "service %q is not declared", c.Param("service"))
	}
	path := "/" + c.Param("*")
	op, ok := svc.Match(r.method, path)
	if !ok {
		return fault.New(fault.NotFound, "check method and path against the declared operations", "service %q has no operation %s %s", svc.Name, r.method, path)
	}
	if !op.Idempotent && !op.KeyOptional && !r.hasCallerKey {
		return fault.New(fault.KeyRequired, "send an Idempotency-Key", "operation %q of service %q may not be repeated", op.Name, svc.Name)
	}
	r.plainService = true
	r.pool = svc.Name
	r.operation = op
	r.path = path
	if q := c.Request().URL.RawQuery; q != "" {
		r.path += "?" + q
	}
	r.header = selectHeaders(r.header)
	r.form = serviceForm
	r.digest = hashParts([]byte(svc.Name), []byte(r.method), []byte(r.path), r.body)
	a, err := s.submit(r)
	if err != nil {
		return err
	}
	return s.writeAnswer(c, r, a, false, 0)
}

// selectHeaders returns the headers that are forwarded to a service.
func selectHeaders(from http.Header) http.Header {
	out := http.Header{}
	for _, name := range forwardedHeaders {
		if v := from.Get(name); v != "" {
			out.Set(name, v)
		}
	}
	return out
}
