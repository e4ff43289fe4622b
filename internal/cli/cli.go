// Package cli implements the verbenastep command: subcommands for operators and
// callers, their flags, output and exit codes. cmd/verbenastep is its only
// caller. The exit codes and the -json output are stable, so that scripts can
// rely on them.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/verbenastep/verbenastep/api/client"
	"github.com/verbenastep/verbenastep/api/fault"
)

// Exit codes of the command.
const (
	// ExitOK reports success.
	ExitOK = 0
	// ExitFailed reports a failure or a negative result: invalid files, a
	// violated invariant, a difference.
	ExitFailed = 1
	// ExitUsage reports an invalid command line.
	ExitUsage = 2
	// ExitConflict reports that another change or request came first.
	ExitConflict = 3
	// ExitRefused reports that the system refused the request and nothing ran.
	ExitRefused = 4
	// ExitUnknown reports that it can't be determined whether the request ran.
	ExitUnknown = 5
	// ExitUnreachable reports that no daemon could be reached.
	ExitUnreachable = 6
)

// exitCodes describes the exit codes on help pages.
const exitCodes = `exit codes: 0 done, 1 failed or different, 2 wrong usage, 3 conflict,
  4 refused and not run, 5 outcome unknown, 6 no daemon answers`

// Command is one subcommand.
type Command struct {
	Name    string
	Summary string
	// Args describes the positional arguments on the help page.
	Args string
	// Example is a complete command line.
	Example string
	// Flags registers the command's flags on the flag set.
	Flags func(f *flag.FlagSet)
	// Run executes the command; a returned error is printed and mapped to an
	// exit code.
	Run func(ctx context.Context, io IO, args []string) error
}

// IO holds the streams and the output format of a command.
type IO struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// JSON selects machine-readable output and errors.
	JSON bool
}

// Std returns the standard streams of the process.
func Std() IO {
	return IO{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
}

// commands returns all subcommands in the order in which help lists them.
func commands() []*Command {
	return []*Command{
		demoCommand(),
		checkCommand(), diffCommand(), applyCommand(), getCommand(),
		statusCommand(), dumpCommand(), explainCommand(), analyzeCommand(),
		whereCommand(), sendCommand(), standinCommand(),
		rolloutCommand(), replicasCommand(), backupCommand(), restoreCommand(),
		benchCommand(), logBenchCommand(), capacityCommand(), versionCommand(), completionCommand(),
	}
}

// Main runs the subcommand that args names and returns the exit code. Errors go
// to std.Err.
func Main(ctx context.Context, std IO, args []string) int {
	if len(args) == 0 {
		printUsage(std.Err)
		return ExitUsage
	}
	if args[0] == "-h" || args[0] == "--help" || args[0] == "help" {
		printUsage(std.Out)
		return ExitOK
	}
	for _, c := range commands() {
		if c.Name == args[0] {
			return runCommand(ctx, std, c, args[1:])
		}
	}
	fmt.Fprintf(std.Err, "verbenastep: no command %q; see verbenastep help\n", args[0])
	return ExitUsage
}

func printUsage(w io.Writer) {
	fmt.Fprintln(w, "usage: verbenastep COMMAND [flags] [arguments]")
	fmt.Fprintln(w)
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-10s  %s\n", c.Name, c.Summary)
	}
	fmt.Fprintf(w, "\nverbenastep COMMAND -h explains a command's flags.\n%s\n", exitCodes)
}

// newFlagSet returns a command's flag set, including the flags that all
// commands share. -json is stored in std.JSON.
func newFlagSet(c *Command, std *IO) *flag.FlagSet {
	f := flag.NewFlagSet(c.Name, flag.ContinueOnError)
	c.Flags(f)
	f.BoolVar(&std.JSON, "json", false, "write output and errors as JSON")
	return f
}

func runCommand(ctx context.Context, std IO, c *Command, args []string) int {
	f := newFlagSet(c, &std)
	f.SetOutput(io.Discard)
	err := f.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		printHelp(std.Out, c, f)
		return ExitOK
	}
	if err != nil {
		err = &usageError{problem: err.Error()}
	} else {
		err = c.Run(ctx, std, f.Args())
	}
	if err == nil {
		return ExitOK
	}
	printError(std, c, err)
	return exitCode(err)
}

func printHelp(w io.Writer, c *Command, f *flag.FlagSet) {
	fmt.Fprintf(w, "usage: %s\n%s\n\nexample: %s\n\n", strings.TrimSpace("verbenastep "+c.Name+" [flags] "+c.Args), c.Summary, c.Example)
	f.SetOutput(w)
	f.PrintDefaults()
	fmt.Fprintf(w, "\n%s\n", exitCodes)
}

// usageError reports an invalid command line.
type usageError struct {
	problem string
}

// Error returns the problem.
func (e *usageError) Error() string { return e.problem }

func printError(std IO, c *Command, err error) {
	if std.JSON {
		_ = printJSON(std.Err, jsonError{Error: errorDetail(err), ExitCode: exitCode(err)})
		return
	}
	for _, line := range strings.Split(err.Error(), "\n") {
		fmt.Fprintf(std.Err, "verbenastep: %s\n", line)
	}
	usageErr := (*usageError)(nil)
	if errors.As(err, &usageErr) {
		fmt.Fprintf(std.Err, "see verbenastep %s -h\n", c.Name)
	}
}

// jsonError is the machine-readable form of an error.
type jsonError struct {
	Error    any `json:"error"`
	ExitCode int `json:"exit_code"`
}

// messageDetail is the machine-readable form of an error that has only a
// message.
type messageDetail struct {
	Message string `json:"message"`
}

// detailedError is an error with a machine-readable form of its own.
type detailedError interface {
	detail() any
}

func errorDetail(err error) any {
	faultErr := (*fault.Error)(nil)
	detailed := detailedError(nil)
	switch {
	case errors.As(err, &detailed):
		return detailed.detail()
	case errors.As(err, &faultErr):
		return faultErr
	}
	return messageDetail{Message: err.Error()}
}

func exitCode(err error) int {
	usageErr := (*usageError)(nil)
	faultErr := (*fault.Error)(nil)
	switch {
	case errors.As(err, &usageErr):
		return ExitUsage
	case !errors.As(err, &faultErr):
		return ExitFailed
	case faultErr.Kind == fault.Conflict:
		return ExitConflict
	case faultErr.Kind == client.Unreachable:
		return ExitUnreachable
	case faultErr.Ran == fault.NotRun:
		return ExitRefused
	case faultErr.Ran == fault.MayHaveRun:
		return ExitUnknown
	}
	return ExitFailed
}
