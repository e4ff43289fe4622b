package cli

import (
	"context"
	"errors"
	"flag"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/internal/demo"
	"github.com/verbenastep/verbenastep/internal/logging"
	"github.com/verbenastep/verbenastep/internal/settings"
)

// errBroken reports that the demo's checker found a violated invariant.
var errInvariantViolated = errors.New("not every promise held; run it again with -v for the daemons' logs")

func demoCommand() *Command {
	opt := demo.Options{}
	verbose := false
	return &Command{
		Name: "demo", Summary: "show the main job: three daemons, stand-in upstreams, a mixed load, faults", Example: "verbenastep demo -seed 7",
		Flags: func(f *flag.FlagSet) {
			f.Uint64Var(&opt.Seed, "seed", 1, "draws the load")
			f.BoolVar(&verbose, "v", false, "show the daemons' logs")
		},
		Run: func(ctx context.Context, std IO, _ []string) error {
			opt.Progress = std.Err
			opt.Log = zap.NewNop()
			if verbose {
				log, err := logging.New(settings.Log{Level: "debug"})
				if err != nil {
					return err
				}
				opt.Log = log
			}
			report, err := demo.Run(ctx, opt)
			if err != nil {
				return err
			}
			if std.JSON {
				err = printJSON(std.Out, report)
			} else {
				report.Print(std.Out)
			}
			if err == nil && !report.Held {
				err = errInvariantViolated
			}
			return err
		},
	}
}
