package capacity

import (
	"strconv"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/scheduler"
)

func callActivities() []Activity {
	return []Activity{
		{Role: courierRole, Name: "call", Dimensions: []Dimension{Servers, Tenants, Nodes}, Measure: measureCall},
		{Role: courierRole, Name: "configuration change: calls", Dimensions: []Dimension{Tenants, Models}, Measure: measureTakingCalls},
		{Role: courierRole, Name: "news for calls taken", Dimensions: []Dimension{Servers}, Measure: measureTakingForCalls},
	}
}

// CallsConfiguration is that of a fleet that serves opaque calls: a service for each
// model, and a host with two routes for each tenant.
//
// Example:
//
//	text := capacity.CallsConfiguration(sizes)
func CallsConfiguration(sizes Sized) []byte {
	var text strings.Builder
	text.WriteString(`{"services":{`)
	for number := range sizes[Models] {
		if number > 0 {
			text.WriteString(",")
		}
		text.WriteString(`"` + modelOf(number) + `":{"limit_milliseconds":30000,"health":"/health","circuits":370,"warming":{"length_milliseconds":3000,"per_second":12},"engine":{"slots":64,"memory_tokens":295740,"token_bytes":18432,"link_bits":550000000000,"tokens_a_piece":11,"handle_life_milliseconds":5000,"part_change_milliseconds":1500,"models":["model-` + strconv.Itoa(number+1) + `"]}}`)
	}
	text.WriteString(`},"routes":{`)
	for number := range sizes[Tenants] {
		if number > 0 {
			text.WriteString(",")
		}
		tenant := strconv.Itoa(number + 1)
		shares := `"shares":[{"service":"` + modelOf(number%sizes[Models]) + `","weight":1}]`
		text.WriteString(`"tenant-` + tenant + `-long":{"match":{"host":"tenant-` + tenant + `.example","path_prefix":"/ask/"},"calls":{` + shares + `,"limit_milliseconds":3000,"aim_milliseconds":400,"gap_milliseconds":250,"rank":0,"tries":2,"streams":true,"resumable":true,"sticky":true}},` +
			`"tenant-` + tenant + `-chat":{"match":{"host":"tenant-` + tenant + `.example","path_prefix":"/"},"calls":{` + shares + `,"limit_milliseconds":8000,"aim_milliseconds":500,"gap_milliseconds":250,"rank":1,"tries":1,"streams":true,"sticky":true}}`)
	}
	text.WriteString(`}}`)
	return []byte(text.String())
}

// loadsForCalls are the servers' reports as they travel with the news.
func loadsForCalls(count int) []scheduler.Load {
	var loads []scheduler.Load
	for number := range count {
		loads = append(loads, scheduler.Load{Server: "stove-" + strconv.Itoa(number+1), Part: string(partOf(number)), Orders: uint64(number % 7), Waiting: number % 5, Running: (number * 7) % 50,
			MemoryUsed: (number * 3571) % 150_000, MemoryTotal: 295_740, Handles: number % 9, Age: time.Duration(number%400) * time.Millisecond})
	}
	return loads
}

func newWindow(sizes Sized) (*scheduler.Window, error) {
	configuration, err := config.Check(CallsConfiguration(sizes))
	if err != nil {
		return nil, err
	}
	calls := scheduler.New(scheduler.Options{Courier: "courier-1", District: districtOf(0)})
	calls.SetCouriers(sizes[Nodes])
	calls.SetProgram(scheduler.Compile(configuration, 1, 1))
	calls.SetServers(noon, ServersOf(sizes[Servers]))
	calls.SetLoads(noon, loadsForCalls(sizes[Servers]))
	return calls, nil
}

// newCall is one of the mix: every third has a long prompt of which most is shared.
// Tenants whose model no server has don't call.
func newCall(number int, sizes Sized) *scheduler.Call {
	place := number % sizes[Tenants]
	if place%Base[Models] >= max(1, sizes[Servers]/5) {
		place -= place % Base[Models]
	}
	tenant := "tenant-" + strconv.Itoa(place+1) + ".example"
	model := "model-" + strconv.Itoa(place%Base[Models]+1)
	id := "call-" + strconv.Itoa(number)
	if number%3 == 0 {
		return &scheduler.Call{ID: id, Host: tenant, Path: "/ask/one", Model: model, PromptTokens: 9190, OutputTokens: 52, Bytes: 18_000, Ends: noon.Add(time.Hour),
			Parts: []scheduler.Part{{ID: 1, Tokens: 2520}, {ID: uint64(100 + number%40), Tokens: 3780}, {ID: uint64(1_000_000 + number), Tokens: 2890}}}
	}
	return &scheduler.Call{ID: id, Host: tenant, Path: "/talk", Model: model, PromptTokens: 826, OutputTokens: 290, Bytes: 1700, Ends: noon.Add(time.Hour),
		Parts: []scheduler.Part{{ID: 2, Tokens: 119}, {ID: 3, Tokens: 79}, {ID: uint64(1_000_000 + number), Tokens: 628}}}
}

// measureCall is one opaque call's way through the window, from its arrival to its end.
func measureCall(sizes Sized, note Note) error {
	calls, err := newWindow(sizes)
	if err != nil {
		return err
	}
	var broken error
	done := 0
	before := heap()
	now := noon
	cost := Meter{}.Measure(func(number int) {
		now = now.Add(20 * time.Millisecond)
		call := newCall(number, sizes)
		call.Ends = now.Add(time.Minute)
		ticket, decision := calls.Arrive(now, call)
		for ticket != nil && (decision.Kind == scheduler.Read || decision.Kind == scheduler.Run) {
			outcome := scheduler.Outcome{Result: scheduler.Complete, Status: 200, First: now}
			if decision.Kind == scheduler.Read {
				outcome.Handle = "handle"
			}
			decision = calls.Ended(now, ticket, outcome)
		}
		if decision.Kind != scheduler.Done {
			broken = failure.New(failure.Busy, "the hollow call was not served: "+string(decision.Kind)+" "+string(decision.Cause))
		}
		done++
	})
	noteCost(note, "a call, in the deciding core", cost)
	note("memory of the window after many calls", "B", heap()-before)
	if calls.InFlight() != 0 {
		return failure.New(failure.Unsorted, "calls are under way after their end")
	}
	return broken
}

// measureTakingCalls is a configuration of opaque calls, checked and compiled.
func measureTakingCalls(sizes Sized, note Note) error {
	text := CallsConfiguration(sizes)
	note("configuration", "B", float64(len(text)))
	var broken error
	noteCost(note, "a configuration", Meter{}.Measure(func(int) {
		configuration, err := config.Check(text)
		if err != nil {
			broken = err
			return
		}
		scheduler.Compile(configuration, 1, 1)
	}))
	return broken
}

// measureTakingForCalls is the list and the reports, as the window takes them.
func measureTakingForCalls(sizes Sized, note Note) error {
	calls, err := newWindow(sizes)
	if err != nil {
		return err
	}
	servers, loads := ServersOf(sizes[Servers]), loadsForCalls(sizes[Servers])
	encoded, err := msgpack.Marshal(loads)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	note("bytes of all reports", "B", float64(len(encoded)))
	list, err := msgpack.Marshal(servers)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	note("bytes of the list", "B", float64(len(list)))
	noteCost(note, "all reports read and taken", Meter{}.Measure(func(int) {
		var taken []scheduler.Load
		if msgpack.Unmarshal(encoded, &taken) == nil {
			calls.SetLoads(noon, taken)
		}
	}))
	noteCost(note, "the list taken", Meter{}.Measure(func(int) { calls.SetServers(noon, servers) }))
	return nil
}
