package platformday

import (
	"image/png"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestPlotsAreDrawn draws a day of three seconds.
func TestPlotsAreDrawn(test *testing.T) {
	folder := test.TempDir()
	figures := Figures{Seconds: []Second{{InTime: 5, Median: 80 * time.Millisecond}, {InTime: 2, Late: 3, Median: time.Second}, {Failed: 1, Refused: 4}}}
	if failure := figures.Plot(folder, []Mark{{1, "node_kill"}}); failure != nil {
		test.Fatal(failure)
	}
	for _, name := range []string{"requests.png", "first-event.png"} {
		file, failure := os.Open(filepath.Join(folder, name))
		if failure != nil {
			test.Fatal(failure)
		}
		if picture, failure := png.Decode(file); failure != nil || picture.Bounds().Dx() < 300 {
			test.Errorf("%s: %v", name, failure)
		}
		_ = file.Close()
	}
}
