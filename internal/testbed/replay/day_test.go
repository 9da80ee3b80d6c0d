package replay

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

func TestMain(suite *testing.M) {
	// A day starts the processes of its machines with the path of their settings in the environment.
	// In such a process the test binary runs the pass-through.
	if os.Getenv(settingsName) != "" {
		runPassThrough()
		return
	}
	os.Exit(suite.Run())
}

// oneMachineSite returns a site with a single machine.
func oneMachineSite() Site {
	site := SmallSite()
	site.Zones, site.PlainMachines = site.Zones[:1], 0
	for position := range site.Services {
		site.Services[position].PerZone, site.Services[position].PrefillServers = 3, 0
	}
	site.Rate = 8
	return site
}

// passThroughDay prepares a day on the site with one machine, which runs the pass-through.
func passThroughDay(t *testing.T, folder string) *Day {
	t.Helper()
	own, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	role := Role{Name: "through", Run: own, Share: 1, On: "edge", Serves: []string{"edge", "control"}, binaries: ""}
	role.binaries = filepath.Dir(own)
	day, err := NewDay(oneMachineSite(), []Role{role}, 5, folder, t.Output())
	if err != nil {
		t.Fatal(err)
	}
	return day
}

// TestQuietDayWithPassThroughBreaksNoRule runs a day without faults with the pass-through in place of
// the product. It checks that the checkers find no violation, that at least 95 percent of the requests
// are served, and that the checkers had events to check.
func TestQuietDayWithPassThroughBreaksNoRule(t *testing.T) {
	day := passThroughDay(t, t.TempDir())
	defer day.Close()
	if err := day.Begin(20 * time.Second); err != nil {
		t.Fatal(err, day.Logs(10))
	}
	verdict := day.Run(Plan{Length: 6})
	if verdict.Violations() > 0 || verdict.Figures.Served() < 0.95 {
		t.Errorf("want no violations and at least 95 percent served, got\n%s", verdict)
	}
	for _, checker := range []string{"MIXED answers", "UNASKED", "TWICE", "ORDER", "CONFIG read back", "ACKS"} {
		if verdict.Finding(checker).Checked == 0 {
			t.Errorf("%s had nothing to check", checker)
		}
	}
}

// TestADayBeginsWithEmptyDisks checks that a folder with the machine folders of another day is refused.
func TestADayBeginsWithEmptyDisks(t *testing.T) {
	folder := t.TempDir()
	if err := os.Mkdir(filepath.Join(folder, "edge-quay-hall-1"), 0o755); err != nil {
		t.Fatal(err)
	}
	if _, err := NewDay(SmallSite(), nil, 1, folder, nil); failure.CodeOf(err) != failure.Contradictory {
		t.Errorf("got error %v, want one with the code %q", err, failure.Contradictory)
	}
}
