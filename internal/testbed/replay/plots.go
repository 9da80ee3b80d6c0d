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

// Mark is a moment of a day that a plot shows, such as the beginning of a fault.
type Mark struct {
	Second float64
	Name   string
}

// Marks lists when a day's faults began, from the start of its traffic.
func Marks(events []Event) []Mark {
	var marks []Mark
	var began time.Time
	for _, event := range events {
		if event.Kind == TrySent && !event.Probe && began.IsZero() {
			began = event.At
		}
		if event.Kind == FaultBegan || event.Kind == ClosingFault {
			marks = append(marks, Mark{Second: event.At.Sub(began).Seconds(), Name: event.Cause})
		}
	}
	return marks
}

// Plot draws what became of the requests, and how soon their first event came, second by
// second, into two PNG files of a folder.
func (f Figures) Plot(folder string, marks []Mark) error {
	count := func(name string, value func(second Second) float64, shade color.Color) series {
		points := make(plotter.XYs, len(f.Seconds))
		for second := range f.Seconds {
			points[second] = plotter.XY{X: float64(second), Y: value(f.Seconds[second])}
		}
		return series{name, points, shade}
	}
	green, amber, blue, red := color.RGBA{30, 140, 60, 255}, color.RGBA{220, 150, 0, 255}, color.RGBA{40, 90, 200, 255}, color.RGBA{200, 30, 30, 255}
	ends := []series{
		count("in time", func(second Second) float64 { return float64(second.InTime) }, green),
		count("late", func(second Second) float64 { return float64(second.Late) }, amber),
		count("refused", func(second Second) float64 { return float64(second.Refused) }, blue),
		count("failed", func(second Second) float64 { return float64(second.Failed) }, red),
	}
	if err := draw(filepath.Join(folder, "requests.png"), "Requests by the second in which they began", "requests", ends,
		marks); err != nil {
		return err
	}
	firsts := []series{count("median", func(second Second) float64 { return float64(second.Median.Milliseconds()) }, green)}
	return draw(filepath.Join(folder, "first-event.png"), "Time to the first event", "milliseconds", firsts, marks)
}

// series is one line of a plot.
type series struct {
	name   string
	points plotter.XYs
	shade  color.Color
}

func draw(path, title, unit string, lines []series, marks []Mark) error {
	picture := plot.New()
	picture.Title.Text, picture.X.Label.Text, picture.Y.Label.Text, picture.Y.Min = title, "seconds of traffic", unit, 0
	picture.Legend.Top = true
	top := 1.0
	for _, one := range lines {
		line, err := plotter.NewLine(one.points)
		if err != nil {
			return failure.Wrap(failure.Malformed, err)
		}
		line.Color, line.Width = one.shade, vg.Points(1.5)
		picture.Add(line)
		picture.Legend.Add(one.name, line)
		for _, point := range one.points {
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
