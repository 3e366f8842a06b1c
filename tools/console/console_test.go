package console

import (
	"errors"
	"strings"
	"testing"
)

// closedPipe is a writer that fails because its reader is gone.
type closedPipe struct{}

var errClosed = errors.New("closed")

func (closedPipe) Write([]byte) (int, error) { return 0, errClosed }

// Cells are aligned in columns, and the writer's error is returned.
func TestWriteTable(t *testing.T) {
	var out strings.Builder
	if err := WriteTable(&out, "a\tbb\nccc\td\n", 0); err != nil || out.String() != "a    bb\nccc  d\n" {
		t.Errorf("got left-aligned table %q, error %v", out.String(), err)
	}
	out.Reset()
	if err := WriteTable(&out, "a\tbb\t\nccc\td\t\n", AlignRight); err != nil || out.String() != "    a  bb\n  ccc   d\n" {
		t.Errorf("got right-aligned table %q, error %v", out.String(), err)
	}
	if err := WriteTable(closedPipe{}, "a\tb\n", 0); !errors.Is(err, errClosed) {
		t.Errorf("got error %v, want %v", err, errClosed)
	}
}
