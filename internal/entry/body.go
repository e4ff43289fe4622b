package entry

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/verbenastep/verbenastep/api/fault"
)

const (
	// maxBodyReadBytes is how much of a body is read at once, after memory for it
	// is reserved.
	maxBodyReadBytes = 64 << 10
	// bodyReadTimeout limits the duration of each such read.
	bodyReadTimeout = 10 * time.Second
)

// readBody reads the request body into r.body. It reserves memory for each part
// before reading it, so that a slow sender occupies no more memory than it has
// sent, and appends the functions that release it to r.memoryReleases.
func (s *Service) readBody(c echo.Context, r *request) error {
	limit := s.set.Limits.BodyBytes
	if c.Request().ContentLength > limit {
		return bodyTooLarge(limit)
	}
	ctl := http.NewResponseController(c.Response())
	defer func() { _ = ctl.SetReadDeadline(time.Time{}) }()
	in := http.MaxBytesReader(c.Response(), c.Request().Body, limit)
	for {
		size := int64(maxBodyReadBytes)
		if known := c.Request().ContentLength; known >= 0 {
			size = min(size, known-int64(len(r.body)))
		}
		if size > 0 {
			release, err := s.bodyMemory.acquire(c.Request().Context(), r.tier, size)
			if err != nil {
				return err
			}
			r.memoryReleases = append(r.memoryReleases, release)
		}
		_ = ctl.SetReadDeadline(earlier(time.Now().Add(bodyReadTimeout), r.deadline))
		part, err := io.ReadAll(io.LimitReader(in, max(size, 1)))
		r.body = append(r.body, part...)
		large := (*http.MaxBytesError)(nil)
		switch {
		case errors.As(err, &large):
			return bodyTooLarge(limit)
		case err != nil:
			return fault.New(fault.Malformed, "send the whole body without long pauses", "the body could not be read: %v", err)
		case int64(len(part)) < max(size, 1):
			return nil
		}
	}
}

func bodyTooLarge(limit int64) *fault.Error {
	return fault.New(fault.TooLarge, "send a smaller body", "the body is over %d bytes", limit)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
