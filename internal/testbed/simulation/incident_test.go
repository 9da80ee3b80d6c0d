//go:build !race

package simulation

import (
	"reflect"
	"testing"
	"time"
)

// TestIncidentsOfAFleetInRegions takes a small fleet in three regions through all incidents, twice
// with the same seed. It checks that both runs give the same figures and that the fleet
// recovers from each incident.
func TestIncidentsOfAFleetInRegions(t *testing.T) {
	layout := Layout{
		Zones:           [][]string{{"east-1", "east-2"}, {"west-1", "west-2"}, {"north-1"}},
		Between:         20 * time.Millisecond,
		Routers:         5,
		Servers:         6,
		Controllers:     6,
		ToleratedLosses: 1,
		Routes:          5,
	}
	first := NewLaidOut(layout, 3).Incidents(8*time.Second, 1)
	again := NewLaidOut(layout, 3).Incidents(8*time.Second, 1)
	if !reflect.DeepEqual(first, again) {
		t.Errorf("the same seed gave\n%+v\nand\n%+v", first, again)
	}
	for _, incident := range first {
		if incident.NewLeader < 0 || incident.RolesMoved < 0 || incident.InForce < 0 || incident.LeasesHeld < 0 ||
			incident.CoreComplete < 0 || incident.Traffic.Messages == 0 {
			t.Errorf("got %+v, want no negative time and some messages", incident)
		}
	}
	changes := first[2]
	if changes.Name != "single changes" || changes.InForceMean < 40*time.Millisecond || changes.InForce > 2*time.Second {
		t.Errorf("got %+v, want a mean of at least 40 ms, as a change crosses regions twice, and at most 2 s", changes)
	}
}
