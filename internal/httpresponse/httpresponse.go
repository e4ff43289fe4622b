// Package httpresponse checks responses of upstreams for what net/http accepts though it is malformed.
// Packages forward and engine use it. What a malformed response says must not be believed, nor what
// follows it on its connection.
package httpresponse

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// MalformedError reports a response that is none in HTTP/1.1.
type MalformedError struct {
	// Problem says what is wrong, with the value.
	Problem string
}

// Error returns the problem and the remedy.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed response: %s; make the upstream send HTTP/1.1", e.Problem)
}

// minStatus is the lowest status of RFC 9110, that of an interim response.
const minStatus = http.StatusContinue

// Check returns a MalformedError if the status of a response is none.
func Check(resp *http.Response) error {
	if resp.StatusCode < minStatus {
		return &MalformedError{Problem: fmt.Sprintf("its status is %q", resp.Status)}
	}
	return nil
}

// CheckTrailer returns a MalformedError if the trailer of a response, whose body was read to its end, has
// a name that is none.
func CheckTrailer(resp *http.Response) error {
	for name := range resp.Trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return &MalformedError{Problem: fmt.Sprintf("its trailer has a field named %q", name)}
		}
	}
	return nil
}
