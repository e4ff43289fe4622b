package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/verbenastep/verbenastep/internal/capacity"
)

func capacityCommand() *Command {
	page, folder := "", ""
	tables := false
	return &Command{
		Name: "capacity", Summary: "measure slopes and make the tables of docs/CAPACITY.md", Example: "verbenastep capacity -tables",
		Flags: func(f *flag.FlagSet) {
			f.StringVar(&page, "page", "docs/CAPACITY.md", "the page's `FILE`")
			f.StringVar(&folder, "out", "docs/capacity", "`FOLDER` for the CSV file and plots")
			f.BoolVar(&tables, "tables", false, "make the tables from the CSV file without measuring")
		},
		Run: func(_ context.Context, std IO, _ []string) error {
			file := filepath.Join(folder, "slopes.csv")
			if !tables {
				if err := measureTo(std, folder, file); err != nil {
					return err
				}
			}
			return renderPage(page, file)
		},
	}
}

// measureTo measures the capacity, writes the points to a CSV file and plots them
// into the folder.
func measureTo(std IO, folder, file string) error {
	points, err := capacity.Measure(func(group string) { fmt.Fprintf(std.Err, "measuring %s\n", group) })
	if err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := capacity.WriteCSV(out, points); err != nil {
		_ = out.Close()
		return err
	}
	if err := out.Close(); err != nil {
		return err
	}
	return capacity.Plot(folder, points)
}

// renderPage rewrites the tables of a page from the points in a CSV file.
func renderPage(page, file string) error {
	in, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = in.Close() }()
	points, err := capacity.ReadCSV(in)
	if err != nil {
		return err
	}
	current, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	rendered, err := capacity.Render(string(current), points)
	if err != nil {
		return err
	}
	return os.WriteFile(page, []byte(rendered), 0o644)
}
