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
	// resendDelay is the delay before a change whose outcome is unknown is sent
	// again.
	resendDelay = 300 * time.Millisecond
	// pollInterval is the interval between status requests while waiting for
	// lagging daemons.
	pollInterval = 100 * time.Millisecond
	// defaultApplyTimeout bounds an apply, including the wait with -wait.
	defaultApplyTimeout = 30 * time.Second
	// currentBase is the value of -base that selects the version in force.
	currentBase = -1
)

// applyOptions holds the flags of the apply command.
type applyOptions struct {
	target  operatorTarget
	base    int64
	wait    bool
	timeout time.Duration
}

// applyResult is the output of the apply command.
type applyResult struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// InForce names the live daemons on which the version is in force; set only
	// with -wait.
	InForce []string `json:"in_force,omitempty"`
}

func applyCommand() *Command {
	a := &applyOptions{}
	return &Command{
		Name: "apply", Summary: "replace the configuration as a whole", Args: "FOLDER", Example: "verbenastep apply -wait examples/karoo",
		Flags: func(f *flag.FlagSet) {
			a.target.registerFlags(f)
			f.Int64Var(&a.base, "base", currentBase, "`VERSION` that the change started from; -1 means the one in force now")
			f.BoolVar(&a.wait, "wait", false, "wait until the change is in force on every live daemon")
			f.DurationVar(&a.timeout, "timeout", defaultApplyTimeout, "give up after this `TIME`")
		},
		Run: func(ctx context.Context, std IO, args []string) error {
			files, err := readValidFolder(args)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, a.timeout)
			defer cancel()
			return a.run(ctx, std, files)
		},
	}
}

func (a *applyOptions) run(ctx context.Context, std IO, files config.Files) error {
	base := uint64(max(0, a.base))
	if a.base == currentBase {
		current, err := a.fetchCurrent(ctx, std)
		if err != nil {
			return err
		}
		base = current.Version
	}
	accepted, err := a.propose(ctx, std, operator.Apply{Base: base, Files: operator.Files(files)})
	if isConflict(err) {
		return a.conflictWithCurrent(ctx, err, files)
	}
	if err != nil {
		return err
	}
	out := applyResult{Version: accepted.Version, Digest: accepted.Digest}
	if !std.JSON {
		fmt.Fprintf(std.Out, "version %d accepted\n", accepted.Version)
	}
	if a.wait {
		if out.InForce, err = a.waitInForce(ctx, std, accepted.Version); err != nil {
			return err
		}
	}
	if std.JSON {
		return printJSON(std.Out, out)
	}
	return nil
}

// fetchCurrent returns the configuration in force. It retries until ctx ends
// while no daemon can be reached, because a daemon may still be starting.
func (a *applyOptions) fetchCurrent(ctx context.Context, std IO) (operator.Config, error) {
	lastLine := ""
	for {
		c, err := queryFirst(ctx, &a.target, currentConfig)
		if !unreachable(err) {
			return c, err
		}
		if ctx.Err() == nil {
			printProgress(std, &lastLine, "no daemon answers yet at "+a.target.addresses)
		}
		select {
		case <-time.After(resendDelay):
		case <-ctx.Done():
			return c, err
		}
	}
}

// propose sends the change until its outcome is known or ctx ends. Resending is
// safe: a change that was already accepted gets the same answer again.
func (a *applyOptions) propose(ctx context.Context, std IO, change operator.Apply) (operator.Applied, error) {
	mayBeAccepted := false
	for {
		accepted, err := queryFirst(ctx, &a.target, func(ctx context.Context, o *client.Operator) (operator.Applied, error) { return o.Apply(ctx, change) })
		if err == nil || !mayResend(err) {
			return accepted, err
		}
		mayBeAccepted = mayBeAccepted || fault.From(err).Ran == fault.MayHaveRun
		if ctx.Err() == nil {
			fmt.Fprintf(std.Err, "no answer yet, sending the change again: %v\n", err)
		}
		select {
		case <-time.After(resendDelay):
		case <-ctx.Done():
			if mayBeAccepted {
				err = outcomeUnknown(change.Base)
			}
			return accepted, err
		}
	}
}

// outcomeUnknown returns the error of an apply that was sent but not answered in
// time.
func outcomeUnknown(base uint64) error {
	e := fault.New(fault.Unknown, fmt.Sprintf("apply the same files with -base %d: a change that was accepted is not made twice", base), "no answer came in time; the change may have been accepted")
	return e.WithRan(fault.MayHaveRun)
}

// mayResend reports whether the same change may be sent again after err.
func mayResend(err error) bool {
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

// conflictError reports that another change was accepted first, and how the
// version in force differs from the caller's files.
type conflictError struct {
	cause   error
	changes []change
	version uint64
}

// Error returns the daemon's answer followed by the differences.
func (e *conflictError) Error() string {
	b := strings.Builder{}
	fmt.Fprintf(&b, "%v\nyour files against version %d, which is in force:\n", e.cause, e.version)
	printChanges(&b, e.changes)
	return strings.TrimSpace(b.String())
}

// Unwrap returns the error that the daemon answered.
func (e *conflictError) Unwrap() error { return e.cause }

// conflictDetail is the machine-readable form of a conflictError.
type conflictDetail struct {
	Conflict any      `json:"conflict"`
	Version  uint64   `json:"version"`
	Changes  []change `json:"changes"`
}

func (e *conflictError) detail() any {
	return conflictDetail{Conflict: fault.From(e.cause), Version: e.version, Changes: e.changes}
}

// conflictWithCurrent adds the differences from the version in force to a
// conflict. It returns cause alone where that version can't be read.
func (a *applyOptions) conflictWithCurrent(ctx context.Context, cause error, files config.Files) error {
	current, err := queryFirst(ctx, &a.target, currentConfig)
	if err != nil {
		return cause
	}
	return &conflictError{cause: cause, version: current.Version, changes: compareFiles(config.Files(current.Files), files)}
}

// waitInForce polls the status until the version is in force on every live
// daemon, and returns their names. It prints a line whenever the progress
// changes.
func (a *applyOptions) waitInForce(ctx context.Context, std IO, version uint64) ([]string, error) {
	lastLine := ""
	for {
		st, err := queryFirst(ctx, &a.target, status)
		if err == nil {
			upToDate, lagging := splitByVersion(st, version)
			if len(lagging) == 0 {
				printProgress(std, &lastLine, fmt.Sprintf("version %d is in force on every live daemon (%d)", version, len(upToDate)))
				return upToDate, nil
			}
			printProgress(std, &lastLine, fmt.Sprintf("in force on %d of %d daemons, waiting for %s", len(upToDate), len(upToDate)+len(lagging), strings.Join(lagging, ", ")))
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			e := fault.New(fault.Unavailable, "verbenastep status shows who lags; the change stays accepted", "version %d was accepted but is not in force everywhere: %s", version, lastLine)
			return nil, e.WithRan(fault.DidRun)
		}
	}
}

// splitByVersion separates the live daemons that have the version in force from
// those that lag.
func splitByVersion(st operator.Status, version uint64) (upToDate, lagging []string) {
	for _, m := range st.Members {
		if m.Version >= version {
			upToDate = append(upToDate, m.Name)
		} else {
			lagging = append(lagging, m.Name)
		}
	}
	return upToDate, lagging
}

// printProgress writes a progress line unless it equals the previous one.
func printProgress(std IO, lastLine *string, line string) {
	if *lastLine == line {
		return
	}
	*lastLine = line
	_, _ = io.WriteString(std.Err, line+"\n")
}
