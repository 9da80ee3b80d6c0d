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

// writeReports writes one report for each day, with the given worth and broken rules, and returns
// the folder of the reports.
func writeReports(t *testing.T, worthOfDays map[string]string, breaks string) string {
	t.Helper()
	folder := t.TempDir()
	for day, worth := range worthOfDays {
		text := strings.ReplaceAll(strings.ReplaceAll(dayText, "%G", worth), "%B", breaks)
		if err := os.WriteFile(filepath.Join(folder, day+".json"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

// TestCompare checks that days are paired, that days with a report of only one build are left out,
// and that the mean and the margin of a known sample are right.
func TestCompare(t *testing.T) {
	before, err := ReadReports(writeReports(t, map[string]string{"1": "0.5", "2": "0.6", "3": "0.7", "only": "0.1"}, ""))
	if err != nil {
		t.Fatal(err)
	}
	after, err := ReadReports(writeReports(t, map[string]string{"1": "0.6", "2": "0.7", "3": "0.9"}, `"TWICE": 1`))
	if err != nil {
		t.Fatal(err)
	}
	comparison := Compare(before, after)
	worth := comparison.Differences[0]
	if worth.Figure != "worth" || worth.Days != 3 || math.Abs(worth.Mean-0.4/3) > 1e-9 {
		t.Fatalf("got the difference %+v, want the worth over 3 days with a mean of 0.4/3", worth)
	}
	// The differences 0.1, 0.1 and 0.2 have a standard deviation of 0.057735, and the quantile of
	// Student's t distribution with two degrees of freedom is 4.302653.
	if want := 4.302653 * 0.057735 / math.Sqrt(3); math.Abs(worth.Margin-want) > 1e-4 {
		t.Errorf("got a margin of %v, want %v", worth.Margin, want)
	}
	if worth.Clear() {
		t.Error("the difference counts as clear although its margin exceeds its mean")
	}
	if len(comparison.BrokenBefore) != 0 || len(comparison.BrokenAfter) != 3 {
		t.Errorf("got the broken days %v before and %v after, want 0 and 3", comparison.BrokenBefore, comparison.BrokenAfter)
	}
	figures := before["1"].Figures()
	if figures["hint: not served"] != 0.02 || figures["part: nines"] != 0.5 ||
		figures["amount: new connections to servers"] != 7000 {
		t.Errorf("got the figures %v, want 0.02 not served, 0.5 for the nines and an amount of 7000 connections", figures)
	}
	if !strings.Contains(comparison.String(), "worth") {
		t.Error("the table lacks the worth")
	}
	if err := comparison.SavePlot(filepath.Join(t.TempDir(), "worth.png")); err != nil {
		t.Error(err)
	}
}

// TestUnreadableReport checks that a malformed report is an error and not an empty day.
func TestUnreadableReport(t *testing.T) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "1.json"), []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadReports(folder); err == nil {
		t.Error("got no error for a malformed report")
	}
}
