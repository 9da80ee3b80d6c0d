package mutation

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestEveryRemovalStillApplies makes each edit in a copy: a protection that has
// moved must be found again by whoever moved it.
func TestEveryRemovalStillApplies(t *testing.T) {
	for _, removal := range All {
		folder := t.TempDir()
		if err := os.CopyFS(folder+"/internal", os.DirFS("../..")); err != nil {
			t.Fatal(err)
		}
		if err := removal.Apply(folder); err != nil {
			t.Errorf("%s: %v", removal.Name, err)
		}
		if (removal.Test == "") != removal.Worlds || (removal.Package == "") != removal.Worlds {
			t.Errorf("%s names no test, or two", removal.Name)
		}
		if removal.Test != "" && !hasTest(t, removal.Package, removal.Test) {
			t.Errorf("%s: there is no %s in %s", removal.Name, removal.Test, removal.Package)
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
