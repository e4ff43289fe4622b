// Package cli is the operators' and callers' command.
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

// Exit codes.
const (
	// ExitOK says that the command did what it was asked.
	ExitOK = 0
	// ExitFailed says that something is wrong: a fault in the files, a broken
	// promise, a difference.
	ExitFailed = 1
	// ExitUsage says that the command line is wrong.
	ExitUsage = 2
	// ExitConflict says that another change or request came first.
	ExitConflict = 3
	// ExitRefused says that the system refused and nothing ran.
	ExitRefused = 4
	// ExitUnknown says that nobody can tell whether the request ran.
	ExitUnknown = 5
	// ExitUnreachable says that no daemon answered.
	ExitUnreachable = 6
)

// exitCodes explains the codes on the help page.
const exitCodes = `exit codes: 0 done, 1 failed or different, 2 wrong usage, 3 conflict,
  4 refused and not run, 5 outcome unknown, 6 no daemon answers`

// Command is one subcommand.
type Command struct {
	Name    string
	Summary string
	// Args names the arguments after the flags.
	Args string
	// Example is one line a user can type.
	Example string
	// Flags declares the command's flags on the set.
	Flags func(f *flag.FlagSet)
	// Run does the work; its error is printed.
	Run func(ctx context.Context, io IO, args []string) error
}

// IO is where a command reads and writes.
type IO struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// JSON asks for machine-readable output and errors.
	JSON bool
}

// Std returns the process's own streams.
func Std() IO {
	return IO{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
}

// commands returns all subcommands in the order of the help page.
func commands() []*Command {
	return []*Command{
		demoCommand(),
		checkCommand(), diffCommand(), applyCommand(), getCommand(),
		statusCommand(), dumpCommand(), explainCommand(),
		whereCommand(), sendCommand(), standinCommand(),
		replicasCommand(), backupCommand(), restoreCommand(),
		benchCommand(), logBenchCommand(), capacityCommand(), versionCommand(), completionCommand(),
	}
}

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, std IO, args []string) int {
	if len(args) == 0 {
		usage(std.Err)
		return ExitUsage
	}
	if args[0] == "-h" || args[0] == "--help" || args[0] == "help" {
		usage(std.Out)
		return ExitOK
	}
	for _, c := range commands() {
		if c.Name == args[0] {
			return run(ctx, std, c, args[1:])
		}
	}
	fmt.Fprintf(std.Err, "verbenastep: no command %q; see verbenastep help\n", args[0])
	return ExitUsage
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "usage: verbenastep COMMAND [flags] [arguments]")
	fmt.Fprintln(w)
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-10s  %s\n", c.Name, c.Summary)
	}
	fmt.Fprintf(w, "\nverbenastep COMMAND -h explains a command's flags.\n%s\n", exitCodes)
}

// flags returns a command's flag set, with the ones that all have.
func flags(c *Command, std *IO) *flag.FlagSet {
	f := flag.NewFlagSet(c.Name, flag.ContinueOnError)
	c.Flags(f)
	f.BoolVar(&std.JSON, "json", false, "write output and errors as JSON")
	return f
}

func run(ctx context.Context, std IO, c *Command, args []string) int {
	f := flags(c, &std)
	f.SetOutput(io.Discard)
	err := f.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		help(std.Out, c, f)
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

func help(w io.Writer, c *Command, f *flag.FlagSet) {
	fmt.Fprintf(w, "usage: %s\n%s\n\nexample: %s\n\n", strings.TrimSpace("verbenastep "+c.Name+" [flags] "+c.Args), c.Summary, c.Example)
	f.SetOutput(w)
	f.PrintDefaults()
	fmt.Fprintf(w, "\n%s\n", exitCodes)
}

// usageError says that the command line is wrong.
type usageError struct {
	problem string
}

// Error gives the problem.
func (e *usageError) Error() string { return e.problem }

func printError(std IO, c *Command, err error) {
	if std.JSON {
		_ = printJSON(std.Err, jsonError{Error: errorDetail(err), ExitCode: exitCode(err)})
		return
	}
	for _, line := range strings.Split(err.Error(), "\n") {
		fmt.Fprintf(std.Err, "verbenastep: %s\n", line)
	}
	wrong := (*usageError)(nil)
	if errors.As(err, &wrong) {
		fmt.Fprintf(std.Err, "see verbenastep %s -h\n", c.Name)
	}
}

// jsonError is an error's machine-readable form.
type jsonError struct {
	Error    any `json:"error"`
	ExitCode int `json:"exit_code"`
}

// plainError is the detail of an error that has no fields of its own.
type plainError struct {
	Message string `json:"message"`
}

// detailed is an error with a machine-readable form.
type detailed interface {
	detail() any
}

func errorDetail(err error) any {
	known := (*fault.Error)(nil)
	rich := detailed(nil)
	switch {
	case errors.As(err, &rich):
		return rich.detail()
	case errors.As(err, &known):
		return known
	}
	return plainError{Message: err.Error()}
}

func exitCode(err error) int {
	wrong := (*usageError)(nil)
	known := (*fault.Error)(nil)
	switch {
	case errors.As(err, &wrong):
		return ExitUsage
	case !errors.As(err, &known):
		return ExitFailed
	case known.Kind == fault.Conflict:
		return ExitConflict
	case known.Kind == client.Unreachable:
		return ExitUnreachable
	case known.Ran == fault.NotRun:
		return ExitRefused
	case known.Ran == fault.MayHaveRun:
		return ExitUnknown
	}
	return ExitFailed
}
