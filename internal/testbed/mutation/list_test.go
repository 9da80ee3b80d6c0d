package mutation

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestEveryMutationStillApplies makes each edit in a copy: a protection that has
// moved must be found again by whoever moved it.
func TestEveryMutationStillApplies(t *testing.T) {
	for _, m := range All {
		folder := t.TempDir()
		if err := os.CopyFS(folder+"/internal", os.DirFS("../..")); err != nil {
			t.Fatal(err)
		}
		if err := m.Apply(folder); err != nil {
			t.Errorf("%s: %v", m.Name, err)
		}
		if (m.Test == "") != m.Worlds || (m.Package == "") != m.Worlds {
			t.Errorf("%s names no test, or two", m.Name)
		}
		if m.Test != "" && !hasTest(t, m.Package, m.Test) {
			t.Errorf("%s: there is no %s in %s", m.Name, m.Test, m.Package)
		}
	}
}

// hasTest tells whether a package, as a path from the module's root, has a test.
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
