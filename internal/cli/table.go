package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/verbenastep/verbenastep/api/client"
	"github.com/verbenastep/verbenastep/core/routes"
)

// tableReview is the output of the check command for a route table.
type tableReview struct {
	File     string           `json:"file"`
	Version  uint64           `json:"version"`
	Findings []routes.Finding `json:"findings"`
	// Differences are those from the table in force; nil without -against.
	Differences []routes.Difference `json:"differences,omitempty"`
}

// tableFaultsError reports that a table has faults, which the review lists.
type tableFaultsError struct {
	file   string
	faults int
}

// Error returns the number of faults.
func (e *tableFaultsError) Error() string {
	return fmt.Sprintf("%s has %s; the control daemons would reject it", e.file, plural(e.faults, "fault"))
}

// checkTable reviews the route table in a file, and compares it with the one in force on a daemon
// if against names any. It returns an error if the table has faults; warnings are no error.
func checkTable(ctx context.Context, std IO, file string, against *operatorTarget) error {
	table, err := readTable(file)
	if err != nil {
		return err
	}
	review := tableReview{File: file, Version: table.Version, Findings: routes.Review(table)}
	if against.addresses != "" {
		if err := review.compare(ctx, against, table); err != nil {
			return err
		}
	}
	if std.JSON {
		err = printJSON(std.Out, review)
	} else {
		review.print(std.Out)
	}
	if err != nil {
		return err
	}
	if n := review.faults(); n > 0 {
		return &tableFaultsError{file: file, faults: n}
	}
	return nil
}

// readTable reads a route table in the project's own form.
func readTable(file string) (*routes.Table, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	t := &routes.Table{}
	if err := json.Unmarshal(data, t); err != nil {
		return nil, fmt.Errorf("%s is no route table: %w; give one in the form that GET /operator/v1/table answers", file, err)
	}
	return t, nil
}

// compare adds what differs from the table in force on a daemon.
func (r *tableReview) compare(ctx context.Context, target *operatorTarget, table *routes.Table) error {
	data, err := queryFirst(ctx, target, func(ctx context.Context, o *client.Operator) (json.RawMessage, error) { return o.Table(ctx) })
	if err != nil {
		return err
	}
	current := &routes.Table{}
	if err := json.Unmarshal(data, current); err != nil {
		return err
	}
	if table.Version <= current.Version {
		r.Findings = append(r.Findings, routes.Finding{Severity: routes.Warning, Fault: routes.Fault{
			At: "table", Message: fmt.Sprintf("version %d is not above version %d, which is in force", table.Version, current.Version), Remedy: "give a higher version, or the table has no effect",
		}})
	}
	r.Differences, err = routes.Compare(current, table)
	return err
}

func (r *tableReview) faults() int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == routes.Invalid {
			n++
		}
	}
	return n
}

func (r *tableReview) print(w io.Writer) {
	for _, f := range r.Findings {
		fmt.Fprintln(w, f)
	}
	for _, d := range r.Differences {
		fmt.Fprintln(w, d)
	}
	fmt.Fprintf(w, "%s: version %d, %s, %s\n", r.File, r.Version, plural(r.faults(), "fault"), plural(len(r.Findings)-r.faults(), "warning"))
}
