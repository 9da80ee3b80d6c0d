package main

import (
	"io"
	"time"

	"seamloom.example/seamloom"
)

// callConfiguration routes the calls to one host to one service, with at most two attempts per call.
const callConfiguration = `{"services":{"desk":{}},"routes":{"ask":{
	"match":{"host":"ask.example","path_prefix":"/"},
	"calls":{"shares":[{"service":"desk","weight":1}],
		"limit_milliseconds":3000,"tries":2,"streams":true,"resumable":true}}}}`

// runCall feeds the events of one opaque call. A prefill server processes the prompt, then a
// decode server generates the response; both receive the body of the call unchanged.
func runCall(output io.Writer) error {
	events := []seamloom.Event{
		{Kind: "couriers_counted", Number: 1},
		{Kind: "servers_listed", Servers: []seamloom.Server{
			{Name: "stove-1", Address: "10.0.0.1:80", Zone: "north", Service: "desk", Role: "prefill", Slots: 64},
			{Name: "stove-2", Address: "10.0.0.2:80", Zone: "north", Service: "desk", Role: "decode", Slots: 64},
		}},
		{Kind: "menu_received", Epoch: 1, Number: 1, Configuration: []byte(callConfiguration)},
		{Kind: "call_arrived", Call: &seamloom.Call{
			ID:           "one",
			Host:         "ask.example",
			Path:         "/today",
			PromptTokens: 9000,
			OutputTokens: 50,
			Bytes:        18_000,
			Segments:     []seamloom.CallSegment{{ID: 7, Tokens: 6000}, {ID: 8, Tokens: 3000}},
		}},
		{Kind: "call_ended", ID: "one", Result: &seamloom.CallOutcome{Result: "complete", Handle: "memory-7"}},
		{Kind: "call_ended", ID: "one", Result: &seamloom.CallOutcome{Result: "complete"}},
	}
	return feed(output, events, 100*time.Millisecond)
}
