package seamloom_test

import (
	"fmt"
	"time"

	"seamloom.example/seamloom"
)

// The core dispatches a request to the cheapest pair of a prefill and a decode server.
func ExampleCore_Apply() {
	core := seamloom.New(seamloom.Options{
		Router:    "courier-1",
		Zone:      "north",
		Supported: seamloom.Supported(nil),
	})
	now := time.Date(2026, 1, 2, 18, 0, 0, 0, time.UTC)
	for _, event := range []seamloom.Event{
		{Kind: "servers_listed", Servers: []seamloom.Server{
			{Name: "stove-1", Address: "10.0.0.1:80", Zone: "north"},
			{Name: "stove-2", Address: "10.0.0.2:80", Zone: "north"},
		}},
		{Kind: "load_reported", Load: &seamloom.Load{Server: "stove-1", Role: "prefill", Age: time.Hour,
			PrefillRate: 20_000, PrefillCapacity: 8, LinkRate: 400_000}},
		{Kind: "load_reported", Load: &seamloom.Load{Server: "stove-2", Role: "decode", Age: time.Hour,
			DecodeSlots: 8, ChunkTime: 8 * time.Millisecond, MemoryFree: 100_000, LinkRate: 400_000}},
		{Kind: "flags_read"},
		{Kind: "menu_received", Epoch: 1, Number: 1, Configuration: []byte(
			`{"services":{"chat":{}},"routes":{"all":{"to":{}}}}`)},
		{Kind: "hold_renewed", Epoch: 1, Number: 1, LeaseEnds: now.Add(4 * time.Second)},
		{Kind: "inquiry_arrived", Request: &seamloom.Request{ID: "one", Service: "chat", Idempotent: true,
			PromptTokens: 120, Chunks: 1}},
		{Kind: "prefill_answered", ID: "one", Run: 1, Outcome: "done", Handle: "memory-7"},
		{Kind: "piece_received", ID: "one", Run: 1, Chunk: 1, Text: "on its way"},
		{Kind: "decode_ended", ID: "one", Run: 1, Outcome: "done", Chunk: 1},
	} {
		now = now.Add(10 * time.Millisecond)
		event.At = now
		for _, decision := range core.Apply(event) {
			fmt.Printf("%s server=%q text=%q final=%q\n", decision.Kind, decision.Server, decision.Text, decision.Final)
		}
	}
	// Output:
	// note_pair server="" text="" final=""
	// prefill server="stove-1" text="" final=""
	// decode server="stove-2" text="" final=""
	// send_piece server="" text="on its way" final=""
	// finish server="" text="" final="complete"
}

func ExampleCheckConfiguration() {
	fmt.Println(seamloom.CheckConfiguration([]byte(`{"services":{"chat":{}},"routes":{"all":{"to":{}}}}`)))
	fmt.Println(seamloom.CheckConfiguration([]byte(
		`{"services":{},"routes":{"all":{"match":{"service":"chat"},"to":{}}}}`)))
	// Output:
	// <nil>
	// contradictory at /routes/all/match/service: there is no service chat
}
