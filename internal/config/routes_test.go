package config

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

func TestCheckParsesRoutesOfCalls(t *testing.T) {
	configuration, err := Check([]byte(`{
		"revision":7,
		"limits":{
			"header_bytes":16384,"body_bytes":4194304,
			"header_patience_milliseconds":3000,"idle_patience_milliseconds":15000},
		"annotations":{"from":["anything",1e400]},
		"services":{"desk":{
			"health":"/health","circuits":360,"ids_used_once":true,"annotations":{},
			"warming":{"length_milliseconds":3000,"per_second":12.5},
			"engine":{
				"slots":64,"memory_tokens":319972,"token_bytes":18432,"link_bits":370e9,
				"tokens_a_piece":9,"handle_life_milliseconds":5000,"part_change_milliseconds":1700,
				"models":["m/1"]}}},
		"routes":{"r":{
			"match":{"host":"Nony24.example","path_prefix":"/lohu930/"},
			"annotations":{"x":null},
			"calls":{
				"shares":[{"service":"desk","weight":90},{"service":"desk","weight":10}],
				"limit_milliseconds":3000,"aim_milliseconds":400,"gap_milliseconds":250,
				"rank":1,"tries":2,"streams":true,"repeatable":true,"resumable":true,"sticky":true}}}}`))
	if err != nil {
		t.Fatal(err)
	}
	wantLimits := Limits{
		HeaderBytes:   16384,
		BodyBytes:     4194304,
		HeaderTimeout: 3 * time.Second,
		IdleTimeout:   15 * time.Second,
	}
	if configuration.Revision != 7 || configuration.Limits != wantLimits {
		t.Errorf("got revision %d, limits %+v, want 7, %+v", configuration.Revision, configuration.Limits, wantLimits)
	}
	wantService := Service{
		Name:            "desk",
		Timeout:         DefaultTimeout,
		MaxPromptTokens: DefaultMaxPromptTokens,
		MaxChunks:       DefaultMaxChunks,
		MaxInFlight:     DefaultInFlight,
		MaxAttempts:     DefaultAttempts,
		IDsUsedOnce:     true,
		HealthPath:      "/health",
		Connections:     360,
		Warming:         Warming{Duration: 3 * time.Second, RequestsPerSecond: 12.5},
		Engine: Engine{
			Slots:             64,
			MemoryTokens:      319972,
			TokenBytes:        18432,
			LinkBitsPerSecond: 370e9,
			TokensPerChunk:    9,
			HandleLifetime:    5 * time.Second,
			RoleChange:        1700 * time.Millisecond,
			Models:            []string{"m/1"},
		},
	}
	if service := configuration.Services["desk"]; !reflect.DeepEqual(service, wantService) {
		t.Errorf("got service %+v, want %+v", service, wantService)
	}
	route := configuration.Routes[0]
	if route.Match != (Match{Host: "nony24.example", PathPrefix: "/lohu930/"}) {
		t.Errorf("got match %+v, want host nony24.example and path prefix /lohu930/", route.Match)
	}
	wantCalls := CallRoute{
		Shares:        []Share{{Service: "desk", Weight: 90}, {Service: "desk", Weight: 10}},
		Timeout:       3 * time.Second,
		LatencyTarget: 400 * time.Millisecond,
		MaxEventGap:   250 * time.Millisecond,
		Priority:      1,
		MaxAttempts:   2,
		Streams:       true,
		Idempotent:    true,
		Resumable:     true,
		Sticky:        true,
	}
	if !reflect.DeepEqual(*route.Calls, wantCalls) {
		t.Errorf("got calls %+v, want %+v", *route.Calls, wantCalls)
	}
}

