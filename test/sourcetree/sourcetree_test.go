package sourcetree

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// Copies of other versions' sources in the build output must not count as sources: tests that
// compare the sources with lists and pages failed where such copies existed.
func TestFilesSkipsBuildOutput(t *testing.T) {
	root := t.TempDir()
	want := []string{filepath.Join(root, "a.go"), filepath.Join(root, "internal", "b", "b.go")}
	skipped := []string{"target/bench/old.go", "internal/b/testdata/c.go", ".git/d.go"}
	for _, file := range append(slices.Clone(want), skipped...) {
		if !filepath.IsAbs(file) {
			file = filepath.Join(root, filepath.FromSlash(file))
		}
		if err := os.MkdirAll(filepath.Dir(file), 0o750); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := Files(root)
	if err != nil || !slices.Equal(got, want) {
		t.Errorf("got files %v, error %v, want %v", got, err, want)
	}
}
