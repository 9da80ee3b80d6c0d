package seamloom_test

import (
	"encoding/json"
	"testing"

	"seamloom.example/seamloom"
)

// FuzzApply decodes arbitrary JSON into events and feeds them to a core, which must not panic.
func FuzzApply(fuzzing *testing.F) {
	for _, event := range []string{
		`{"event":"ticked","at":"2026-01-01T00:00:00Z"}`,
		`{"event":"servers_listed","servers":[{"name":"a","address":"a"},{"name":"a"}]}`,
		`{"event":"load_reported","at":"2026-01-01T00:00:00Z",` +
			`"load":{"server":"a","part":"prefill","prefill_rate":-1,"prefill_room":-5,"decode_slots":-2}}`,
		`{"event":"menu_received","menu":"e30="}`,
		`{"event":"inquiry_arrived","inquiry":{"id":"one","service":"chat","prompt_tokens":-9,"pieces":-3}}`,
		`{"event":"piece_received","id":"one","run":-1,"piece":0}`,
		`{"event":"decode_ended","id":"one","outcome":"done"}`,
		`{"event":"hold_renewed","hold_ends":"2027-01-01T00:00:00Z","duties":[{"key":"server/a","holder":"c"}]}`,
		`{"event":"orders_read","orders":{"a":{"part":"nonsense"}}}`} {
		fuzzing.Add([]byte(event), []byte(`{"event":"ticked","at":"2026-01-01T00:00:01Z"}`))
	}
	fuzzing.Fuzz(func(_ *testing.T, first, second []byte) {
		core := seamloom.New(seamloom.Options{Router: "courier-1", Supported: seamloom.Supported(nil)})
		core.Apply(seamloom.Event{
			Kind:          "menu_received",
			Configuration: []byte(`{"services":{"chat":{}},"routes":{"all":{"to":{}}}}`),
			Epoch:         1,
			Number:        1,
		})
		for range 2 {
			for _, text := range [][]byte{first, second} {
				var event seamloom.Event
				if json.Unmarshal(text, &event) == nil {
					core.Apply(event)
				}
			}
		}
	})
}
