package forward

import (
	"net/http"
	"strings"
)

// statusLineStart is how each response begins.
const statusLineStart = "HTTP/1."

// isOfUnknownRequest reports whether a response on a connection that has carried another
// request may be a late copy of an earlier response, or begin with a part of one: it names no
// request where earlier ones did, or its header contains a second status line. A copy that
// says that its request did not run would let the current one run twice.
func isOfUnknownRequest(c *conn, resp *http.Response, meta ResponseMeta) bool {
	return c.namesRequests && meta.RequestID == "" || containsResponse(resp)
}

// unknownResponseError returns the error of a response for which isOfUnknownRequest holds. The
// rejection of a sound upstream that does not name the request is one; whichever request it
// answers, what it says of further ones holds.
func (a *upstreamAttempt) unknownResponseError(resp *http.Response, meta ResponseMeta) error {
	if !meta.NotExecuted && !meta.Misdirected || meta.RequestID != "" || containsResponse(resp) {
		return errStrayResponse
	}
	a.recordNotices(meta)
	return errUnnamedRejection
}

// containsResponse reports whether the header of a response contains a second status line.
func containsResponse(resp *http.Response) bool {
	if strings.Contains(resp.Status, statusLineStart) {
		return true
	}
	for _, values := range resp.Header {
		for _, v := range values {
			if containsStatusLine(v) {
				return true
			}
		}
	}
	return false
}

// containsStatusLine reports whether a text contains the beginning of a response, as in
// "HTTP/1.1 200".
func containsStatusLine(text string) bool {
	for {
		_, rest, found := strings.Cut(text, statusLineStart)
		if !found {
			return false
		}
		if len(rest) >= 5 && rest[1] == ' ' && isDigit(rest[2]) && isDigit(rest[3]) && isDigit(rest[4]) {
			return true
		}
		text = rest
	}
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }
