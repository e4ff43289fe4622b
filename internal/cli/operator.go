package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/verbenastep/verbenastep/api/client"
	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/api/operator"
	logs "github.com/verbenastep/verbenastep/internal/explain"
)

func getCommand() *Command {
	t := &operatorTarget{}
	return &Command{
		Name: "get", Summary: "show the configuration in force", Args: "[FILE]", Example: "verbenastep get tiers.json",
		Flags: t.registerFlags,
		Run: func(ctx context.Context, std IO, args []string) error {
			c, err := queryFirst(ctx, t, func(ctx context.Context, o *client.Operator) (operator.Config, error) { return o.Config(ctx) })
			if err != nil {
				return err
			}
			if len(args) == 0 {
				return printJSON(std.Out, c)
			}
			content, ok := c.Files[args[0]]
			if !ok {
				return fault.New(fault.NotFound, "verbenastep get lists the files", "version %d has no file %q", c.Version, args[0])
			}
			return printJSON(std.Out, content)
		},
	}
}

func statusCommand() *Command {
	t := &operatorTarget{}
	return &Command{
		Name: "status", Summary: "show the live daemons and who lags", Example: "verbenastep status -daemon 127.0.0.1:7401,127.0.0.1:7402",
		Flags: t.registerFlags,
		Run: func(ctx context.Context, std IO, _ []string) error {
			st, err := queryFirst(ctx, t, status)
			if err != nil {
				return err
			}
			if std.JSON {
				return printJSON(std.Out, st)
			}
			return printStatus(std.Out, st)
		},
	}
}

func status(ctx context.Context, o *client.Operator) (operator.Status, error) { return o.Status(ctx) }

func printStatus(w io.Writer, st operator.Status) error {
	fmt.Fprintf(w, "%s has version %d in force\n", st.Daemon, st.Version)
	for _, name := range slices.Sorted(maps.Keys(st.Failing)) {
		fmt.Fprintf(w, "failing: %s: %s\n", name, st.Failing[name])
	}
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "daemon\tregion\tdata centre\tcallers\treplica\tversion\tstate")
	for _, m := range st.Members {
		state := "up to date"
		if m.Lags {
			state = "lags"
		}
		fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%t\t%d\t%s\n", m.Name, m.Region, m.DataCentre, m.Callers, m.Replica, m.Version, state)
	}
	return tab.Flush()
}

func dumpCommand() *Command {
	t := &operatorTarget{}
	return &Command{
		Name: "dump", Summary: "show the state of a daemon's services", Args: "[SERVICE]", Example: "verbenastep dump config.view",
		Flags: t.registerFlags,
		Run: func(ctx context.Context, std IO, args []string) error {
			state, err := queryFirst(ctx, t, func(ctx context.Context, o *client.Operator) (operator.State, error) { return o.State(ctx) })
			if err != nil {
				return err
			}
			if len(args) == 0 {
				return printJSON(std.Out, state)
			}
			service, ok := state[args[0]]
			if !ok {
				return fault.New(fault.NotFound, "verbenastep dump lists the services", "the daemon has no service %q", args[0])
			}
			return printJSON(std.Out, service)
		},
	}
}

// explanation is what one daemon knows about a request.
type explanation struct {
	Daemon  string          `json:"daemon"`
	Request json.RawMessage `json:"request"`
}

func explainCommand() *Command {
	t := &operatorTarget{}
	files := ""
	return &Command{
		Name: "explain", Summary: "show why a request went where it did, waited, or was refused", Args: "KEY", Example: "verbenastep explain -daemon 127.0.0.1:7401,127.0.0.1:7402,127.0.0.1:7403 transfer-17",
		Flags: func(f *flag.FlagSet) {
			t.registerFlags(f)
			f.StringVar(&files, "logs", "", "read the daemons' logs from these `FILES`, with commas between, or - for standard input, instead of asking")
		},
		Run: func(ctx context.Context, std IO, args []string) error {
			if len(args) != 1 {
				return &usageError{problem: "give the request's key"}
			}
			if files != "" {
				return explainLogs(std, files, args[0])
			}
			found, err := queryExplanations(ctx, t, args[0])
			if err != nil {
				return err
			}
			return printJSON(std.Out, found)
		},
	}
}

// explainLogs prints what the daemons' logs say about a request.
func explainLogs(std IO, files, request string) error {
	lines := []logs.Line{}
	for _, name := range strings.Split(files, ",") {
		fileLines, err := readLog(std, name)
		if err != nil {
			return err
		}
		lines = append(lines, fileLines...)
	}
	report, found := logs.Explain(lines, request)
	if !found {
		return fault.New(fault.NotFound, "give the logs of all daemons, from before the request on", "no line names the request %q", request)
	}
	if std.JSON {
		return printJSON(std.Out, report)
	}
	return report.Write(std.Out)
}

func readLog(std IO, name string) ([]logs.Line, error) {
	if name == "-" {
		return logs.Read(std.In)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return logs.Read(f)
}

// queryExplanations asks every daemon about a request, since each knows only
// what it handled itself. It fails only if no daemon knows the request, with the
// error of the last daemon that answered or else of the first.
func queryExplanations(ctx context.Context, t *operatorTarget, key string) ([]explanation, error) {
	found := []explanation{}
	lastErr := error(&usageError{problem: "-daemon names no address"})
	for i, c := range t.clients() {
		request, err := c.Explain(ctx, key)
		if err == nil {
			found = append(found, explanation{Daemon: c.Address, Request: request})
			continue
		}
		if i == 0 || !unreachable(err) {
			lastErr = err
		}
	}
	if len(found) > 0 {
		return found, nil
	}
	return nil, lastErr
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}

// plural formats a count with its noun, given in the singular.
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
