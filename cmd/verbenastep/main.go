// Command verbenastep is the command-line tool for operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/verbenastep/verbenastep/internal/cli"
)

func main() {
	os.Exit(run())
}

// run executes the command line and returns its exit code. The first interrupt or
// termination signal cancels the command; a second one ends the process at once.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop)
	return cli.Main(ctx, cli.Std(), os.Args[1:])
}
