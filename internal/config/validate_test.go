package config

import (
	"testing"

	"seamloom.example/seamloom/internal/failure"
)

func TestValidateAgainstReportsErrorsAndWarnings(t *testing.T) {
	// The state leads to these warnings: few_couriers, since two of three routers are stopped, and mixed_formats,
	// since one member is restricted and one flag is blocked.
	fleet := FleetState{
		Routers:    3,
		Stopped:    []string{"courier-1", "courier-2"},
		Restricted: []string{"courier-3"},
		Blocked:    []string{"pair_price"},
		Servers: []ServerState{
			{Name: "a", Zone: "north", Reported: true, Role: "prefill", Slots: 10},
			{Name: "b", Zone: "south", Reported: true, Role: "decode", Slots: 10, Active: 9},
		},
	}
	current, err := Check([]byte(`{"services":{"old":{}}}`))
	if err != nil {
		t.Fatal(err)
	}
	// No server is in zone west. The route "all" comes first and also matches the requests of "late". The
	// evacuation of north leaves no prefill server (no_part_left) and only 10 slots, of which 9 are occupied
	// (little_room).
	diagnostics := ValidateAgainst([]byte(`{"services":{"chat":{},"lost":{}},"routes":{
		"all":{"order":1,"match":{"service":"chat"},"to":{"districts":["west"]}},
		"late":{"order":2,"match":{"service":"chat","origin":"x"},"to":{}}},
		"evacuations":{"north":{},"nowhere":{}}}`), current, fleet)
	found := map[string]bool{}
	for _, diagnostic := range diagnostics {
		if diagnostic.Level != LevelWarning {
			t.Errorf("got diagnostic %+v, want a warning", diagnostic)
		}
		found[string(diagnostic.Code)+" "+diagnostic.Path] = true
	}
	for _, want := range []string{
		"unknown_district /evacuations/nowhere",
		"unknown_district /routes/all/to/districts/0",
		"no_servers_left /routes/all",
		"never_reached /routes/late",
		"no_part_left /evacuations",
		"little_room /evacuations",
		"no_route_to_service /services/lost",
		"service_disappears /services/old",
		"mixed_formats /",
		"few_couriers /",
	} {
		if !found[want] {
			t.Errorf("got diagnostics %v, want %s among them", found, want)
		}
	}
	healthy := FleetState{Routers: 3, Servers: fleet.Servers}
	diagnostics = ValidateAgainst([]byte(`{"services":{"chat":{}},"routes":{"all":{"to":{}}}}`), nil, healthy)
	if len(diagnostics) != 0 {
		t.Errorf("valid configuration: got diagnostics %v, want none", diagnostics)
	}
	diagnostics = ValidateAgainst([]byte(`{"x":1}`), nil, fleet)
	if len(diagnostics) != 1 || diagnostics[0].Level != LevelError || diagnostics[0].Code != failure.UnknownField {
		t.Errorf("unknown field: got diagnostics %v, want one error with the code unknown_field", diagnostics)
	}
}
