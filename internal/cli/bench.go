package cli

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/verbenastep/verbenastep/internal/schedbench"
)

// Markers around the part of a page that the bench command rewrites.
const (
	benchBegin = "<!-- begin: verbenastep bench sched -->\n"
	benchEnd   = "<!-- end: verbenastep bench sched -->\n"
)

func benchCommand() *Command {
	page := ""
	return &Command{
		Name: "bench", Summary: "measure the scheduling policy in virtual time", Example: "verbenastep bench -o docs/MEASUREMENTS.md sched",
		Flags: func(f *flag.FlagSet) {
			f.StringVar(&page, "o", "", "`PAGE` whose marked part is rewritten; standard output where empty")
		},
		Run: func(_ context.Context, std IO, args []string) error {
			if len(args) != 1 || args[0] != "sched" {
				return fmt.Errorf("bench takes one argument: sched")
			}
			if page == "" {
				return schedbench.Run(std.Out)
			}
			tables := &bytes.Buffer{}
			if err := schedbench.Run(tables); err != nil {
				return err
			}
			return rewriteTables(page, tables.Bytes())
		},
	}
}

// rewriteTables replaces the part of the page between the markers with tables.
func rewriteTables(page string, tables []byte) error {
	data, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	head, rest, ok := bytes.Cut(data, []byte(benchBegin))
	_, tail, ok2 := bytes.Cut(rest, []byte(benchEnd))
	if !ok || !ok2 {
		return fmt.Errorf("%s lacks the markers of the scheduling tables; add %q and %q", page, benchBegin, benchEnd)
	}
	out := bytes.Join([][]byte{head, []byte(benchBegin), tables, []byte(benchEnd), tail}, nil)
	return os.WriteFile(page, out, 0o644)
}
