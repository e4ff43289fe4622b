// Package client is a client library for operators and callers.
//
// Operator calls the administrative API of one daemon. Caller sends completions
// and service calls to any entry, fails over between entries and resumes streams
// whose connection broke. Errors of the system are *fault.Error and state
// whether the request ran.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/operator"
)

// Unreachable is the kind of the error that the client itself reports when no
// answer came from an address.
const Unreachable fault.Kind = "unreachable"

// maxResponseBytes bounds how much of a daemon's response is read.
const maxResponseBytes = 256 << 20

// Operator calls the administrative API of one daemon. Each call is bounded by ten
// seconds. It is safe for concurrent use.
type Operator struct {
	// Address is the daemon's administrative address, IP:port.
	Address string
	// Key is the operator's bearer key.
	Key string
}

// Config returns the configuration in force on the daemon.
func (o *Operator) Config(ctx context.Context) (operator.Config, error) {
	out := operator.Config{}
	return out, o.call(ctx, http.MethodGet, operator.PathConfig, nil, &out)
}

// Apply replaces the whole configuration. It fails with a fault of kind Conflict if
// the base is not the current version.
func (o *Operator) Apply(ctx context.Context, a operator.Apply) (operator.Applied, error) {
	out := operator.Applied{}
	return out, o.call(ctx, http.MethodPost, operator.PathConfig, a, &out)
}

// Table returns the route table in force on the daemon. It fails with a fault of kind NotFound if
// the daemon knows none.
func (o *Operator) Table(ctx context.Context) (json.RawMessage, error) {
	out := json.RawMessage{}
	return out, o.call(ctx, http.MethodGet, operator.PathTable, nil, &out)
}

// Status returns the daemon's view of the system.
func (o *Operator) Status(ctx context.Context) (operator.Status, error) {
	out := operator.Status{}
	return out, o.call(ctx, http.MethodGet, operator.PathStatus, nil, &out)
}

// State returns the state dump of the daemon's services.
func (o *Operator) State(ctx context.Context) (operator.State, error) {
	out := operator.State{}
	return out, o.call(ctx, http.MethodGet, operator.PathState, nil, &out)
}

// Explain returns the daemon's record of how the request with the key was routed,
// queued or refused.
func (o *Operator) Explain(ctx context.Context, key string) (json.RawMessage, error) {
	out := json.RawMessage{}
	return out, o.call(ctx, http.MethodGet, operator.PathExplain+"?key="+url.QueryEscape(key), nil, &out)
}

// callTimeout bounds one call, including reading the response.
const callTimeout = 10 * time.Second

// call sends in as JSON, unless it is nil, and decodes the response into out.
func (o *Operator) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body := io.Reader(nil)
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.Address+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+o.Key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return unreachableError(o.Address, "administrative", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return decodeFault(resp.StatusCode, data)
	}
	return json.Unmarshal(data, out)
}

// unreachableError returns the error for an address that did not answer. Unless the
// connection failed before anything was sent, the request may have run.
func unreachableError(address, which string, err error) *fault.Error {
	e := fault.New(Unreachable, "check that the daemon runs and that the address is its "+which+" one", "%s does not answer: %v", address, err)
	if notSent(err) {
		return e
	}
	return e.WithRan(fault.MayHaveRun)
}

// decodeFault decodes the error of a response whose status is not OK.
func decodeFault(status int, data []byte) error {
	e, err := fault.Decode(data)
	if err != nil || e.Kind == "" {
		return fault.New(fault.Internal, "check that the address is a daemon's administrative one", "the answer has status %d and is not readable", status)
	}
	return e
}
