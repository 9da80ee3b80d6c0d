package main

import (
	"encoding/json"
	"io"
	"time"

	"seamloom.example/seamloom"
)

// tellCall drives one opaque call: its prompt is read at one server and its answer
// made at another, with the body that came.
func tellCall(target io.Writer) error {
	core := seamloom.New(seamloom.Options{Router: "courier-1", Zone: "north", Supported: seamloom.Supported(nil)})
	now := time.Date(2026, 1, 2, 18, 0, 0, 0, time.UTC)
	events := []seamloom.Event{
		{Kind: "couriers_counted", Number: 1},
		{Kind: "servers_listed", Servers: []seamloom.Server{
			{Name: "stove-1", Address: "10.0.0.1:80", Zone: "north", Service: "desk", Part: "prefill", Slots: 64},
			{Name: "stove-2", Address: "10.0.0.2:80", Zone: "north", Service: "desk", Part: "decode", Slots: 64}}},
		{Kind: "menu_received", Epoch: 1, Number: 1, Configuration: []byte(`{"services":{"desk":{}},"routes":{"ask":{"match":{"host":"ask.example","path_prefix":"/"},` +
			`"calls":{"shares":[{"service":"desk","weight":1}],"limit_milliseconds":3000,"tries":2,"streams":true,"resumable":true}}}}`)},
		{Kind: "call_arrived", Call: &seamloom.Call{ID: "one", Host: "ask.example", Path: "/today", PromptTokens: 9000, OutputTokens: 50, Bytes: 18_000,
			Segments: []seamloom.CallPart{{ID: 7, Tokens: 6000}, {ID: 8, Tokens: 3000}}}},
		{Kind: "call_ended", ID: "one", Result: &seamloom.CallOutcome{Result: "complete", Handle: "memory-7"}},
		{Kind: "call_ended", ID: "one", Result: &seamloom.CallOutcome{Result: "complete"}},
	}
	encoder := json.NewEncoder(target)
	for _, event := range events {
		now = now.Add(100 * time.Millisecond)
		event.At = now
		for _, decision := range core.Apply(event) {
			if err := encoder.Encode(decision); err != nil {
				return err
			}
		}
	}
	return nil
}
