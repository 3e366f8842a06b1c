package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one event a line with the seconds since the start.
type record struct {
	start time.Time

	mu   sync.Mutex // guards file
	file *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("creating the record: %w", err)
	}
	return &record{start: time.Now(), file: file}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	if _, err := r.file.WriteString(line); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
}
