// Command verbenastep is the operators' command.
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

// run ends the command's work at the first signal; a second one ends the
// process at once.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop)
	return cli.Main(ctx, cli.Std(), os.Args[1:])
}
