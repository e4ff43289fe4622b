package entry

import (
	"net/http"
	"time"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/claims"
)

const (
	// logRetryAfter is the Retry-After time while the log does not respond.
	logRetryAfter = 2 * time.Second
	// upstreamRetryAfter is the Retry-After time after an upstream refused or
	// lost a request, or when memory is short.
	upstreamRetryAfter = time.Second
)

func keyConflict(key string) *fault.Error {
	e := fault.New(fault.Conflict, "use a new key for another request", "the key was used with another content")
	e.Key = key
	return e
}

// stopped returns the error of a request that the entry's stop has ended.
func stopped(ran claims.Ran) *fault.Error {
	if ran == claims.NotRun {
		return fault.New(fault.Draining, "send the request to another entry", "the entry stopped before the request began").After(upstreamRetryAfter)
	}
	return fault.New(fault.Unknown, "send the request again to another entry, if it may run twice", "the entry stopped before the answer ended")
}

func outcomeUnknown() *fault.Error {
	e := fault.New(fault.Unknown, "check with the service whether it took effect; the key will not run again", "nobody can tell how the request ended")
	return e.WithRan(fault.MayHaveRun)
}

// failure returns the error for a failure that the state machine decided on,
// with its statement of whether the request ran.
func (x *execution) failure(f claims.Failure) *fault.Error {
	e := x.errorOf(f)
	if f.Ran != "" {
		e = e.WithRan(fault.Ran(f.Ran))
	}
	return e
}

// errorOf returns the code, message and remedy for a failure.
func (x *execution) errorOf(f claims.Failure) *fault.Error {
	switch f.Code {
	case claims.SchedulerRefused:
		return x.refusal
	case claims.AlreadyRefused:
		return fault.New(fault.Unavailable, "send the request again with the same key", "the request was refused at another entry and did not run").After(upstreamRetryAfter)
	case claims.LogUnavailable:
		return fault.New(fault.Unavailable, "send the request again with the same key", "the key's claim could not be read or committed").After(logRetryAfter)
	case claims.KeyConflict:
		return keyConflict(x.request.key)
	case claims.CallerDisconnected:
		if x.service.aborting.Err() != nil {
			return stopped(f.Ran)
		}
		return fault.New(fault.Canceled, "send the request again", "the request was canceled")
	case claims.DeadlineExceeded:
		return fault.New(fault.Deadline, "allow more time, or send less", "the answer did not end before the deadline")
	case claims.NotSent:
		return fault.New(fault.Unavailable, "send the request again", "the upstream closed the connection before the request was sent").After(upstreamRetryAfter)
	case claims.UpstreamRefused:
		if x.rejection != nil && x.rejection.Status != http.StatusTooManyRequests {
			return fault.New(fault.Malformed, "mend the request as the message says", "the upstream refused the request: %s", x.rejection.Body)
		}
		return fault.New(fault.Unavailable, "send the request again with a new key", "the upstream refused to start the request").After(upstreamRetryAfter)
	case claims.UpstreamFailed:
		return fault.New(fault.Unknown, "send the request again with a new key", "the upstream failed: %s", f.Detail)
	case claims.ClaimNotFound:
		return answerNotFound(x.request.key)
	case claims.OwnerFailure:
		return x.ownerFailure
	case claims.AnswerUnavailable:
		return fault.New(fault.Unknown, "ask the service for the result; the key will not run again", "the request ran, but its answer is held no more")
	}
	return outcomeUnknown()
}
