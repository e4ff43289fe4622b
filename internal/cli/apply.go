package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/verbenastep/verbenastep/api/client"
	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/operator"
	"github.com/verbenastep/verbenastep/core/config"
)

const (
	// resendPause is the wait before a change of unknown fate is sent again.
	resendPause = 300 * time.Millisecond
	// pollPause is the wait between two looks at who lags.
	pollPause = 100 * time.Millisecond
	// defaultApplyTimeout bounds an apply with its wait.
	defaultApplyTimeout = 30 * time.Second
	// noBase says that the base is the version in force now.
	noBase = -1
)

// applying is one run of the command.
type applying struct {
	target  target
	base    int64
	wait    bool
	timeout time.Duration
}

// applied is the command's result.
type applied struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// InForce lists the live daemons that have it, where -wait was given.
	InForce []string `json:"in_force,omitempty"`
}

func applyCommand() *Command {
	a := &applying{}
	return &Command{
		Name: "apply", Summary: "replace the configuration as a whole", Args: "FOLDER", Example: "verbenastep apply -wait examples/karoo",
		Flags: func(f *flag.FlagSet) {
			a.target.flags(f)
			f.Int64Var(&a.base, "base", noBase, "`VERSION` that the change started from; -1 means the one in force now")
			f.BoolVar(&a.wait, "wait", false, "wait until the change is in force on every live daemon")
			f.DurationVar(&a.timeout, "timeout", defaultApplyTimeout, "give up after this `TIME`")
		},
		Run: func(ctx context.Context, std IO, args []string) error {
			files, err := checkedFolder(args)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, a.timeout)
			defer cancel()
			return a.run(ctx, std, files)
		},
	}
}

func (a *applying) run(ctx context.Context, std IO, files config.Files) error {
	base := uint64(max(0, a.base))
	if a.base == noBase {
		current, err := a.current(ctx, std)
		if err != nil {
			return err
		}
		base = current.Version
	}
	made, err := a.propose(ctx, std, operator.Apply{Base: base, Files: operator.Files(files)})
	if isConflict(err) {
		return a.conflict(ctx, err, files)
	}
	if err != nil {
		return err
	}
	out := applied{Version: made.Version, Digest: made.Digest}
	if !std.JSON {
		fmt.Fprintf(std.Out, "version %d accepted\n", made.Version)
	}
	if a.wait {
		if out.InForce, err = a.waitInForce(ctx, std, made.Version); err != nil {
			return err
		}
	}
	if std.JSON {
		return printJSON(std.Out, out)
	}
	return nil
}

// current reads the version in force, and waits for a daemon that is only just
// starting.
func (a *applying) current(ctx context.Context, std IO) (operator.Config, error) {
	shown := ""
	for {
		c, err := ask(ctx, &a.target, currentConfig)
		if !unreachable(err) {
			return c, err
		}
		if ctx.Err() == nil {
			say(std, &shown, "no daemon answers yet at "+a.target.addresses)
		}
		select {
		case <-time.After(resendPause):
		case <-ctx.Done():
			return c, err
		}
	}
}

// propose sends the change until its fate is known. A resent change that had
// been accepted gets the same answer again.
func (a *applying) propose(ctx context.Context, std IO, change operator.Apply) (operator.Applied, error) {
	mayBeAccepted := false
	for {
		made, err := ask(ctx, &a.target, func(ctx context.Context, o *client.Operator) (operator.Applied, error) { return o.Apply(ctx, change) })
		if err == nil || !undecided(err) {
			return made, err
		}
		mayBeAccepted = mayBeAccepted || fault.From(err).Ran == fault.MayHaveRun
		if ctx.Err() == nil {
			fmt.Fprintf(std.Err, "no answer yet, sending the change again: %v\n", err)
		}
		select {
		case <-time.After(resendPause):
		case <-ctx.Done():
			if mayBeAccepted {
				err = unknownFate(change.Base)
			}
			return made, err
		}
	}
}

func unknownFate(base uint64) error {
	e := fault.New(fault.Unknown, fmt.Sprintf("apply the same files with -base %d: a change that was accepted is not made twice", base), "no answer came in time; the change may have been accepted")
	return e.WithRan(fault.MayHaveRun)
}

// undecided tells whether the same change may be sent again.
func undecided(err error) bool {
	e := (*fault.Error)(nil)
	if !errors.As(err, &e) {
		return true
	}
	return e.Kind == client.Unreachable || e.Kind == fault.Unavailable || e.Ran == fault.MayHaveRun
}

func isConflict(err error) bool {
	e := (*fault.Error)(nil)
	return errors.As(err, &e) && e.Kind == fault.Conflict
}

// conflictError shows what won and how it differs.
type conflictError struct {
	cause   error
	changes []change
	version uint64
}

// Error names the winner and lists the differences.
func (e *conflictError) Error() string {
	b := strings.Builder{}
	fmt.Fprintf(&b, "%v\nyour files against version %d, which is in force:\n", e.cause, e.version)
	printChanges(&b, e.changes)
	return strings.TrimSpace(b.String())
}

// Unwrap returns the daemon's answer.
func (e *conflictError) Unwrap() error { return e.cause }

// conflictDetail is the machine-readable form.
type conflictDetail struct {
	Conflict any      `json:"conflict"`
	Version  uint64   `json:"version"`
	Changes  []change `json:"changes"`
}

func (e *conflictError) detail() any {
	return conflictDetail{Conflict: fault.From(e.cause), Version: e.version, Changes: e.changes}
}

func (a *applying) conflict(ctx context.Context, cause error, files config.Files) error {
	current, err := ask(ctx, &a.target, currentConfig)
	if err != nil {
		return cause
	}
	return &conflictError{cause: cause, version: current.Version, changes: compare(config.Files(current.Files), files)}
}

// waitInForce polls until no live daemon lags, with a line whenever the number
// changes.
func (a *applying) waitInForce(ctx context.Context, std IO, version uint64) ([]string, error) {
	shown := ""
	for {
		st, err := ask(ctx, &a.target, status)
		if err == nil {
			have, lack := partition(st, version)
			if len(lack) == 0 {
				say(std, &shown, fmt.Sprintf("version %d is in force on every live daemon (%d)", version, len(have)))
				return have, nil
			}
			say(std, &shown, fmt.Sprintf("in force on %d of %d daemons, waiting for %s", len(have), len(have)+len(lack), strings.Join(lack, ", ")))
		}
		select {
		case <-time.After(pollPause):
		case <-ctx.Done():
			e := fault.New(fault.Unavailable, "verbenastep status shows who lags; the change stays accepted", "version %d was accepted but is not in force everywhere: %s", version, shown)
			return nil, e.WithRan(fault.DidRun)
		}
	}
}

func partition(st operator.Status, version uint64) (have, lack []string) {
	for _, m := range st.Members {
		if m.Version >= version {
			have = append(have, m.Name)
		} else {
			lack = append(lack, m.Name)
		}
	}
	return have, lack
}

// say writes a line of progress unless it was the last one.
func say(std IO, shown *string, line string) {
	if *shown == line {
		return
	}
	*shown = line
	_, _ = io.WriteString(std.Err, line+"\n")
}
