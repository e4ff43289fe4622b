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
	// operatorVariable is the environment variable of the operator's key.
	operatorVariable = "VERBENASTEP_OPERATOR_KEY"
	// workspaceVariable is the environment variable of the workspace's key.
	workspaceVariable = "VERBENASTEP_WORKSPACE_KEY"
)

// target is the daemons that an operator's command speaks with.
type target struct {
	addresses string
	key       string
}

func (t *target) flags(f *flag.FlagSet) {
	f.StringVar(&t.addresses, "daemon", "127.0.0.1:7401", "administrative `ADDRESSES` of daemons, comma-separated; the next is asked where one doesn't answer")
	f.StringVar(&t.key, "key", "", "operator's `KEY`; better given in "+operatorVariable)
}

func (t *target) clients() []*client.Operator {
	out := []*client.Operator{}
	key := orVariable(t.key, operatorVariable)
	for _, a := range split(t.addresses) {
		out = append(out, &client.Operator{Address: a, Key: key})
	}
	return out
}

func orVariable(value, variable string) string {
	if value == "" {
		return os.Getenv(variable)
	}
	return value
}

func split(list string) []string {
	out := []string{}
	for _, a := range strings.Split(list, ",") {
		if a = strings.TrimSpace(a); a != "" {
			out = append(out, a)
		}
	}
	return out
}

// ask puts a question to the first daemon that answers.
func ask[T any](ctx context.Context, t *target, question func(context.Context, *client.Operator) (T, error)) (T, error) {
	last := error(&usageError{problem: "-daemon names no address"})
	none := *new(T)
	for _, c := range t.clients() {
		out, err := question(ctx, c)
		if !unreachable(err) {
			return out, err
		}
		last = err
	}
	return none, last
}

func unreachable(err error) bool {
	e := (*fault.Error)(nil)
	return errors.As(err, &e) && e.Kind == client.Unreachable
}
