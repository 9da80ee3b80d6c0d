package capacity

import (
	"path/filepath"
	"regexp"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"seamloom.example/seamloom/internal/failure"
)

var unnamed = regexp.MustCompile(`[^a-z0-9]+`)

// File is the name under which a series' plot is saved.
//
// Example:
//
//	name := fit.Series.File()
func (series Series) File() string {
	text := strings.ToLower(strings.Join([]string{series.Role, series.Activity, series.Measure, string(series.Dimension)}, " "))
	return strings.Trim(unnamed.ReplaceAllString(text, "-"), "-") + ".png"
}

// Plot draws a series' readings and its line into a folder.
//
// Example:
//
//	failure := fit.Plot(readings, "plots")
func (fit Fit) Plot(readings []Reading, folder string) error {
	drawn := plot.New()
	drawn.Title.Text = fit.Role + ": " + fit.Activity
	drawn.X.Label.Text = string(fit.Dimension)
	drawn.Y.Label.Text = fit.Measure + ", " + fit.Unit
	var points plotter.XYs
	for _, reading := range readings {
		if reading.Series() == fit.Series {
			points = append(points, plotter.XY{X: float64(reading.Size), Y: reading.Value})
		}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	line := plotter.NewFunction(func(size float64) float64 { return fit.Intercept + fit.Slope*size })
	line.XMin, line.XMax = 0, float64(fit.Largest)
	drawn.Add(plotter.NewGrid(), scatter, line)
	drawn.X.Min, drawn.X.Max = 0, float64(fit.Largest)
	return failure.Wrap(failure.Disk, drawn.Save(11*vg.Centimeter, 8*vg.Centimeter, filepath.Join(folder, fit.File())))
}
