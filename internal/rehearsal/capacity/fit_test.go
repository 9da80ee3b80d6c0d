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
func TestLinesAndBendsAreFound(t *testing.T) {
	straight := FitAll(lineOf(Nodes, []int{10, 100, 330}, func(size float64, _ int) float64 { return 7 + 3*size }))[0]
	if math.Abs(straight.Slope-3) > 1e-9 || math.Abs(straight.Intercept-7) > 1e-6 || straight.Residual > 1e-9 || straight.Mean != 997 || straight.Largest != 330 || straight.Spread != 0 {
		t.Errorf("a straight line: %+v", straight)
	}
	square := FitAll(lineOf(Servers, []int{9, 100, 1100}, func(size float64, _ int) float64 { return size * size }))[0]
	if math.Abs(square.Bend-2) > 1e-9 || square.Residual < 0.01 {
		t.Errorf("a square: %+v", square)
	}
	apart := FitAll(lineOf(Nodes, []int{10, 20}, func(_ float64, repeat int) float64 { return 100 + 20*float64(repeat) }))[0]
	if math.Abs(apart.Spread-10.0/110) > 1e-9 {
		t.Errorf("readings apart: %+v", apart)
	}
	var table bytes.Buffer
	if err := WriteFits(&table, []Fit{straight}); err != nil || !strings.Contains(table.String(), "| 7 | 3, nodes |") {
		t.Errorf("%v: %s", err, table.String())
	}
}

// TestLineIsDrawn saves a plot.
func TestLineIsDrawn(t *testing.T) {
	readings := lineOf(Nodes, []int{10, 100}, func(size float64, _ int) float64 { return size })
	fit := FitAll(readings)[0]
	folder := t.TempDir()
	if err := fit.Plot(readings, folder); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(filepath.Join(folder, "courier-a-m-nodes.png"))
	if err != nil || !bytes.HasPrefix(content, []byte("\x89PNG")) {
		t.Errorf("no plot: %v", err)
	}
}
