package modelserver

import (
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/failure"
)

// PrefillRequest is the body of POST /v1/prefill.
type PrefillRequest struct {
	Request      string `json:"inquiry"`
	Order        string `json:"order,omitempty"`
	Run          int    `json:"run"`
	Prompt       string `json:"prompt,omitempty"`
	PromptTokens int    `json:"prompt_tokens"`
	Prefix       string `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefix_tokens,omitempty"`
}

// PrefillResponse is the answer to POST /v1/prefill.
type PrefillResponse struct {
	Request string `json:"inquiry"`
	Run     int    `json:"run"`
	Handle  string `json:"handle"`
}

// DecodeRequest is the body of POST /v1/decode. Source is the address of the
// server that read the prompt, from which its memory is fetched.
type DecodeRequest struct {
	Request string `json:"inquiry"`
	Order   string `json:"order,omitempty"`
	Run     int    `json:"run"`
	Handle  string `json:"handle"`
	Source  string `json:"source"`
	Chunks  int    `json:"pieces"`
}

// DecodeChunk is one line of the answer to POST /v1/decode. The last one has
// Done and the number of all chunks.
type DecodeChunk struct {
	Request string `json:"inquiry"`
	Run     int    `json:"run"`
	Chunk   int    `json:"piece,omitempty"`
	Text    string `json:"text,omitempty"`
	Done    bool   `json:"done,omitempty"`
	Chunks  int    `json:"pieces,omitempty"`
}

// CancelRequest is the body of POST /v1/cancel.
type CancelRequest struct {
	Request string `json:"inquiry"`
	Order   string `json:"order,omitempty"`
	Run     int    `json:"run"`
}

// PartRequest is the body of POST /v1/part.
type PartRequest struct {
	Part                 string `json:"part"`
	FencingToken         uint64 `json:"fence"`
	Holder               string `json:"holder"`
	PatienceMilliseconds int    `json:"patience_milliseconds"`
	Cause                string `json:"cause,omitempty"`
}

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

// maxReported bounds every number of a report.
const maxReported = 1 << 40

// Check refuses a report that can't be true, so that the market never trades on
// it.
func (l LoadReport) Check() error {
	numbers := map[string]int{"age_milliseconds": l.AgeMilliseconds, "prefill_queue_tokens": l.PrefillQueueTokens, "prefill_tokens_per_second": l.PrefillRate,
		"prefill_waiting": l.PrefillWaiting, "prefill_room": l.PrefillRoom, "decode_active": l.DecodeActive, "decode_slots": l.DecodeSlots,
		"piece_time_microseconds": l.ChunkTimeMicroseconds, "memory_free_tokens": l.MemoryFree, "memory_total_tokens": l.MemoryTotal,
		"link_tokens_per_second": l.LinkRate}
	for name, number := range numbers {
		if number < 0 || number > maxReported {
			return failure.At(failure.OutOfRange, "/"+name, strconv.Itoa(number))
		}
	}
	for prefix, tokens := range l.Prefixes {
		if tokens < 0 {
			return failure.At(failure.OutOfRange, "/prefixes/"+prefix, strconv.Itoa(tokens))
		}
	}
	switch auction.ServerRole(l.Part) {
	case auction.Prefill, auction.Decode, auction.Drain, auction.NoRole:
		return nil
	}
	return failure.At(failure.OutOfRange, "/part", l.Part)
}

// Load is the report in the core's terms.
func (l LoadReport) Load() auction.Load {
	return auction.Load{Server: l.Server, Incarnation: l.Incarnation, Role: auction.ServerRole(l.Part), Leaving: l.Leaving,
		Age: time.Duration(l.AgeMilliseconds) * time.Millisecond, PrefillQueueTokens: l.PrefillQueueTokens,
		PrefillRate: l.PrefillRate, PrefillWaiting: l.PrefillWaiting, PrefillCapacity: l.PrefillRoom,
		DecodeActive: l.DecodeActive, DecodeSlots: l.DecodeSlots,
		ChunkTime:  time.Duration(l.ChunkTimeMicroseconds) * time.Microsecond,
		MemoryFree: l.MemoryFree, MemoryTotal: l.MemoryTotal, LinkRate: l.LinkRate, Prefixes: l.Prefixes}
}
