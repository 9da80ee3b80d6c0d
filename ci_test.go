package seamloom_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// knownRed runs the CI script that reads KNOWN-RED.txt on a file with the given content. It returns the names of
// the tests of one kind that the script prints, separated by spaces.
func knownRed(t *testing.T, kind, content string) (string, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	printed, err := exec.Command("bash", ".ci/known-red", kind, file).Output()
	return strings.Join(strings.Fields(string(printed)), " "), err
}

// TestKnownRedEntriesAreReadByKind checks that the script distinguishes tests that always fail (kind exact) from
// tests that fail sometimes, skips comments and blank lines, and reads a last line without a line feed.
func TestKnownRedEntriesAreReadByKind(t *testing.T) {
	const content = "# a remark\n\nTestAlways go test ./x; fails; issue 35\n" +
		"TestRarely sometimes seed 7; issue 35\nTestSometimesInText fails sometimes; issue 35\nTestLast"
	for kind, want := range map[string]string{
		"exact":     "TestAlways TestSometimesInText TestLast",
		"sometimes": "TestRarely",
		"all":       "TestAlways TestRarely TestSometimesInText TestLast",
	} {
		if got, err := knownRed(t, kind, content); err != nil || got != want {
			t.Errorf("entries of kind %s: got %q (error %v), want %q", kind, got, err, want)
		}
	}
}

// TestKnownRedRejectsLinesWithoutATest checks that the script fails on a line that names no test: a
// typing error must not become a pattern that excludes other tests.
func TestKnownRedRejectsLinesWithoutATest(t *testing.T) {
	for _, line := range []string{".* everything", "go test ./...", "TestA|TestB both"} {
		if got, err := knownRed(t, "all", line+"\n"); err == nil {
			t.Errorf("line %q: got the entry %q, want an error", line, got)
		}
	}
	if _, err := knownRed(t, "some", "TestA\n"); err == nil {
		t.Error("unknown kind: got no error, want one")
	}
}

// TestKnownRedFileMayBeMissing checks that the script succeeds and prints nothing without the file.
func TestKnownRedFileMayBeMissing(t *testing.T) {
	printed, err := exec.Command("bash", ".ci/known-red", "all", filepath.Join(t.TempDir(), "none")).Output()
	if err != nil || len(printed) != 0 {
		t.Errorf("missing file: got output %q and error %v, want neither", printed, err)
	}
}
