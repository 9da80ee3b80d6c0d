package replay

import (
	"image/png"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestPlotsAreDrawn draws the plots of a day of three seconds and checks that both are PNG images.
func TestPlotsAreDrawn(t *testing.T) {
	folder := t.TempDir()
	figures := Figures{Seconds: []Second{{InTime: 5, Median: 80 * time.Millisecond}, {
		InTime: 2,
		Late:   3,
		Median: time.Second,
	}, {Failed: 1, Refused: 4}}}
	if err := figures.Plot(folder, []Mark{{1, "node_kill"}}); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"requests.png", "first-event.png"} {
		file, err := os.Open(filepath.Join(folder, name))
		if err != nil {
			t.Fatal(err)
		}
		if picture, err := png.Decode(file); err != nil || picture.Bounds().Dx() < 300 {
			t.Errorf("%s: %v", name, err)
		}
		_ = file.Close()
	}
}
