package mutation

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestEveryMutationStillApplies makes each edit in a copy of the source and checks that the named
// tests exist. A change to the source of a protection must also change the mutation.
func TestEveryMutationStillApplies(t *testing.T) {
	for _, m := range All {
		folder := t.TempDir()
		for _, edit := range m.Edits {
			copySource(t, folder, edit.File)
		}
		if err := m.Apply(folder); err != nil {
			t.Errorf("%s: %v", m.Name, err)
		}
		if (m.Test == "") != m.Simulated || (m.Package == "") != m.Simulated {
			t.Errorf("%s: want either Simulated or both Package and Test", m.Name)
		}
		if m.Test != "" && !hasTest(t, m.Package, m.Test) {
			t.Errorf("%s: test %s not found in %s", m.Name, m.Test, m.Package)
		}
	}
}

// copySource copies a file of the source into a folder, under its path from the module's root.
func copySource(t *testing.T, folder, path string) {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("..", "..", "..", path))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Dir(filepath.Join(folder, path)), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(folder, path), content, 0o644); err != nil {
		t.Fatal(err)
	}
}

// hasTest reports whether a package, given as a path from the module's root, has a test with the
// given name.
func hasTest(t *testing.T, folder, name string) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", "..", "..", folder, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(content), "func "+name+"(") {
			return true
		}
	}
	return false
}
