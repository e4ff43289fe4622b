package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/verbenastep/verbenastep/core/config"
)

func checkCommand() *Command {
	return &Command{
		Name: "check", Summary: "check a folder of configuration files", Example: "verbenastep check examples/karoo",
		Flags: func(*flag.FlagSet) {},
		Run: func(_ context.Context, std IO, args []string) error {
			if len(args) != 1 {
				return errOneFolder
			}
			files, err := ReadFolder(args[0])
			if err != nil {
				return err
			}
			merged, err := config.Merge(files)
			if err != nil {
				return err
			}
			if err := config.Check(merged); err != nil {
				return err
			}
			fmt.Fprintf(std.Out, "%s: %d files are valid\n", args[0], len(files))
			return nil
		},
	}
}
