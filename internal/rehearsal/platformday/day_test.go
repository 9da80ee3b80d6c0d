package platformday

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/trouble"
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
func throughDay(test *testing.T, folder string) *Day {
	test.Helper()
	own, failure := os.Executable()
	if failure != nil {
		test.Fatal(failure)
	}
	role := Role{Name: "through", Run: own, Share: 1, On: "edge", Serves: []string{"edge", "control"}, binaries: ""}
	role.binaries = own[:len(own)-len("/platformday.test")]
	day, failure := NewDay(oneMachine(), []Role{role}, 5, folder, test.Output())
	if failure != nil {
		test.Fatal(failure)
	}
	return day
}

// TestStandInsAgreeWithEachOther plays a quiet day around the pass-through: nothing is
// broken that such a thing can hold.
func TestStandInsAgreeWithEachOther(test *testing.T) {
	day := throughDay(test, test.TempDir())
	defer day.Close()
	if failure := day.Begin(20 * time.Second); failure != nil {
		test.Fatal(failure, day.Logs(10))
	}
	verdict := day.Run(Plan{Length: 6})
	if verdict.Violations() > 0 || verdict.Figures.Served() < 0.95 {
		test.Errorf("a quiet day:\n%s", verdict)
	}
	for _, checker := range []string{"MIXED answers", "UNASKED", "TWICE", "ORDER", "CONFIG read back", "ACKS"} {
		if verdict.Finding(checker).Looked == 0 {
			test.Errorf("%s had nothing to look at", checker)
		}
	}
}

// TestADayBeginsWithEmptyDisks wants a folder refused that another day left.
func TestADayBeginsWithEmptyDisks(test *testing.T) {
	folder := test.TempDir()
	if failure := os.Mkdir(filepath.Join(folder, "edge-quay-hall-1"), 0o755); failure != nil {
		test.Fatal(failure)
	}
	if _, failure := NewDay(SmallSite(), nil, 1, folder, nil); trouble.KindOf(failure) != trouble.Contradictory {
		test.Errorf("%v", failure)
	}
}
