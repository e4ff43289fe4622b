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

// checked is the result of a check without faults.
type checked struct {
	Folder string `json:"folder"`
	Files  int    `json:"files"`
	Digest string `json:"digest"`
}

func checkCommand() *Command {
	return &Command{
		Name: "check", Summary: "check a folder of configuration files", Args: "FOLDER", Example: "verbenastep check examples/karoo",
		Flags: func(*flag.FlagSet) {},
		Run: func(_ context.Context, std IO, args []string) error {
			files, err := checkedFolder(args)
			if err != nil {
				return err
			}
			if std.JSON {
				return printJSON(std.Out, checked{Folder: args[0], Files: len(files), Digest: files.Digest()})
			}
			fmt.Fprintf(std.Out, "%s: %s valid\n", args[0], plural(len(files), "file"))
			return nil
		},
	}
}

// faultsError is every fault of a folder.
type faultsError struct {
	faults config.Faults
}

// Error lists the faults, one a line.
func (e *faultsError) Error() string { return e.faults.Error() }

func (e *faultsError) detail() any { return e.faults }

// checkedFolder reads the one folder named and checks its files.
func checkedFolder(args []string) (config.Files, error) {
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
