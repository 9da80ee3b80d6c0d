// Command embedded shows how a routing program embeds seamloom: it feeds the
// core the events of one request and prints each decision as a JSON line. A
// real program would carry the decisions out and feed back what came of them.
package main

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"seamloom.example/seamloom"
)

func main() {
	for _, story := range []func(io.Writer) error{tell, tellCall} {
		if err := story(os.Stdout); err != nil {
			_, _ = io.WriteString(os.Stderr, err.Error()+"\n")
			os.Exit(1)
		}
	}
}

// tell drives one request from its arrival to its final line.
func tell(target io.Writer) error {
	core := seamloom.New(seamloom.Options{Router: "courier-1", Zone: "north", Supported: seamloom.Supported(nil)})
	now := time.Date(2026, 1, 2, 18, 0, 0, 0, time.UTC)
	events := []seamloom.Event{
		{Kind: "servers_listed", Servers: []seamloom.Server{
			{Name: "stove-1", Address: "10.0.0.1:80", Zone: "north"},
			{Name: "stove-2", Address: "10.0.0.2:80", Zone: "north"}}},
		{Kind: "load_reported", Load: &seamloom.Load{Server: "stove-1", Part: "prefill", Age: time.Hour, PrefillRate: 20_000, PrefillCapacity: 8, LinkRate: 400_000}},
		{Kind: "load_reported", Load: &seamloom.Load{Server: "stove-2", Part: "decode", Age: time.Hour, DecodeSlots: 8, ChunkTime: 8 * time.Millisecond, MemoryFree: 100_000, LinkRate: 400_000}},
		{Kind: "flags_read"},
		{Kind: "menu_received", Epoch: 1, Number: 1, Configuration: []byte(`{"services":{"chat":{}},"routes":{"all":{"to":{}}}}`)},
		{Kind: "hold_renewed", Epoch: 1, Number: 1, LeaseEnds: now.Add(4 * time.Second)},
		{Kind: "inquiry_arrived", Request: &seamloom.Request{ID: "one", Service: "chat", Idempotent: true, PromptTokens: 120, Chunks: 2}},
		{Kind: "prefill_answered", ID: "one", Run: 1, Outcome: "done", Handle: "memory-7"},
		{Kind: "piece_received", ID: "one", Run: 1, Chunk: 1, Text: "on its "},
		{Kind: "piece_received", ID: "one", Run: 1, Chunk: 2, Text: "way"},
		{Kind: "decode_ended", ID: "one", Run: 1, Outcome: "done", Chunk: 2},
	}
	encoder := json.NewEncoder(target)
	for _, event := range events {
		now = now.Add(10 * time.Millisecond)
		event.At = now
		for _, decision := range core.Apply(event) {
			if err := encoder.Encode(decision); err != nil {
				return err
			}
		}
	}
	return nil
}
