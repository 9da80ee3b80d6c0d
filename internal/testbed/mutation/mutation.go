// Package mutation takes the product's protections away, one at a time, in a
// copy of the source, and runs the test that must then fail. A test that passes
// without the protection proves nothing of it.
package mutation

import (
	"os"
	"path/filepath"
	"strings"

	"seamloom.example/seamloom/internal/failure"
)

// Edit replaces a text that stands once in a file.
type Edit struct {
	File string
	Old  string
	New  string
}

// Mutation takes one protection away.
type Mutation struct {
	// Name says which protection.
	Name string
	// Never is the line of the brief that it serves.
	Never string
	Edits []Edit
	// Worlds tells that simulated days must find it, in a checker whose name contains
	// Finds, or by an incomplete core; else Package and Test name the test.
	Worlds  bool
	Finds   string
	Flags   []string
	Package string
	Test    string
}

// Apply makes the edits in a copy of the source. One that does not fit any more
// is a failure.
func (m Mutation) Apply(folder string) error {
	for _, edit := range m.Edits {
		path := filepath.Join(folder, edit.File)
		content, err := os.ReadFile(path)
		if err != nil {
			return failure.Wrap(failure.Disk, err)
		}
		if count := strings.Count(string(content), edit.Old); count != 1 {
			return failure.At(failure.NoSuch, edit.File, "the protection stands there other than once: "+edit.Old)
		}
		if err := os.WriteFile(path, []byte(strings.Replace(string(content), edit.Old, edit.New, 1)), 0o644); err != nil {
			return failure.Wrap(failure.Disk, err)
		}
	}
	return nil
}
