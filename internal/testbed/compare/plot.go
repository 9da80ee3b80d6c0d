package compare

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"seamloom.example/seamloom/internal/failure"
)

// The size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// SavePlot draws the difference of each day's worth.
func (c Comparison) SavePlot(file string) error {
	drawing := plot.New()
	drawing.Title.Text = "worth, after less before, day by day"
	drawing.Y.Label.Text = "difference"
	bars, err := plotter.NewBarChart(plotter.Values(c.Worth), plotWidth/vg.Length(2*max(1, len(c.Worth))))
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	drawing.Add(bars, plotter.NewGrid())
	drawing.NominalX(c.Days...)
	return failure.Wrap(failure.Disk, drawing.Save(plotWidth, plotHeight, file))
}
