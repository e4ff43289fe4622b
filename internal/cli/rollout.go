package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/verbenastep/verbenastep/api/client"
	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/operator"
	"github.com/verbenastep/verbenastep/internal/wait"
)

const (
	// defaultRolloutDuration is the duration of a rollout without -duration.
	defaultRolloutDuration = 10 * time.Minute
	// progressInterval is the interval at which -follow asks for progress.
	progressInterval = time.Second
)

// rolloutOptions are the flags of the command.
type rolloutOptions struct {
	target   operatorTarget
	duration time.Duration
	follow   bool
}

func rolloutCommand() *Command {
	o := &rolloutOptions{}
	return &Command{
		Name: "rollout", Summary: "move a pool to another software version, show how far it is, or roll it back", Args: "start POOL VERSION | show POOL | abort POOL",
		Example: "verbenastep rollout -follow -duration 10m start chat v2",
		Flags: func(f *flag.FlagSet) {
			o.target.registerFlags(f)
			f.DurationVar(&o.duration, "duration", defaultRolloutDuration, "`TIME` within which a good version gets all requests; of start")
			f.BoolVar(&o.follow, "follow", false, "show the progress until the rollout has ended")
		},
		Run: func(ctx context.Context, std IO, args []string) error { return o.run(ctx, std, args) },
	}
}

func (o *rolloutOptions) run(ctx context.Context, std IO, args []string) error {
	call, err := o.call(args)
	if err != nil {
		return err
	}
	r, err := queryFirst(ctx, &o.target, call)
	if err != nil {
		return err
	}
	if err := printRollout(std, r); err != nil || !o.follow {
		return err
	}
	return o.followProgress(ctx, std, r)
}

// call returns the call that the arguments ask for.
func (o *rolloutOptions) call(args []string) (func(context.Context, *client.Operator) (operator.Rollout, error), error) {
	switch {
	case len(args) == 3 && args[0] == "start":
		order := operator.RolloutOrder{Pool: args[1], Target: args[2], Seconds: o.duration.Seconds()}
		return func(ctx context.Context, c *client.Operator) (operator.Rollout, error) {
			return c.StartRollout(ctx, order)
		}, nil
	case len(args) == 2 && args[0] == "show":
		return func(ctx context.Context, c *client.Operator) (operator.Rollout, error) {
			return c.Rollout(ctx, args[1])
		}, nil
	case len(args) == 2 && args[0] == "abort":
		return func(ctx context.Context, c *client.Operator) (operator.Rollout, error) {
			return c.AbortRollout(ctx, args[1])
		}, nil
	}
	return nil, &usageError{problem: "say start POOL VERSION, show POOL or abort POOL"}
}

// followProgress prints a line whenever the rollout has changed, until it has ended. A daemon
// that does not answer for a while ends nothing. It fails if the rollout was rolled back.
func (o *rolloutOptions) followProgress(ctx context.Context, std IO, r operator.Rollout) error {
	for ctx.Err() == nil && !hasEnded(r) {
		wait.Sleep(ctx, progressInterval)
		next, err := queryFirst(ctx, &o.target, func(ctx context.Context, c *client.Operator) (operator.Rollout, error) { return c.Rollout(ctx, r.Pool) })
		if err != nil || next == r {
			continue
		}
		if next.Number != r.Number {
			return fault.New(fault.Conflict, "see verbenastep rollout show", "another rollout of pool %q began", r.Pool)
		}
		r = next
		if err := printRollout(std, r); err != nil {
			return err
		}
	}
	if r.Phase == "rolled_back" {
		return fmt.Errorf("pool %q was rolled back from version %q: %s", r.Pool, r.Target, r.Reason)
	}
	return ctx.Err()
}

func hasEnded(r operator.Rollout) bool { return r.Phase == "completed" || r.Phase == "rolled_back" }

func printRollout(std IO, r operator.Rollout) error {
	if std.JSON {
		return printJSON(std.Out, r)
	}
	return writeRollout(std.Out, r)
}

func writeRollout(w io.Writer, r operator.Rollout) error {
	reason := ""
	if r.Reason != "" {
		reason = ": " + r.Reason
	}
	_, err := fmt.Fprintf(w, "pool %s to version %s: %s, %.1f of %.1f s, at most %d of at least %d requests at the version%s\n",
		r.Pool, r.Target, r.Phase, r.ElapsedSeconds, r.Seconds, r.Reserved, r.Requests, reason)
	return err
}
