package cli

import (
	"context"
	"errors"
	"flag"
	"os"
	"strings"

	"github.com/verbenastep/verbenastep/api/client"
	"github.com/verbenastep/verbenastep/api/fault"
)

const (
	// operatorKeyEnv is the environment variable that holds the operator's key.
	operatorKeyEnv = "VERBENASTEP_OPERATOR_KEY"
	// workspaceKeyEnv is the environment variable that holds the workspace's key.
	workspaceKeyEnv = "VERBENASTEP_WORKSPACE_KEY"
)

// operatorTarget holds the addresses of the daemons that an operator's command
// uses, and the operator's key.
type operatorTarget struct {
	addresses string
	key       string
}

func (t *operatorTarget) registerFlags(f *flag.FlagSet) {
	f.StringVar(&t.addresses, "daemon", "127.0.0.1:7401", "administrative `ADDRESSES` of daemons, comma-separated; the next is asked where one doesn't answer")
	f.StringVar(&t.key, "key", "", "operator's `KEY`; better given in "+operatorKeyEnv)
}

func (t *operatorTarget) clients() []*client.Operator {
	out := []*client.Operator{}
	key := valueOrEnv(t.key, operatorKeyEnv)
	for _, a := range splitAddresses(t.addresses) {
		out = append(out, &client.Operator{Address: a, Key: key})
	}
	return out
}

// valueOrEnv returns the value, or the environment variable if it is empty.
func valueOrEnv(value, variable string) string {
	if value == "" {
		return os.Getenv(variable)
	}
	return value
}

// splitAddresses splits a comma-separated list and drops empty items.
func splitAddresses(addresses string) []string {
	out := []string{}
	for _, a := range strings.Split(addresses, ",") {
		if a = strings.TrimSpace(a); a != "" {
			out = append(out, a)
		}
	}
	return out
}

// queryFirst runs a query against the daemons in turn and returns the result of
// the first that can be reached.
func queryFirst[T any](ctx context.Context, t *operatorTarget, query func(context.Context, *client.Operator) (T, error)) (T, error) {
	lastErr := error(&usageError{problem: "-daemon names no address"})
	zero := *new(T)
	for _, c := range t.clients() {
		out, err := query(ctx, c)
		if !unreachable(err) {
			return out, err
		}
		lastErr = err
	}
	return zero, lastErr
}

// unreachable reports whether nothing answered at the address.
func unreachable(err error) bool {
	e := (*fault.Error)(nil)
	return errors.As(err, &e) && e.Kind == client.Unreachable
}
