package forward

import (
	"net/http"
	"strings"
)

// statusLineStart is how each response begins.
const statusLineStart = "HTTP/1."

// isOfUnknownRequest reports whether a response on a connection that has carried another
// response may be a late copy of it, or begin with a part of one: it contains a second status
// line, or names no request. A response that names none is taken only where none before did, and
// if it is no refusal: a copy that says that its request did not run would let the current one
// run twice.
func (a *upstreamAttempt) isOfUnknownRequest(resp *http.Response, meta ResponseMeta) bool {
	if containsResponse(resp) {
		return true
	}
	return meta.RequestID == "" && (a.conn.namesRequests || isRefusal(resp.StatusCode, meta))
}

// isRefusal reports whether a response promises that its request did not run.
func isRefusal(status int, meta ResponseMeta) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return meta.NotExecuted || meta.Misdirected
}

// unknownResponseError returns the error of a response for which isOfUnknownRequest holds. The
// refusal of a sound upstream that does not name the request is one; whichever request it
// answers, what it says of further ones holds.
func (a *upstreamAttempt) unknownResponseError(resp *http.Response, meta ResponseMeta) error {
	if !isRefusal(resp.StatusCode, meta) || containsResponse(resp) {
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
