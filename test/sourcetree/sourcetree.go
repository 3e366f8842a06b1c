// Package sourcetree lists the files of the module's source tree for tests that read them.
//
// Only tests import this package. It imports nothing of the module and has no state.
package sourcetree

import (
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
)

// skippedDirectories contain no sources of the module: testdata belongs to single tests, and target
// holds build output, which may include copies of the sources of other versions.
var skippedDirectories = []string{"testdata", "target"}

// Files returns the paths of all files below root in lexical order. It leaves out hidden
// directories, testdata and target.
func Files(root string) ([]string, error) {
	var files []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !entry.IsDir() {
			files = append(files, path)
			return nil
		}
		name := entry.Name()
		if path != root && (strings.HasPrefix(name, ".") || slices.Contains(skippedDirectories, name)) {
			return filepath.SkipDir
		}
		return nil
	})
	return files, err
}
