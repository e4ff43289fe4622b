package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/verbenastep/verbenastep/api/client"
	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/operator"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/port"
	"github.com/verbenastep/verbenastep/internal/replica"
	"github.com/verbenastep/verbenastep/internal/wal"
)

func replicasCommand() *Command {
	t := &operatorTarget{}
	remove := ""
	return &Command{
		Name: "replicas", Summary: "show the log's replicas, their terms and lag, or remove one", Example: "verbenastep replicas -daemon 127.0.0.1:7401",
		Flags: func(f *flag.FlagSet) {
			t.registerFlags(f)
			f.StringVar(&remove, "remove", "", "take the replica `NAME` out of the group first")
		},
		Run: func(ctx context.Context, std IO, _ []string) error {
			list, err := queryFirst(ctx, t, func(ctx context.Context, o *client.Operator) ([]operator.Replica, error) {
				if remove != "" {
					return o.RemoveReplica(ctx, remove)
				}
				return o.Replicas(ctx)
			})
			if err != nil {
				return err
			}
			if std.JSON {
				return printJSON(std.Out, list)
			}
			return printReplicas(std.Out, list)
		},
	}
}

func printReplicas(w io.Writer, list []operator.Replica) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "replica\taddress\trole\tvotes\tterm\tcommitted\tapplied\tlag\tversion\terror")
	for _, r := range list {
		fmt.Fprintf(tab, "%s\t%s\t%s\t%t\t%d\t%d\t%d\t%d\t%d\t%s\n", r.Name, r.Address, r.Role, r.Voter, r.Term, r.Committed, r.Applied, r.Lag, r.Version, r.Error)
	}
	return tab.Flush()
}

func backupCommand() *Command {
	t := &operatorTarget{}
	return &Command{
		Name: "backup", Summary: "write a snapshot of the durable state", Args: "FILE", Example: "verbenastep backup state.snapshot",
		Flags: t.registerFlags,
		Run: func(ctx context.Context, std IO, args []string) error {
			if len(args) != 1 {
				return &usageError{problem: "name one file to write"}
			}
			data, err := queryFirst(ctx, t, func(ctx context.Context, o *client.Operator) ([]byte, error) { return o.Backup(ctx) })
			if err != nil {
				return err
			}
			if err := checkBackup(args[0], data); err != nil {
				return err
			}
			if err := writeFile(args[0], data); err != nil {
				return err
			}
			fmt.Fprintf(std.Out, "%d bytes written to %s\n", len(data), args[0])
			return nil
		},
	}
}

// checkBackup returns an error if a backup can't be restored.
func checkBackup(name string, data []byte) error {
	s, err := wal.DecodeSnapshot(name, data)
	if err != nil {
		return err
	}
	return state.New().Restore(s.Data)
}

// writeFile writes the file durably, creating its folder where needed.
func writeFile(path string, data []byte) error {
	folder, err := wal.OpenFolder(filepath.Dir(path))
	if err != nil {
		return err
	}
	return wal.WriteFile(folder, filepath.Base(path), data)
}

func restoreCommand() *Command {
	folder := ""
	return &Command{
		Name: "restore", Summary: "lay a backup into an empty data folder", Args: "FILE", Example: "verbenastep restore -data data/daemon-1 state.snapshot",
		Flags: func(f *flag.FlagSet) {
			f.StringVar(&folder, "data", "", "data `FOLDER` of the replica whose name sorts first, of a group that has not begun")
		},
		Run: func(_ context.Context, std IO, args []string) error {
			if len(args) != 1 || folder == "" {
				return &usageError{problem: "name the data folder with -data, and one backup file"}
			}
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			if err := checkBackup(args[0], data); err != nil {
				return err
			}
			if hasLog(folder) {
				return fault.New(fault.Conflict, "move the data folders of all replicas away first, see docs/operations/replicas.md", "%s holds a log already", folder)
			}
			if err := writeFile(replica.RestoreFile(folder, port.GroupMain), data); err != nil {
				return err
			}
			fmt.Fprintln(std.Out, "the group begins from the backup once all replicas have started with empty folders")
			return nil
		},
	}
}

// hasLog reports whether the data folder already holds a replicated log.
func hasLog(folder string) bool {
	_, err := os.Stat(replica.LogFolder(folder, port.GroupMain))
	return err == nil
}
