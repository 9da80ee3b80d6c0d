// Package mutation lists mutations of the product's source and applies them to a copy of the
// source. Each mutation removes one protection, and the test of that protection must fail on the
// mutated source. A test that still passes doesn't cover the protection.
package mutation

import (
	"os"
	"path/filepath"
	"strings"

	"seamloom.example/seamloom/internal/failure"
)

// Edit replaces a text that occurs exactly once in a file.
type Edit struct {
	File string
	Old  string
	New  string
}

// Mutation removes one protection.
type Mutation struct {
	// Name describes the protection.
	Name string
	// Violation is what must never happen and may happen without the protection.
	Violation string
	Edits     []Edit
	// Simulated means that simulated days must detect the mutation: a checker whose name contains
	// Checker must find a violation, or, if Checker is empty, a day must fail in any way. Flags are
	// further flags of the simulation. Without Simulated, Package and Test name the test that must
	// fail.
	Simulated bool
	Checker   string
	Flags     []string
	Package   string
	Test      string
}

// Apply makes the edits in a copy of the source. It returns an error if the text of an edit
// doesn't occur exactly once.
func (m Mutation) Apply(folder string) error {
	for _, edit := range m.Edits {
		path := filepath.Join(folder, edit.File)
		content, err := os.ReadFile(path)
		if err != nil {
			return failure.Wrap(failure.Disk, err)
		}
		if count := strings.Count(string(content), edit.Old); count != 1 {
			return failure.At(failure.NoSuch, edit.File, "the text to replace does not occur exactly once: "+edit.Old)
		}
		if err := os.WriteFile(path, []byte(strings.Replace(string(content), edit.Old, edit.New, 1)), 0o644); err != nil {
			return failure.Wrap(failure.Disk, err)
		}
	}
	return nil
}
