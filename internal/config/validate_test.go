package config

import (
	"testing"

	"seamloom.example/seamloom/internal/failure"
)

func TestValidateAgainstWarnsOfWhatTheFleetWouldTake(t *testing.T) {
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
	diagnostics := ValidateAgainst([]byte(`{"services":{"chat":{},"lost":{}},"routes":{
		"all":{"order":1,"match":{"service":"chat"},"to":{"districts":["west"]}},
		"late":{"order":2,"match":{"service":"chat","origin":"x"},"to":{}}},
		"evacuations":{"north":{},"nowhere":{}}}`), current, fleet)
	found := map[string]bool{}
	for _, diagnostic := range diagnostics {
		if diagnostic.Level != LevelWarning {
			t.Errorf("%+v is no warning", diagnostic)
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
			t.Errorf("no %s in %v", want, found)
		}
	}
	healthy := FleetState{Routers: 3, Servers: fleet.Servers}
	diagnostics = ValidateAgainst([]byte(`{"services":{"chat":{}},"routes":{"all":{"to":{}}}}`), nil, healthy)
	if len(diagnostics) != 0 {
		t.Errorf("a good configuration: %v", diagnostics)
	}
	diagnostics = ValidateAgainst([]byte(`{"x":1}`), nil, fleet)
	if len(diagnostics) != 1 || diagnostics[0].Level != LevelError || diagnostics[0].Code != failure.UnknownField {
		t.Errorf("an error: %v", diagnostics)
	}
}
