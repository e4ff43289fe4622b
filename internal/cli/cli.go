// Package cli is the operators' command.
package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Command is one subcommand.
type Command struct {
	Name    string
	Summary string
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
}

// Std returns the process's own streams.
func Std() IO {
	return IO{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
}

// commands returns all subcommands in the order of the help page.
func commands() []*Command {
	return []*Command{applyCommand(), checkCommand(), getCommand(), statusCommand(), dumpCommand(), standinCommand(), capacityCommand(), benchCommand()}
}

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, std IO, args []string) int {
	if len(args) == 0 || args[0] == "-h" || args[0] == "help" {
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
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-10s %s\n", c.Name, c.Summary)
	}
}

func run(ctx context.Context, std IO, c *Command, args []string) int {
	f := flag.NewFlagSet(c.Name, flag.ContinueOnError)
	f.SetOutput(std.Err)
	f.Usage = func() {
		fmt.Fprintf(std.Err, "%s: %s\nexample: %s\n", c.Name, c.Summary, c.Example)
		f.PrintDefaults()
	}
	c.Flags(f)
	if err := f.Parse(args); err != nil {
		return ExitUsage
	}
	if err := c.Run(ctx, std, f.Args()); err != nil {
		fmt.Fprintf(std.Err, "verbenastep: %v\n", err)
		return ExitFailed
	}
	return ExitOK
}
