package capacity

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func lineOf(dimension Dimension, sizes []int, value func(size float64, repeat int) float64) []Reading {
	var readings []Reading
	for repeat := range 2 {
		for _, size := range sizes {
			readings = append(readings, Reading{Role: "courier", Activity: "a", Measure: "m", Unit: "us", Dimension: dimension, Size: size, Repeat: repeat, Value: value(float64(size), repeat)})
		}
	}
	return readings
}

// TestLinesAndBendsAreFound fits a straight line, a square, and readings that differ.
func TestLinesAndBendsAreFound(test *testing.T) {
	straight := FitAll(lineOf(Nodes, []int{10, 100, 330}, func(size float64, _ int) float64 { return 7 + 3*size }))[0]
	if math.Abs(straight.Slope-3) > 1e-9 || math.Abs(straight.Intercept-7) > 1e-6 || straight.Residual > 1e-9 || straight.Mean != 997 || straight.Largest != 330 || straight.Spread != 0 {
		test.Errorf("a straight line: %+v", straight)
	}
	square := FitAll(lineOf(Servers, []int{9, 100, 1100}, func(size float64, _ int) float64 { return size * size }))[0]
	if math.Abs(square.Bend-2) > 1e-9 || square.Residual < 0.01 {
		test.Errorf("a square: %+v", square)
	}
	apart := FitAll(lineOf(Nodes, []int{10, 20}, func(_ float64, repeat int) float64 { return 100 + 20*float64(repeat) }))[0]
	if math.Abs(apart.Spread-10.0/110) > 1e-9 {
		test.Errorf("readings apart: %+v", apart)
	}
	var table bytes.Buffer
	if failure := WriteFits(&table, []Fit{straight}); failure != nil || !strings.Contains(table.String(), "| 7 | 3, nodes |") {
		test.Errorf("%v: %s", failure, table.String())
	}
}

// TestLineIsDrawn saves a plot.
func TestLineIsDrawn(test *testing.T) {
	readings := lineOf(Nodes, []int{10, 100}, func(size float64, _ int) float64 { return size })
	fit := FitAll(readings)[0]
	folder := test.TempDir()
	if failure := fit.Plot(readings, folder); failure != nil {
		test.Fatal(failure)
	}
	content, failure := os.ReadFile(filepath.Join(folder, "courier-a-m-nodes.png"))
	if failure != nil || !bytes.HasPrefix(content, []byte("\x89PNG")) {
		test.Errorf("no plot: %v", failure)
	}
}
