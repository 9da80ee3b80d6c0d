package stove

import (
	"time"

	"seamloom.example/seamloom/internal/pass"
)

// LoadReport is the answer to GET /v1/load.
type LoadReport struct {
	Server                string         `json:"server"`
	Incarnation           string         `json:"incarnation"`
	Part                  string         `json:"part"`
	Leaving               bool           `json:"leaving"`
	AgeMilliseconds       int            `json:"age_milliseconds"`
	PrefillQueueTokens    int            `json:"prefill_queue_tokens"`
	PrefillRate           int            `json:"prefill_tokens_per_second"`
	PrefillWaiting        int            `json:"prefill_waiting"`
	PrefillRoom           int            `json:"prefill_room"`
	DecodeActive          int            `json:"decode_active"`
	DecodeSlots           int            `json:"decode_slots"`
	PieceTimeMicroseconds int            `json:"piece_time_microseconds"`
	MemoryFree            int            `json:"memory_free_tokens"`
	MemoryTotal           int            `json:"memory_total_tokens"`
	LinkRate              int            `json:"link_tokens_per_second"`
	Prefixes              map[string]int `json:"prefixes,omitempty"`
}

// Load is the report in the core's terms.
//
// Example:
//
//	event := seamloom.Event{Kind: "load_reported", Load: &load}
func (report LoadReport) Load() pass.Load {
	return pass.Load{Server: report.Server, Incarnation: report.Incarnation, Part: pass.Part(report.Part), Leaving: report.Leaving,
		Age: time.Duration(report.AgeMilliseconds) * time.Millisecond, PrefillQueueTokens: report.PrefillQueueTokens,
		PrefillRate: report.PrefillRate, PrefillWaiting: report.PrefillWaiting, PrefillRoom: report.PrefillRoom,
		DecodeActive: report.DecodeActive, DecodeSlots: report.DecodeSlots,
		PieceTime:  time.Duration(report.PieceTimeMicroseconds) * time.Microsecond,
		MemoryFree: report.MemoryFree, MemoryTotal: report.MemoryTotal, LinkRate: report.LinkRate, Prefixes: report.Prefixes}
}
