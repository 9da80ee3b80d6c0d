package capacity

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Series names the readings that lie on one line.
type Series struct {
	Role      string
	Activity  string
	Measure   string
	Unit      string
	Dimension Dimension
}

// Series is the line that the reading lies on.
//
// Example:
//
//	lines[reading.Series()] = append(lines[reading.Series()], reading)
func (reading Reading) Series() Series {
	return Series{Role: reading.Role, Activity: reading.Activity, Measure: reading.Measure, Unit: reading.Unit, Dimension: reading.Dimension}
}

// Fit is a straight line through the readings of one series.
type Fit struct {
	Series
	// Intercept and Slope are the line's, Residual the root of the mean squared
	// residual, as a part of the largest mean.
	Intercept float64
	Slope     float64
	Residual  float64
	// Largest is the largest size, Mean what was measured there.
	Largest int
	Mean    float64
	// Spread is the largest distance of a size's readings from their mean, as a part
	// of it.
	Spread float64
	// Bend is the exponent between the two largest sizes: 1 is a straight line
	// through nothing, 2 a square.
	Bend float64
	// Load is the highest load of the machine during its readings.
	Load float64
}

// FitAll fits a line to each series, in order.
//
// Example:
//
//	for _, fit := range capacity.FitAll(readings) { fmt.Println(fit.Slope) }
func FitAll(readings []Reading) []Fit {
	lines := map[Series][]Reading{}
	var order []Series
	for _, reading := range readings {
		series := reading.Series()
		if _, found := lines[series]; !found {
			order = append(order, series)
		}
		lines[series] = append(lines[series], reading)
	}
	var fits []Fit
	for _, series := range order {
		fits = append(fits, fitOne(series, lines[series]))
	}
	return fits
}

func fitOne(series Series, readings []Reading) Fit {
	fit := Fit{Series: series}
	bySize := map[int][]float64{}
	var sizes, values []float64
	for _, reading := range readings {
		sizes = append(sizes, float64(reading.Size))
		values = append(values, reading.Value)
		bySize[reading.Size] = append(bySize[reading.Size], reading.Value)
		fit.Load = max(fit.Load, reading.Load)
	}
	var order []int
	means := map[int]float64{}
	for size, measured := range bySize {
		order = append(order, size)
		means[size] = stat.Mean(measured, nil)
		for _, value := range measured {
			if means[size] != 0 {
				fit.Spread = max(fit.Spread, math.Abs(value-means[size])/math.Abs(means[size]))
			}
		}
	}
	slices.SortFunc(order, cmp.Compare[int])
	fit.Largest = order[len(order)-1]
	fit.Mean = means[fit.Largest]
	if len(order) < 2 {
		fit.Intercept = fit.Mean
		return fit
	}
	fit.Intercept, fit.Slope = stat.LinearRegression(sizes, values, nil, false)
	squares, largest := 0.0, 0.0
	for position, size := range sizes {
		residual := values[position] - fit.Intercept - fit.Slope*size
		squares += residual * residual
		largest = max(largest, math.Abs(means[int(size)]))
	}
	if largest > 0 {
		fit.Residual = math.Sqrt(squares/float64(len(sizes))) / largest
	}
	before := order[len(order)-2]
	if means[before] > 0 && fit.Mean > 0 {
		fit.Bend = math.Log(fit.Mean/means[before]) / math.Log(float64(fit.Largest)/float64(before))
	}
	return fit
}

// WriteFits writes the lines as a table.
//
// Example:
//
//	failure := capacity.WriteFits(os.Stdout, capacity.FitAll(readings))
func WriteFits(target io.Writer, fits []Fit) error {
	if _, err := fmt.Fprintln(target, "| role | activity | measure | at 0 | slope, for each | residual | bend | at | measured | spread |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"); err != nil {
		return err
	}
	for _, fit := range fits {
		if _, err := fmt.Fprintf(target, "| %s | %s | %s, %s | %.4g | %.4g, %s | %.2f | %.2f | %d | %.4g | %.2f |\n", fit.Role, fit.Activity, fit.Measure, fit.Unit,
			fit.Intercept, fit.Slope, fit.Dimension, fit.Residual, fit.Bend, fit.Largest, fit.Mean, fit.Spread); err != nil {
			return err
		}
	}
	return nil
}
