package compare

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"seamloom.example/seamloom/internal/failure"
)

// plotWidth and plotHeight are the size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// SavePlot draws a bar chart of the difference of each day's score into a file.
func (c Comparison) SavePlot(file string) error {
	drawing := plot.New()
	drawing.Title.Text = "difference of each day's worth, after minus before"
	drawing.Y.Label.Text = "difference"
	bars, err := plotter.NewBarChart(plotter.Values(c.ScoreDifferences), plotWidth/vg.Length(2*max(1, len(c.ScoreDifferences))))
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	drawing.Add(bars, plotter.NewGrid())
	drawing.NominalX(c.Days...)
	return failure.Wrap(failure.Disk, drawing.Save(plotWidth, plotHeight, file))
}
