package modelserver

import (
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/failure"
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
	ChunkTimeMicroseconds int            `json:"piece_time_microseconds"`
	MemoryFree            int            `json:"memory_free_tokens"`
	MemoryTotal           int            `json:"memory_total_tokens"`
	LinkRate              int            `json:"link_tokens_per_second"`
	Prefixes              map[string]int `json:"prefixes,omitempty"`
}

// mostReported bounds every number of a report.
const mostReported = 1 << 40

// Check refuses a report that can't be true, so that the market never trades on
// it.
func (report LoadReport) Check() error {
	numbers := map[string]int{"age_milliseconds": report.AgeMilliseconds, "prefill_queue_tokens": report.PrefillQueueTokens, "prefill_tokens_per_second": report.PrefillRate,
		"prefill_waiting": report.PrefillWaiting, "prefill_room": report.PrefillRoom, "decode_active": report.DecodeActive, "decode_slots": report.DecodeSlots,
		"piece_time_microseconds": report.ChunkTimeMicroseconds, "memory_free_tokens": report.MemoryFree, "memory_total_tokens": report.MemoryTotal,
		"link_tokens_per_second": report.LinkRate}
	for name, number := range numbers {
		if number < 0 || number > mostReported {
			return failure.At(failure.OutOfRange, "/"+name, strconv.Itoa(number))
		}
	}
	for prefix, tokens := range report.Prefixes {
		if tokens < 0 {
			return failure.At(failure.OutOfRange, "/prefixes/"+prefix, strconv.Itoa(tokens))
		}
	}
	switch auction.Part(report.Part) {
	case auction.Prefill, auction.Decode, auction.Drain, auction.NoPart:
		return nil
	}
	return failure.At(failure.OutOfRange, "/part", report.Part)
}

// Load is the report in the core's terms.
func (report LoadReport) Load() auction.Load {
	return auction.Load{Server: report.Server, Incarnation: report.Incarnation, Part: auction.Part(report.Part), Leaving: report.Leaving,
		Age: time.Duration(report.AgeMilliseconds) * time.Millisecond, PrefillQueueTokens: report.PrefillQueueTokens,
		PrefillRate: report.PrefillRate, PrefillWaiting: report.PrefillWaiting, PrefillRoom: report.PrefillRoom,
		DecodeActive: report.DecodeActive, DecodeSlots: report.DecodeSlots,
		ChunkTime:  time.Duration(report.ChunkTimeMicroseconds) * time.Microsecond,
		MemoryFree: report.MemoryFree, MemoryTotal: report.MemoryTotal, LinkRate: report.LinkRate, Prefixes: report.Prefixes}
}
