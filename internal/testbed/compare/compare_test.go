package compare

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const dayText = `{"G": %G, "served": 0.9, "unserved": 0.01, "fault": null, "breaks": {%B},
"parts": [["whole day", 0.4, 0.92], ["nines", 0.35, 0.5]],
"prices": [["new connections to servers", 7000.0, 0.02], ["orders", 17.0, 0.0]],
"classes": [{"name": "hint", "n": 100, "in_aim": 90, "late": 8, "refused": 1, "failed": 1}]}`

// folderOf writes reports with these worths.
func folderOf(t *testing.T, worths map[string]string, breaks string) string {
	t.Helper()
	folder := t.TempDir()
	for day, worth := range worths {
		text := strings.ReplaceAll(strings.ReplaceAll(dayText, "%G", worth), "%B", breaks)
		if err := os.WriteFile(filepath.Join(folder, day+".json"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

// TestCompare pairs days, leaves out those that one side lacks, and knows the margin of a
// known sample.
func TestCompare(t *testing.T) {
	before, err := ReadReports(folderOf(t, map[string]string{"1": "0.5", "2": "0.6", "3": "0.7", "only": "0.1"}, ""))
	if err != nil {
		t.Fatal(err)
	}
	after, err := ReadReports(folderOf(t, map[string]string{"1": "0.6", "2": "0.7", "3": "0.9"}, `"TWICE": 1`))
	if err != nil {
		t.Fatal(err)
	}
	comparison := Compare(before, after)
	worth := comparison.Differences[0]
	if worth.Figure != "worth" || worth.Days != 3 || math.Abs(worth.Mean-0.4/3) > 1e-9 {
		t.Fatalf("%+v", worth)
	}
	// Differences 0.1, 0.1, 0.2: deviation 0.057735, quantile of two degrees 4.302653.
	if want := 4.302653 * 0.057735 / math.Sqrt(3); math.Abs(worth.Margin-want) > 1e-4 {
		t.Errorf("margin %v, want %v", worth.Margin, want)
	}
	if worth.Clear() {
		t.Error("three days so far apart are not clear")
	}
	if len(comparison.BrokenBefore) != 0 || len(comparison.BrokenAfter) != 3 {
		t.Errorf("broken: %v, %v", comparison.BrokenBefore, comparison.BrokenAfter)
	}
	figures := before["1"].Figures()
	if figures["hint: not served"] != 0.02 || figures["part: nines"] != 0.5 || figures["amount: new connections to servers"] != 7000 {
		t.Errorf("%v", figures)
	}
	if !strings.Contains(comparison.String(), "worth") {
		t.Error("an empty table")
	}
	if err := comparison.SavePlot(filepath.Join(t.TempDir(), "worth.png")); err != nil {
		t.Error(err)
	}
}

// TestUnreadableReport is an error, not a day of nothing.
func TestUnreadableReport(t *testing.T) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "1.json"), []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadReports(folder); err == nil {
		t.Error("no error")
	}
}
