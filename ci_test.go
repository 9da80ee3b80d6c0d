package seamloom_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// knownRed runs the script by which CI reads KNOWN-RED.txt.
func knownRed(t *testing.T, kind, content string) (string, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	printed, err := exec.Command("bash", ".ci/known-red", kind, file).Output()
	return strings.Join(strings.Fields(string(printed)), " "), err
}

// TestKnownRedEntriesAreReadByKind has exact and occasional failures told apart, remarks and blank
// lines passed over, and the last line read without its line feed.
func TestKnownRedEntriesAreReadByKind(t *testing.T) {
	const content = "# a remark\n\nTestAlways go test ./x; fails; issue 35\nTestRarely sometimes seed 7; issue 35\nTestSometimesInText fails sometimes; issue 35\nTestLast"
	for kind, want := range map[string]string{
		"exact":     "TestAlways TestSometimesInText TestLast",
		"sometimes": "TestRarely",
		"all":       "TestAlways TestRarely TestSometimesInText TestLast",
	} {
		if got, err := knownRed(t, kind, content); err != nil || got != want {
			t.Errorf("%s: %q, %v; want %q", kind, got, err, want)
		}
	}
}

// TestKnownRedRejectsWhatIsNoTest has a line refused that names no test: a typing error must not
// become a pattern that leaves other tests out.
func TestKnownRedRejectsWhatIsNoTest(t *testing.T) {
	for _, line := range []string{".* everything", "go test ./...", "TestA|TestB both"} {
		if got, err := knownRed(t, "all", line+"\n"); err == nil {
			t.Errorf("%q was read as %q", line, got)
		}
	}
	if _, err := knownRed(t, "some", "TestA\n"); err == nil {
		t.Error("an unknown kind was taken")
	}
}

// TestKnownRedFileMayBeMissing has CI run without the file.
func TestKnownRedFileMayBeMissing(t *testing.T) {
	printed, err := exec.Command("bash", ".ci/known-red", "all", filepath.Join(t.TempDir(), "none")).Output()
	if err != nil || len(printed) != 0 {
		t.Errorf("%q, %v", printed, err)
	}
}
