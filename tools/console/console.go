// Package console writes what commands tell people: lines and tables. It owns no state and
// imports nothing of the project.
package console

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// columnGap is the space between the columns of a table.
const columnGap = 2

// AlignRight is a flag of WriteTable: columns end where they align.
const AlignRight = tabwriter.AlignRight

// WriteTable writes rows, whose cells end with tabs, in columns. The error is the writer's.
func WriteTable(w io.Writer, rows string, flags uint) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', flags)
	if _, err := io.WriteString(t, rows); err != nil {
		return err
	}
	return t.Flush()
}

// Printf writes what goes on. That nobody reads it is no reason to end: errors are ignored.
func Printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
