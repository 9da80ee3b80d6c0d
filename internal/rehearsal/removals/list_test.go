package removals

import (
	"os"
	"testing"
)

// TestEveryRemovalStillApplies makes each edit in a copy: a protection that has
// moved must be found again by whoever moved it.
func TestEveryRemovalStillApplies(test *testing.T) {
	for _, removal := range All {
		folder := test.TempDir()
		if failure := os.CopyFS(folder+"/internal", os.DirFS("../..")); failure != nil {
			test.Fatal(failure)
		}
		if failure := removal.Apply(folder); failure != nil {
			test.Errorf("%s: %v", removal.Name, failure)
		}
		if (removal.Test == "") != removal.Worlds || (removal.Package == "") != removal.Worlds {
			test.Errorf("%s names no test, or two", removal.Name)
		}
	}
}
