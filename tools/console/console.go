// Package console writes the output of commands for people: lines and tables. It holds no state and
// imports no other package of the project.
package console

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// AlignRight is a flag of WriteTable that aligns the cells of each column to the right.
const AlignRight = tabwriter.AlignRight

// WriteTable writes rows, whose cells end with tabs, in columns. It returns the error of the
// writer.
func WriteTable(w io.Writer, rows string, flags uint) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', flags)
	if _, err := io.WriteString(t, rows); err != nil {
		return err
	}
	return t.Flush()
}

// Printf writes progress and hints. Write errors are ignored, because a command goes on if nobody
// reads its output.
func Printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