func TestInvalidRoutesOfCallsAreReportedWithPathAndCode(t *testing.T) {
	const match = `"match":{"host":"h","path_prefix":"/"}`
	const limitAndShares = `"limit_milliseconds":1,"shares":[{"service":"desk"}]`
	for _, row := range []struct {
		name, routes, path string
		code               failure.Code
	}{
		{
			"unknown service",
			`"a":{` + match + `,"calls":{"limit_milliseconds":1,"shares":[{"service":"desk"},{"service":"other"}]}}`,
			"/routes/a/calls/shares/1/service", failure.Contradictory,
		},
		{
			"same host and path prefix",
			`"a":{"match":{"host":"h","path_prefix":"/p/"},"calls":{` + limitAndShares + `}},` +
				`"b":{"match":{"host":"H","path_prefix":"/p/"},"calls":{` + limitAndShares + `}}`,
			"/routes/b/match", failure.Contradictory,
		},
		{
			"all weights 0",
			`"a":{` + match + `,"calls":{"limit_milliseconds":1,"shares":[{"service":"desk","weight":0},{"service":"desk","weight":0}]}}`,
			"/routes/a/calls/shares", failure.OutOfRange,
		},
		{
			"empty list of shares",
			`"a":{` + match + `,"calls":{"limit_milliseconds":1,"shares":[]}}`,
			"/routes/a/calls/shares", failure.OutOfRange,
		},
		{
			"shares missing",
			`"a":{` + match + `,"calls":{"limit_milliseconds":1}}`,
			"/routes/a/calls/shares", failure.Missing,
		},
		{
			"weight below 0",
			`"a":{` + match + `,"calls":{"limit_milliseconds":1,"shares":[{"service":"desk","weight":-1}]}}`,
			"/routes/a/calls/shares/0/weight", failure.OutOfRange,
		},
		{
			"limit 0",
			`"a":{` + match + `,"calls":{"limit_milliseconds":0,"shares":[{"service":"desk"}]}}`,
			"/routes/a/calls/limit_milliseconds", failure.OutOfRange,
		},
		{
			"limit missing",
			`"a":{` + match + `,"calls":{"shares":[{"service":"desk"}]}}`,
			"/routes/a/calls/limit_milliseconds", failure.Missing,
		},
		{
			"limit of another type",
			`"a":{` + match + `,"calls":{"limit_milliseconds":"1","shares":[{"service":"desk"}]}}`,
			"/routes/a/calls/limit_milliseconds", failure.WrongType,
		},
		{
			"host without prefix",
			`"a":{"match":{"host":"h"},"calls":{` + limitAndShares + `}}`,
			"/routes/a/match/path_prefix", failure.Missing,
		},
		{
			"prefix without host",
			`"a":{"match":{"path_prefix":"/"},"calls":{` + limitAndShares + `}}`,
			"/routes/a/match/host", failure.Missing,
		},
		{
			"prefix without first slash",
			`"a":{"match":{"host":"h","path_prefix":"p/"},"calls":{` + limitAndShares + `}}`,
			"/routes/a/match/path_prefix", failure.OutOfRange,
		},
		{
			"prefix without last slash",
			`"a":{"match":{"host":"h","path_prefix":"/p"},"calls":{` + limitAndShares + `}}`,
			"/routes/a/match/path_prefix", failure.OutOfRange,
		},
		{
			"host on a route of requests",
			`"a":{` + match + `,"to":{}}`,
			"/routes/a/calls", failure.Missing,
		},
		{
			"other conditions",
			`"a":{"match":{"host":"h","path_prefix":"/","origin":"o"},"calls":{` + limitAndShares + `}}`,
			"/routes/a/match", failure.Contradictory,
		},
		{
			"an unknown field",
			`"a":{` + match + `,"calls":{` + limitAndShares + `,"colour":1}}`,
			"/routes/a/calls/colour", failure.UnknownField,
		},
		{
			"annotations of another type",
			`"a":{` + match + `,"annotations":[],"calls":{` + limitAndShares + `}}`,
			"/routes/a/annotations", failure.WrongType,
		},
	} {
		_, err := Check([]byte(`{"services":{"desk":{}},"routes":{` + row.routes + `}}`))
		var validation *ValidationError
		if !errors.As(err, &validation) {
			t.Errorf("%s: got error %v, want a ValidationError", row.name, err)
			continue
		}
		found := false
		for _, entry := range validation.Failures {
			found = found || entry.Path == row.path && entry.Code == row.code
		}
		if !found {
			t.Errorf("%s: got failures %v, want %s at %s", row.name, validation.Failures, row.code, row.path)
		}
	}
}

func TestValidateAgainstAcceptsRoutesOfCalls(t *testing.T) {
	diagnostics := ValidateAgainst([]byte(`{"services":{"desk":{}},"routes":{"all":{"order":0,"match":{"service":"desk"},"to":{}},
		"a":{"order":1,"match":{"host":"h","path_prefix":"/"},"calls":{"limit_milliseconds":1,"shares":[{"service":"desk"}]}}}}`), nil,
		FleetState{Servers: []ServerState{{Name: "s", Zone: "north"}}})
	if len(diagnostics) != 0 {
		t.Errorf("got diagnostics %v, want none", diagnostics)
	}
}
