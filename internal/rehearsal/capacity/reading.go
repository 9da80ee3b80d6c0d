// Package capacity measures what control costs as a fleet grows: hollow nodes, the
// product's own conduct with stub servers and callers, at several sizes, and a
// straight line through what each activity costs.
package capacity

import (
	"encoding/csv"
	"io"
	"strconv"

	"seamloom.example/seamloom/internal/failure"
)

// Reading is one figure of one run.
type Reading struct {
	// Role is whose cost it is, Activity what for, Measure what was measured, in Unit.
	Role     string
	Activity string
	Measure  string
	Unit     string
	// Dimension is what was varied, Size how many of it there were.
	Dimension Dimension
	Size      int
	Repeat    int
	Value     float64
	// Load is the machine's mean of runnable threads for each core at the time.
	Load float64
}

var columns = []string{"role", "activity", "measure", "unit", "dimension", "size", "repeat", "value", "load"}

// WriteCSV writes readings with a line of headings.
//
// Example:
//
//	failure := capacity.WriteCSV(file, readings)
func WriteCSV(target io.Writer, readings []Reading) error {
	writer := csv.NewWriter(target)
	_ = writer.Write(columns)
	for _, reading := range readings {
		_ = writer.Write([]string{reading.Role, reading.Activity, reading.Measure, reading.Unit, string(reading.Dimension), strconv.Itoa(reading.Size),
			strconv.Itoa(reading.Repeat), strconv.FormatFloat(reading.Value, 'g', 6, 64), strconv.FormatFloat(reading.Load, 'f', 2, 64)})
	}
	writer.Flush()
	return failure.Wrap(failure.Disk, writer.Error())
}

// ReadCSV reads what WriteCSV wrote.
//
// Example:
//
//	readings, failure := capacity.ReadCSV(file)
func ReadCSV(source io.Reader) ([]Reading, error) {
	lines, err := csv.NewReader(source).ReadAll()
	if err != nil {
		return nil, failure.Wrap(failure.Garbage, err)
	}
	var readings []Reading
	for position, line := range lines {
		if len(line) != len(columns) {
			return nil, failure.At(failure.Malformed, "line "+strconv.Itoa(position+1), "needs "+strconv.Itoa(len(columns))+" columns")
		}
		if position == 0 {
			continue
		}
		size, err := strconv.Atoi(line[5])
		repeat, again := strconv.Atoi(line[6])
		value, third := strconv.ParseFloat(line[7], 64)
		load, fourth := strconv.ParseFloat(line[8], 64)
		for _, mistake := range []error{err, again, third, fourth} {
			if mistake != nil {
				return nil, failure.At(failure.Malformed, "line "+strconv.Itoa(position+1), mistake.Error())
			}
		}
		readings = append(readings, Reading{Role: line[0], Activity: line[1], Measure: line[2], Unit: line[3], Dimension: Dimension(line[4]), Size: size, Repeat: repeat, Value: value, Load: load})
	}
	return readings, nil
}
