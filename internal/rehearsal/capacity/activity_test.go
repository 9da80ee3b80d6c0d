package capacity

import (
	"math"
	"testing"
)

// tiny are sizes at which everything is measured in a moment.
var tiny = map[Dimension][]int{Nodes: {3}, Servers: {9}, Routes: {5}, Tenants: {2}, Models: {2}, Claims: {4}, Seats: {3}, Pieces: {3}, Bytes: {100}}

// TestEveryActivityIsMeasured runs each at a tiny size and wants figures that are
// some.
func TestEveryActivityIsMeasured(t *testing.T) {
	for _, activity := range Activities() {
		t.Run(activity.Role+" "+activity.Name, func(t *testing.T) {
			t.Parallel()
			readings, err := Plan{Sizes: tiny}.Run([]Activity{activity})
			if err != nil {
				t.Fatal(err)
			}
			if len(readings) == 0 {
				t.Fatal("nothing was read")
			}
			seen := map[Series]bool{}
			for _, reading := range readings {
				if math.IsNaN(reading.Value) || math.IsInf(reading.Value, 0) || (reading.Unit == "us" && reading.Value < 0) {
					t.Errorf("%+v", reading)
				}
				if reading.Unit == "B" && reading.Value <= 0 && len(reading.Measure) > 5 && reading.Measure[:5] == "bytes" {
					t.Errorf("no bytes: %+v", reading)
				}
				if seen[reading.Series()] {
					t.Errorf("read twice at one size: %+v", reading)
				}
				seen[reading.Series()] = true
			}
		})
	}
}

// TestPlanMeasuresWhatIsAskedFor looks at names, sizes and repeats.
func TestPlanMeasuresWhatIsAskedFor(t *testing.T) {
	var asked []int
	activities := []Activity{
		{Role: "courier", Name: "one", Dimensions: []Dimension{Nodes}, Measure: func(sizes Sized, note Note) error {
			asked = append(asked, sizes[Nodes])
			if sizes[Servers] != Base[Servers] || sizes[Routes] != 7 {
				t.Errorf("other sizes: %v", sizes)
			}
			note("m", "us", 1)
			return nil
		}},
		{Role: "courier", Name: "other", Dimensions: []Dimension{Nodes}, Measure: func(Sized, Note) error {
			t.Error("another activity was measured")
			return nil
		}},
	}
	readings, err := Plan{Only: "courier one", Repeats: 2, Sizes: map[Dimension][]int{Nodes: {4, 8}}, Base: Sized{Routes: 7}}.Run(activities)
	if err != nil || len(readings) != 4 || len(asked) != 4 || asked[0] != 4 || asked[3] != 8 || readings[3].Repeat != 1 {
		t.Errorf("%v, %v, %v", readings, asked, err)
	}
}
