package config

import (
	stderrors "errors"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

func TestRoutesOfCallsAreRead(t *testing.T) {
	configuration, err := Check([]byte(`{"revision":7,"limits":{"header_bytes":16384,"body_bytes":4194304,"header_patience_milliseconds":3000,"idle_patience_milliseconds":15000},
		"annotations":{"from":["anything",1e400]},
		"services":{"desk":{"health":"/health","circuits":360,"warming":{"length_milliseconds":3000,"per_second":12.5},"ids_used_once":true,"annotations":{},
			"engine":{"slots":64,"memory_tokens":319972,"token_bytes":18432,"link_bits":370e9,"tokens_a_piece":9,"handle_life_milliseconds":5000,"part_change_milliseconds":1700,"models":["m/1"]}}},
		"routes":{"r":{"match":{"host":"Nony24.example","path_prefix":"/lohu930/"},"annotations":{"x":null},
			"calls":{"shares":[{"service":"desk","weight":90},{"service":"desk","weight":10}],"limit_milliseconds":3000,"aim_milliseconds":400,"gap_milliseconds":250,
				"rank":1,"tries":2,"streams":true,"repeatable":true,"resumable":true,"sticky":true}}}}`))
	if err != nil {
		t.Fatal(err)
	}
	if configuration.Revision != 7 || configuration.Limits != (Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderPatience: 3 * time.Second, IdlePatience: 15 * time.Second}) {
		t.Errorf("revision %d, limits %+v", configuration.Revision, configuration.Limits)
	}
	service := configuration.Services["desk"]
	if service.Health != "/health" || service.Connections != 360 || service.Warming != (Warming{Length: 3 * time.Second, PerSecond: 12.5}) || !service.IDsUsedOnce {
		t.Errorf("service %+v", service)
	}
	if engine := service.Engine; engine.Slots != 64 || engine.MemoryTokens != 319972 || engine.TokenBytes != 18432 || engine.LinkBits != 370e9 || engine.TokensAChunk != 9 ||
		engine.HandleLifetime != 5*time.Second || engine.PartChange != 1700*time.Millisecond || len(engine.Models) != 1 || engine.Models[0] != "m/1" {
		t.Errorf("engine %+v", engine)
	}
	route := configuration.Routes[0]
	if route.Match != (Match{Host: "nony24.example", PathPrefix: "/lohu930/"}) {
		t.Errorf("match %+v", route.Match)
	}
	calls := *route.Calls
	if len(calls.Shares) != 2 || calls.Shares[0] != (Share{Service: "desk", Weight: 90}) || calls.Shares[1] != (Share{Service: "desk", Weight: 10}) {
		t.Errorf("shares %+v", calls.Shares)
	}
	calls.Shares = nil
	if calls.Limit != 3*time.Second || calls.Aim != 400*time.Millisecond || calls.Gap != 250*time.Millisecond || calls.Rank != 1 || calls.Attempts != 2 ||
		!calls.Streams || !calls.Idempotent || !calls.Resumable || !calls.Sticky {
		t.Errorf("calls %+v", calls)
	}
}

