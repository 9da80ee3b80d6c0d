package capacity

import (
	"strings"
)

// Note takes one figure.
type Note func(measure, unit string, value float64)

// Activity is something that a role does, and how its cost is measured at a size.
type Activity struct {
	Role       string
	Name       string
	Dimensions []Dimension
	// Measure measures it at a fleet's sizes, of which one was varied.
	Measure func(sizes Sized, note Note) error
}

// Sized are the sizes of all dimensions.
type Sized map[Dimension]int

// sized are the base sizes, some of which are replaced, with one of them varied.
func sized(replaced Sized, dimension Dimension, size int) Sized {
	sizes := Sized{}
	for other, usual := range Base {
		sizes[other] = usual
	}
	for other, instead := range replaced {
		sizes[other] = instead
	}
	sizes[dimension] = size
	return sizes
}

// noteCost notes a cost's processor time, allocations and bytes.
func noteCost(note Note, of string, cost Cost) {
	note("processor time "+of, "us", float64(cost.Processor.Nanoseconds())/1000)
	note("allocated "+of, "B", cost.Bytes)
}

// Plan says what is measured.
type Plan struct {
	// Only takes the activities whose role and name have the text in them.
	Only    string
	Repeats int
	// Sizes replaces the sizes of a dimension, for short runs.
	Sizes map[Dimension][]int
	// Base replaces what stands still while another dimension is varied.
	Base Sized
	// Told is told of each activity and size before it is measured.
	Told func(activity Activity, dimension Dimension, size, repeat int)
}

// Run measures the activities at all sizes, one after another.
//
// Example:
//
//	readings, failure := capacity.Plan{Repeats: 3}.Run(capacity.Activities())
func (plan Plan) Run(activities []Activity) ([]Reading, error) {
	var readings []Reading
	for repeat := range max(plan.Repeats, 1) {
		for _, activity := range activities {
			if !strings.Contains(activity.Role+" "+activity.Name, plan.Only) {
				continue
			}
			for _, dimension := range activity.Dimensions {
				sizes := Sizes[dimension]
				if chosen, found := plan.Sizes[dimension]; found {
					sizes = chosen
				}
				for _, size := range sizes {
					if plan.Told != nil {
						plan.Told(activity, dimension, size, repeat)
					}
					note := func(measure, unit string, value float64) {
						readings = append(readings, Reading{Role: activity.Role, Activity: activity.Name, Measure: measure, Unit: unit, Dimension: dimension, Size: size, Repeat: repeat, Value: value, Load: machineLoad()})
					}
					if err := activity.Measure(sized(plan.Base, dimension, size), note); err != nil {
						return readings, err
					}
				}
			}
		}
	}
	return readings, nil
}
