package capacity

import (
	"bytes"
	"slices"
	"strings"
	"testing"
)

// TestReadingsSurviveTheirFile writes readings and reads them again.
func TestReadingsSurviveTheirFile(t *testing.T) {
	readings := []Reading{{Role: "courier", Activity: "market choice, all", Measure: "processor time", Unit: "us", Dimension: Servers, Size: 1100, Repeat: 2, Value: 512.5, Load: 0.25},
		{Role: "a \"role\"", Activity: "x", Measure: "bytes", Unit: "B", Dimension: Nodes, Size: 10, Value: 1e9}}
	var file bytes.Buffer
	if err := WriteCSV(&file, readings); err != nil {
		t.Fatal(err)
	}
	again, err := ReadCSV(&file)
	if err != nil || !slices.Equal(again, readings) {
		t.Errorf("%v, %v", again, err)
	}
	for _, broken := range []string{"role,activity\n", strings.Join(columns, ",") + "\na,b,c,d,nodes,ten,0,1,0\n"} {
		if _, err := ReadCSV(strings.NewReader(broken)); err == nil {
			t.Errorf("%q was read", broken)
		}
	}
}
