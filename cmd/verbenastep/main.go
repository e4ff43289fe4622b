// Command verbenastep is the operators' command.
package main

import (
	"context"
	"os"

	"github.com/verbenastep/verbenastep/internal/cli"
)

func main() {
	os.Exit(cli.Main(context.Background(), cli.Std(), os.Args[1:]))
}
