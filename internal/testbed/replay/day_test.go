package replay

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

func TestMain(suite *testing.M) {
	// A day starts its machines' processes with the path of their settings and little else:
	// then this program is the stand-in of one.
	if os.Getenv(settingsName) != "" {
		runPassThrough()
		return
	}
	os.Exit(suite.Run())
}

// oneMachine is a site with a single machine, on which the pass-through runs.
func oneMachine() Site {
	site := SmallSite()
	site.Zones, site.Plain = site.Zones[:1], 0
	for position := range site.Services {
		site.Services[position].PerZone, site.Services[position].Readers = 3, 0
	}
	site.Rate = 8
	return site
}

// throughDay lays out the site with one machine, on which the pass-through runs.
func throughDay(t *testing.T, folder string) *Day {
	t.Helper()
	own, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	role := Role{Name: "through", Run: own, Share: 1, On: "edge", Serves: []string{"edge", "control"}, binaries: ""}
	role.binaries = filepath.Dir(own)
	day, err := NewDay(oneMachine(), []Role{role}, 5, folder, t.Output())
	if err != nil {
		t.Fatal(err)
	}
	return day
}

// TestStandInsAgreeWithEachOther plays a quiet day around the pass-through: nothing is
// broken that such a thing can hold.
func TestStandInsAgreeWithEachOther(t *testing.T) {
	day := throughDay(t, t.TempDir())
	defer day.Close()
	if err := day.Begin(20 * time.Second); err != nil {
		t.Fatal(err, day.Logs(10))
	}
	verdict := day.Run(Plan{Length: 6})
	if verdict.Violations() > 0 || verdict.Figures.Served() < 0.95 {
		t.Errorf("a quiet day:\n%s", verdict)
	}
	for _, checker := range []string{"MIXED answers", "UNASKED", "TWICE", "ORDER", "CONFIG read back", "ACKS"} {
		if verdict.Finding(checker).Looked == 0 {
			t.Errorf("%s had nothing to look at", checker)
		}
	}
}

// TestADayBeginsWithEmptyDisks wants a folder refused that another day left.
func TestADayBeginsWithEmptyDisks(t *testing.T) {
	folder := t.TempDir()
	if err := os.Mkdir(filepath.Join(folder, "edge-quay-hall-1"), 0o755); err != nil {
		t.Fatal(err)
	}
	if _, err := NewDay(SmallSite(), nil, 1, folder, nil); failure.CodeOf(err) != failure.Contradictory {
		t.Errorf("%v", err)
	}
}
