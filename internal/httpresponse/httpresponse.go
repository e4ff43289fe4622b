// Package httpresponse finds malformed responses of upstreams that net/http accepts. Packages forward and
// engine use it. Nothing that a malformed response says may be believed, nor what follows it on its
// connection: recipients differ on where it ends.
package httpresponse

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// MalformedError reports a response that violates HTTP/1.1.
type MalformedError struct {
	// Problem says what is wrong, with the value.
	Problem string
}

// Error returns the problem and the remedy.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed response: %s; make the upstream send HTTP/1.1", e.Problem)
}

// minStatus is the lowest valid status, that of an interim response.
const minStatus = http.StatusContinue

// Check returns a MalformedError if the status of a response is invalid.
func Check(resp *http.Response) error {
	if resp.StatusCode < minStatus {
		return &MalformedError{Problem: fmt.Sprintf("invalid status %q", resp.Status)}
	}
	return nil
}

// CheckTrailer returns a MalformedError if the trailer of a response has an invalid field name. The body
// must have been read to its end.
func CheckTrailer(resp *http.Response) error {
	for name := range resp.Trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return &MalformedError{Problem: fmt.Sprintf("invalid field name %q in the trailer", name)}
		}
	}
	return nil
}
