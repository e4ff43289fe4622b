package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/verbenastep/verbenastep/internal/logbench"
)

func logBenchCommand() *Command {
	cfg := logbench.Config{}
	out := ""
	return &Command{
		Name: "bench-log", Summary: "measure the replicated log on this machine's disk", Example: "verbenastep bench-log -folder /var/tmp -out docs/MEASUREMENTS-LOG.md",
		Flags: func(f *flag.FlagSet) {
			f.StringVar(&cfg.Folder, "folder", "", "`FOLDER` on the disk to measure; by default the system's for temporary files")
			f.IntVar(&cfg.Port, "port", 7690, "first of three free TCP `PORT`s on 127.0.0.1")
			f.DurationVar(&cfg.CommitTime, "time", 5*time.Second, "`TIME` of each measurement of commits")
			f.StringVar(&out, "out", "", "`FILE` to append the figures to, besides printing them")
		},
		Run: func(ctx context.Context, std IO, _ []string) error {
			report, err := logbench.Run(ctx, cfg)
			if err != nil {
				return err
			}
			if _, err := report.WriteTo(std.Out); err != nil || out == "" {
				return err
			}
			f, err := os.OpenFile(out, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
			if err != nil {
				return err
			}
			if _, err := report.WriteTo(f); err != nil {
				return fmt.Errorf("%s: %w", out, err)
			}
			return f.Close()
		},
	}
}
