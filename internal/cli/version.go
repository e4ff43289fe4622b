package cli

import (
	"context"
	"flag"
	"fmt"
	"runtime"
	"runtime/debug"
)

// versionInfo is the output of the version command.
type versionInfo struct {
	Version string `json:"version"`
	// Commit is empty if the build recorded no revision.
	Commit string `json:"commit,omitempty"`
	Go     string `json:"go"`
}

func versionCommand() *Command {
	return &Command{
		Name: "version", Summary: "show what this command was built from", Example: "verbenastep version",
		Flags: func(*flag.FlagSet) {},
		Run: func(_ context.Context, std IO, _ []string) error {
			v := readVersion()
			if std.JSON {
				return printJSON(std.Out, v)
			}
			fmt.Fprintf(std.Out, "verbenastep %s %s %s\n", v.Version, v.Commit, v.Go)
			return nil
		},
	}
}

func readVersion() versionInfo {
	v := versionInfo{Version: "unknown", Go: runtime.Version()}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	v.Version = info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v.Commit = s.Value
		}
	}
	return v
}
