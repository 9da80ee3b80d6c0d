//go:build !race

package simulation

import (
	"reflect"
	"testing"
	"time"
)

// TestIncidentsOfAFleetInRegions lets a small fleet in two regions meet each incident
// twice over: the same seed gives the same figures, and everything comes back.
func TestIncidentsOfAFleetInRegions(t *testing.T) {
	layout := Layout{
		Zones:       [][]string{{"east-1", "east-2"}, {"west-1", "west-2"}, {"north-1"}},
		Between:     20 * time.Millisecond,
		Routers:     5,
		Servers:     6,
		Controllers: 6,
		BorneLosses: 1,
		Routes:      5,
	}
	first := NewLaidOut(layout, 3).Incidents(8*time.Second, 1)
	again := NewLaidOut(layout, 3).Incidents(8*time.Second, 1)
	if !reflect.DeepEqual(first, again) {
		t.Errorf("the same seed gave\n%+v\nand\n%+v", first, again)
	}
	for _, incident := range first {
		if incident.Led < 0 || incident.Moved < 0 || incident.InForce < 0 || incident.Held < 0 || incident.Whole < 0 || incident.Traffic.Messages == 0 {
			t.Errorf("%+v", incident)
		}
	}
	changes := first[2]
	if changes.Name != "single changes" || changes.InForceMean < 40*time.Millisecond || changes.InForce > 2*time.Second {
		t.Errorf("a change crosses regions twice, and is in force soon: %+v", changes)
	}
}
