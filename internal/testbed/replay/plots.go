package replay

import (
	"image/color"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"seamloom.example/seamloom/internal/failure"
)

// Mark is a moment that a plot marks, such as the beginning of a fault.
type Mark struct {
	Second float64
	Name   string
}

// Marks lists when a day's faults began, in seconds from the start of its traffic.
func Marks(events []Event) []Mark {
	var marks []Mark
	var began time.Time
	for _, event := range events {
		if event.Kind == AttemptSent && !event.Probe && began.IsZero() {
			began = event.At
		}
		if event.Kind == FaultBegan || event.Kind == ClosingFault {
			marks = append(marks, Mark{Second: event.At.Sub(began).Seconds(), Name: event.Cause})
		}
	}
	return marks
}

// Plot draws two PNG files into a folder: how the requests of each second ended, and the time to
// their first event.
func (f Figures) Plot(folder string, marks []Mark) error {
	curve := func(name string, value func(second Second) float64, lineColor color.Color) series {
		points := make(plotter.XYs, len(f.Seconds))
		for second := range f.Seconds {
			points[second] = plotter.XY{X: float64(second), Y: value(f.Seconds[second])}
		}
		return series{name, points, lineColor}
	}
	green, amber, blue, red := color.RGBA{30, 140, 60, 255}, color.RGBA{220, 150, 0, 255},
		color.RGBA{40, 90, 200, 255}, color.RGBA{200, 30, 30, 255}
	outcomes := []series{
		curve("in time", func(second Second) float64 { return float64(second.InTime) }, green),
		curve("late", func(second Second) float64 { return float64(second.Late) }, amber),
		curve("refused", func(second Second) float64 { return float64(second.Refused) }, blue),
		curve("failed", func(second Second) float64 { return float64(second.Failed) }, red),
	}
	if err := drawPlot(filepath.Join(folder, "requests.png"), "Requests by the second in which they began", "requests", outcomes,
		marks); err != nil {
		return err
	}
	firstEvents := []series{curve("median", func(second Second) float64 { return float64(second.Median.Milliseconds()) }, green)}
	return drawPlot(filepath.Join(folder, "first-event.png"), "Time to the first event", "milliseconds", firstEvents, marks)
}

// series is one line of a plot.
type series struct {
	name      string
	points    plotter.XYs
	lineColor color.Color
}

// drawPlot draws curves and marks into a PNG file.
func drawPlot(path, title, unit string, curves []series, marks []Mark) error {
	picture := plot.New()
	picture.Title.Text, picture.X.Label.Text, picture.Y.Label.Text, picture.Y.Min = title, "seconds of traffic", unit, 0
	picture.Legend.Top = true
	top := 1.0
	for _, curve := range curves {
		line, err := plotter.NewLine(curve.points)
		if err != nil {
			return failure.Wrap(failure.Malformed, err)
		}
		line.Color, line.Width = curve.lineColor, vg.Points(1.5)
		picture.Add(line)
		picture.Legend.Add(curve.name, line)
		for _, point := range curve.points {
			top = max(top, point.Y)
		}
	}
	labels := plotter.XYLabels{}
	for _, mark := range marks {
		line, err := plotter.NewLine(plotter.XYs{{X: mark.Second, Y: 0}, {X: mark.Second, Y: top}})
		if err != nil {
			return failure.Wrap(failure.Malformed, err)
		}
		line.Color, line.Dashes = color.Gray{120}, []vg.Length{vg.Points(2), vg.Points(2)}
		picture.Add(line)
		labels.XYs = append(labels.XYs, plotter.XY{X: mark.Second, Y: top * (0.98 - 0.06*float64(len(labels.XYs)%6))})
		labels.Labels = append(labels.Labels, mark.Name)
	}
	if len(labels.Labels) > 0 {
		names, err := plotter.NewLabels(labels)
		if err != nil {
			return failure.Wrap(failure.Malformed, err)
		}
		picture.Add(names)
	}
	return failure.Wrap(failure.Disk, picture.Save(24*vg.Centimeter, 11*vg.Centimeter, path))
}
