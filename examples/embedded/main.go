// Command embedded shows how a routing program embeds seamloom. It feeds one core the events of
// a request and another core the events of an opaque call, and prints each decision as a line of
// JSON. A real program would carry out the decisions and report their results as events.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"seamloom.example/seamloom"
)

func main() {
	for _, run := range []func(io.Writer) error{runRequest, runCall} {
		if err := run(os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// start is the time at which the examples begin. The core reads no clock: events carry their times.
var start = time.Date(2026, 1, 2, 18, 0, 0, 0, time.UTC)

// feed applies the events to a new core, one per step of time, and prints the decisions.
func feed(output io.Writer, events []seamloom.Event, step time.Duration) error {
	core := seamloom.New(seamloom.Options{
		Router:    "courier-1",
		Zone:      "north",
		Supported: seamloom.Supported(nil),
	})
	encoder := json.NewEncoder(output)
	now := start
	for _, event := range events {
		now = now.Add(step)
		event.At = now
		for _, decision := range core.Apply(event) {
			if err := encoder.Encode(decision); err != nil {
				return err
			}
		}
	}
	return nil
}

// runRequest feeds the events of one request from its arrival to its final status.
func runRequest(output io.Writer) error {
	events := []seamloom.Event{
		{Kind: "servers_listed", Servers: []seamloom.Server{
			{Name: "stove-1", Address: "10.0.0.1:80", Zone: "north"},
			{Name: "stove-2", Address: "10.0.0.2:80", Zone: "north"},
		}},
		{Kind: "load_reported", Load: &seamloom.Load{
			Server:          "stove-1",
			Role:            "prefill",
			Age:             time.Hour,
			PrefillRate:     20_000,
			PrefillCapacity: 8,
			LinkRate:        400_000,
		}},
		{Kind: "load_reported", Load: &seamloom.Load{
			Server:      "stove-2",
			Role:        "decode",
			Age:         time.Hour,
			DecodeSlots: 8,
			ChunkTime:   8 * time.Millisecond,
			MemoryFree:  100_000,
			LinkRate:    400_000,
		}},
		{Kind: "flags_read"},
		{Kind: "menu_received", Epoch: 1, Number: 1, Configuration: []byte(
			`{"services":{"chat":{}},"routes":{"all":{"to":{}}}}`)},
		{Kind: "hold_renewed", Epoch: 1, Number: 1, LeaseEnds: start.Add(4 * time.Second)},
		{Kind: "inquiry_arrived", Request: &seamloom.Request{
			ID:           "one",
			Service:      "chat",
			Idempotent:   true,
			PromptTokens: 120,
			Chunks:       2,
		}},
		{Kind: "prefill_answered", ID: "one", Run: 1, Outcome: "done", Handle: "memory-7"},
		{Kind: "piece_received", ID: "one", Run: 1, Chunk: 1, Text: "on its "},
		{Kind: "piece_received", ID: "one", Run: 1, Chunk: 2, Text: "way"},
		{Kind: "decode_ended", ID: "one", Run: 1, Outcome: "done", Chunk: 2},
	}
	return feed(output, events, 10*time.Millisecond)
}
