package cli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/verbenastep/verbenastep/api/client"
	"github.com/verbenastep/verbenastep/api/operator"
	"github.com/verbenastep/verbenastep/core/config"
)

// keyVariable is the environment variable that holds the operator's key.
const keyVariable = "VERBENASTEP_OPERATOR_KEY"

// target is the daemon that an operator's command speaks with.
type target struct {
	address string
	key     string
}

func (t *target) flags(f *flag.FlagSet) {
	f.StringVar(&t.address, "daemon", "127.0.0.1:7401", "administrative `ADDRESS` of a daemon")
	f.StringVar(&t.key, "key", os.Getenv(keyVariable), "operator's key; by default from "+keyVariable)
}

func (t *target) client() *client.Operator {
	return &client.Operator{Address: t.address, Key: t.key}
}

var errOneFolder = errors.New("name one folder")

// ReadFolder reads all JSON files below a folder.
func ReadFolder(folder string) (config.Files, error) {
	files := config.Files{}
	err := filepath.WalkDir(folder, func(p string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(p) != ".json" {
			return err
		}
		rel, err := filepath.Rel(folder, p)
		if err != nil {
			return err
		}
		files[filepath.ToSlash(rel)], err = os.ReadFile(p)
		return err
	})
	return files, err
}

func applyCommand() *Command {
	t := &target{}
	return &Command{
		Name: "apply", Summary: "replace the configuration as a whole", Example: "verbenastep apply examples/karoo",
		Flags: t.flags,
		Run: func(ctx context.Context, std IO, args []string) error {
			if len(args) != 1 {
				return errOneFolder
			}
			files, err := ReadFolder(args[0])
			if err != nil {
				return err
			}
			current, err := t.client().Config(ctx)
			if err != nil {
				return err
			}
			applied, err := t.client().Apply(ctx, operator.Apply{Base: current.Version, Files: operator.Files(files)})
			if err != nil {
				return err
			}
			fmt.Fprintf(std.Out, "version %d accepted\n", applied.Version)
			return nil
		},
	}
}

func getCommand() *Command {
	t := &target{}
	return &Command{
		Name: "get", Summary: "show the configuration in force", Example: "verbenastep get",
		Flags: t.flags,
		Run: func(ctx context.Context, std IO, _ []string) error {
			c, err := t.client().Config(ctx)
			if err != nil {
				return err
			}
			return printJSON(std.Out, c)
		},
	}
}

func statusCommand() *Command {
	t := &target{}
	return &Command{
		Name: "status", Summary: "show the live daemons and who lags", Example: "verbenastep status",
		Flags: t.flags,
		Run: func(ctx context.Context, std IO, _ []string) error {
			st, err := t.client().Status(ctx)
			if err != nil {
				return err
			}
			return printJSON(std.Out, st)
		},
	}
}

func dumpCommand() *Command {
	t := &target{}
	return &Command{
		Name: "dump", Summary: "show the state of all services of a daemon", Example: "verbenastep dump",
		Flags: t.flags,
		Run: func(ctx context.Context, std IO, args []string) error {
			state, err := t.client().State(ctx)
			if err != nil {
				return err
			}
			if len(args) > 0 {
				return printJSON(std.Out, state[strings.Join(args, " ")])
			}
			return printJSON(std.Out, state)
		},
	}
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
