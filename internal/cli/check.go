package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/internal/schema"
)

// checkResult is the output of the check command for a valid folder.
type checkResult struct {
	Folder string `json:"folder"`
	Files  int    `json:"files"`
	Digest string `json:"digest"`
}

func checkCommand() *Command {
	table, against := "", &operatorTarget{}
	return &Command{
		Name: "check", Summary: "check a folder of configuration files, or a route table", Args: "[FOLDER]", Example: "verbenastep check examples/karoo",
		Flags: func(f *flag.FlagSet) {
			f.StringVar(&table, "table", "", "`FILE` with a route table to check instead of a folder")
			f.StringVar(&against.addresses, "against", "", "administrative `ADDRESSES` of daemons, comma-separated, with whose route table the file is compared")
			f.StringVar(&against.key, "key", "", "operator's `KEY` for -against; better given in "+operatorKeyEnv)
		},
		Run: func(ctx context.Context, std IO, args []string) error {
			switch {
			case table != "" && len(args) > 0:
				return &usageError{problem: "name either a folder or -table"}
			case table == "" && against.addresses != "":
				return &usageError{problem: "-against needs -table"}
			case table != "":
				return checkTable(ctx, std, table, against)
			}
			files, err := readValidFolder(args)
			if err != nil {
				return err
			}
			if std.JSON {
				return printJSON(std.Out, checkResult{Folder: args[0], Files: len(files), Digest: files.Digest()})
			}
			fmt.Fprintf(std.Out, "%s: %s valid\n", args[0], plural(len(files), "file"))
			return nil
		},
	}
}

// faultsError reports all faults in a folder of configuration files.
type faultsError struct {
	faults config.Faults
}

// Error returns the faults, one per line.
func (e *faultsError) Error() string { return e.faults.Error() }

func (e *faultsError) detail() any { return e.faults }

// readValidFolder reads the folder that args names and validates its files. The
// result is in compact form.
func readValidFolder(args []string) (config.Files, error) {
	if len(args) != 1 {
		return nil, &usageError{problem: "name one folder of configuration files"}
	}
	files, err := ReadFolder(args[0])
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s holds no JSON file; name a folder of configuration files", args[0])
	}
	faults := config.Faults{}
	if err := schema.CheckFiles(files); errors.As(err, &faults) {
		return nil, &faultsError{faults: faults}
	}
	return files.Compact()
}

// ReadFolder returns the content of all JSON files below a folder, keyed by the
// slash-separated path relative to it.
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
