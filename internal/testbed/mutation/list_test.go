package mutation

import (
	"os"
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
	}
}