func TestInvalidRoutesOfCallsAreNamedWithPathAndType(t *testing.T) {
	for _, row := range []struct {
		name, routes, path string
		kind               failure.Code
	}{
		{"unknown service", `"a":{"match":{"host":"h","path_prefix":"/"},"calls":{"limit_milliseconds":1,"shares":[{"service":"desk"},{"service":"other"}]}}`, "/routes/a/calls/shares/1/service", failure.Contradictory},
		{"the same place", `"a":{"match":{"host":"h","path_prefix":"/p/"},"calls":{"limit_milliseconds":1,"shares":[{"service":"desk"}]}},"b":{"match":{"host":"H","path_prefix":"/p/"},"calls":{"limit_milliseconds":1,"shares":[{"service":"desk"}]}}`, "/routes/b/match", failure.Contradictory},
		{"no weight", `"a":{"match":{"host":"h","path_prefix":"/"},"calls":{"limit_milliseconds":1,"shares":[{"service":"desk","weight":0},{"service":"desk","weight":0}]}}`, "/routes/a/calls/shares", failure.OutOfRange},
		{"no shares", `"a":{"match":{"host":"h","path_prefix":"/"},"calls":{"limit_milliseconds":1,"shares":[]}}`, "/routes/a/calls/shares", failure.OutOfRange},
		{"shares missing", `"a":{"match":{"host":"h","path_prefix":"/"},"calls":{"limit_milliseconds":1}}`, "/routes/a/calls/shares", failure.Missing},
		{"weight below 0", `"a":{"match":{"host":"h","path_prefix":"/"},"calls":{"limit_milliseconds":1,"shares":[{"service":"desk","weight":-1}]}}`, "/routes/a/calls/shares/0/weight", failure.OutOfRange},
		{"limit 0", `"a":{"match":{"host":"h","path_prefix":"/"},"calls":{"limit_milliseconds":0,"shares":[{"service":"desk"}]}}`, "/routes/a/calls/limit_milliseconds", failure.OutOfRange},
		{"limit missing", `"a":{"match":{"host":"h","path_prefix":"/"},"calls":{"shares":[{"service":"desk"}]}}`, "/routes/a/calls/limit_milliseconds", failure.Missing},
		{"limit of another type", `"a":{"match":{"host":"h","path_prefix":"/"},"calls":{"limit_milliseconds":"1","shares":[{"service":"desk"}]}}`, "/routes/a/calls/limit_milliseconds", failure.WrongType},
		{"host without prefix", `"a":{"match":{"host":"h"},"calls":{"limit_milliseconds":1,"shares":[{"service":"desk"}]}}`, "/routes/a/match/path_prefix", failure.Missing},
		{"prefix without host", `"a":{"match":{"path_prefix":"/"},"calls":{"limit_milliseconds":1,"shares":[{"service":"desk"}]}}`, "/routes/a/match/host", failure.Missing},
		{"prefix without first slash", `"a":{"match":{"host":"h","path_prefix":"p/"},"calls":{"limit_milliseconds":1,"shares":[{"service":"desk"}]}}`, "/routes/a/match/path_prefix", failure.OutOfRange},
		{"prefix without last slash", `"a":{"match":{"host":"h","path_prefix":"/p"},"calls":{"limit_milliseconds":1,"shares":[{"service":"desk"}]}}`, "/routes/a/match/path_prefix", failure.OutOfRange},
		{"a host on a route of inquiries", `"a":{"match":{"host":"h","path_prefix":"/"},"to":{}}`, "/routes/a/calls", failure.Missing},
		{"other conditions", `"a":{"match":{"host":"h","path_prefix":"/","origin":"o"},"calls":{"limit_milliseconds":1,"shares":[{"service":"desk"}]}}`, "/routes/a/match", failure.Contradictory},
		{"an unknown field", `"a":{"match":{"host":"h","path_prefix":"/"},"calls":{"limit_milliseconds":1,"shares":[{"service":"desk"}],"colour":1}}`, "/routes/a/calls/colour", failure.UnknownField},
		{"annotations of another type", `"a":{"match":{"host":"h","path_prefix":"/"},"annotations":[],"calls":{"limit_milliseconds":1,"shares":[{"service":"desk"}]}}`, "/routes/a/annotations", failure.WrongType},
	} {
		_, err := Check([]byte(`{"services":{"desk":{}},"routes":{` + row.routes + `}}`))
		var findings *Findings
		if !stderrors.As(err, &findings) {
			t.Errorf("%s: no findings, %v", row.name, err)
			continue
		}
		found := false
		for _, entry := range findings.Troubles {
			found = found || entry.Path == row.path && entry.Code == row.kind
		}
		if !found {
			t.Errorf("%s: no %s at %s in %v", row.name, row.kind, row.path, findings.Troubles)
		}
	}
}

func TestTasteKnowsRoutesOfCalls(t *testing.T) {
	remarks := Taste([]byte(`{"services":{"desk":{}},"routes":{"all":{"order":0,"match":{"service":"desk"},"to":{}},
		"a":{"order":1,"match":{"host":"h","path_prefix":"/"},"calls":{"limit_milliseconds":1,"shares":[{"service":"desk"}]}}}}`), nil,
		Facts{Servers: []ServerFacts{{Name: "s", Zone: "north"}}})
	if len(remarks) != 0 {
		t.Errorf("remarks %v", remarks)
	}
}
