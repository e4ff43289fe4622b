// Package client is a small client for operators and callers.
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

// Unreachable is the kind of the client's own error where nothing answers at
// an address.
const Unreachable fault.Kind = "unreachable"

// maxAnswer is the longest answer of a daemon that is read, in bytes.
const maxAnswer = 256 << 20

// Operator speaks with one daemon's administrative address.
type Operator struct {
	// Address is IP:port.
	Address string
	// Key is the operator's bearer key.
	Key string
}

// Config gets the configuration in force.
func (o *Operator) Config(ctx context.Context) (operator.Config, error) {
	out := operator.Config{}
	return out, o.call(ctx, http.MethodGet, operator.PathConfig, nil, &out)
}

// Apply replaces the configuration as a whole.
func (o *Operator) Apply(ctx context.Context, a operator.Apply) (operator.Applied, error) {
	out := operator.Applied{}
	return out, o.call(ctx, http.MethodPost, operator.PathConfig, a, &out)
}

// Status gets what the daemon knows of the system.
func (o *Operator) Status(ctx context.Context) (operator.Status, error) {
	out := operator.Status{}
	return out, o.call(ctx, http.MethodGet, operator.PathStatus, nil, &out)
}

// State gets the dump of all services.
func (o *Operator) State(ctx context.Context) (operator.State, error) {
	out := operator.State{}
	return out, o.call(ctx, http.MethodGet, operator.PathState, nil, &out)
}

// Explain gets why a request went where it did, as the daemon saw it.
func (o *Operator) Explain(ctx context.Context, key string) (json.RawMessage, error) {
	out := json.RawMessage{}
	return out, o.call(ctx, http.MethodGet, operator.PathExplain+"?key="+url.QueryEscape(key), nil, &out)
}

// callTimeout bounds one exchange with a daemon.
const callTimeout = 10 * time.Second

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
		return unanswered(o.Address, "administrative", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return decodeFault(resp.StatusCode, data)
	}
	return json.Unmarshal(data, out)
}

// unanswered says that nothing answers at an address. What was sent may still
// have had its effect.
func unanswered(address, which string, err error) *fault.Error {
	e := fault.New(Unreachable, "check that the daemon runs and that the address is its "+which+" one", "%s does not answer: %v", address, err)
	if notSent(err) {
		return e
	}
	return e.WithRan(fault.MayHaveRun)
}

func decodeFault(status int, data []byte) error {
	e, err := fault.Decode(data)
	if err != nil || e.Kind == "" {
		return fault.New(fault.Internal, "check that the address is a daemon's administrative one", "the answer has status %d and is not readable", status)
	}
	return e
}
