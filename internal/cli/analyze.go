package cli

import (
	"context"
	"flag"

	"github.com/verbenastep/verbenastep/internal/analyze"
	"github.com/verbenastep/verbenastep/internal/explain"
)

func analyzeCommand() *Command {
	bySecond := false
	return &Command{
		Name: "analyze", Summary: "tell from logs why requests were late, refused or failed", Args: "[LOG...]",
		Example: "verbenastep analyze -seconds entry-1.log entry-2.log",
		Flags: func(f *flag.FlagSet) {
			f.BoolVar(&bySecond, "seconds", false, "print the causes of each second as well")
		},
		Run: func(_ context.Context, std IO, files []string) error {
			lines, err := readLogs(std, files)
			if err != nil {
				return err
			}
			r, err := analyze.Analyze(lines)
			if err != nil {
				return err
			}
			if std.JSON {
				return printJSON(std.Out, r)
			}
			return r.Print(std.Out, bySecond)
		},
	}
}

// readLogs reads the lines of files, or of the standard input if there are none.
func readLogs(std IO, files []string) ([]explain.Line, error) {
	if len(files) == 0 {
		files = []string{"-"}
	}
	out := []explain.Line{}
	for _, name := range files {
		lines, err := readLog(std, name)
		if err != nil {
			return nil, err
		}
		out = append(out, lines...)
	}
	return out, nil
}
