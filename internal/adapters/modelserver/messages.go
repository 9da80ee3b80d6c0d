package modelserver

import (
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/failure"
)

// PrefillRequest is the body of POST /v1/prefill. DispatchToken is unique to each dispatch. The server uses it to
// recognize a request that the network delivers twice.
type PrefillRequest struct {
	Request       string `json:"inquiry"`
	DispatchToken string `json:"order,omitempty"`
	Run           int    `json:"run"`
	Prompt        string `json:"prompt,omitempty"`
	PromptTokens  int    `json:"prompt_tokens"`
	Prefix        string `json:"prefix,omitempty"`
	PrefixTokens  int    `json:"prefix_tokens,omitempty"`
}

// PrefillResponse is the response to POST /v1/prefill.
type PrefillResponse struct {
	Request string `json:"inquiry"`
	Run     int    `json:"run"`
	Handle  string `json:"handle"`
}

// DecodeRequest is the body of POST /v1/decode. Source is the address of the prefill server from which the
// prompt's KV cache is fetched. DispatchToken is the token of the dispatch, as in PrefillRequest.
type DecodeRequest struct {
	Request       string `json:"inquiry"`
	DispatchToken string `json:"order,omitempty"`
	Run           int    `json:"run"`
	Handle        string `json:"handle"`
	Source        string `json:"source"`
	Chunks        int    `json:"pieces"`
}

// DecodeChunk is one line of the response to POST /v1/decode. In the last line, Done is true and Chunks is the
// total number of chunks.
type DecodeChunk struct {
	Request string `json:"inquiry"`
	Run     int    `json:"run"`
	Chunk   int    `json:"piece,omitempty"`
	Text    string `json:"text,omitempty"`
	Done    bool   `json:"done,omitempty"`
	Chunks  int    `json:"pieces,omitempty"`
}

// CancelRequest is the body of POST /v1/cancel, which stops a run. DispatchToken is the token of the run's last dispatch.
type CancelRequest struct {
	Request       string `json:"inquiry"`
	DispatchToken string `json:"order,omitempty"`
	Run           int    `json:"run"`
}

// RoleRequest is the body of POST /v1/part, which orders a server to take a role. Holder is the
// router that holds the lease to command the server, and FencingToken the fencing token of that lease.
type RoleRequest struct {
	Role                    string `json:"part"`
	FencingToken            uint64 `json:"fence"`
	Holder                  string `json:"holder"`
	GracePeriodMilliseconds int    `json:"patience_milliseconds"`
	Cause                   string `json:"cause,omitempty"`
}

// LoadReport is the response to GET /v1/load. Its fields have the same meaning as those of auction.Load.
type LoadReport struct {
	Server                string         `json:"server"`
	Incarnation           string         `json:"incarnation"`
	Role                  string         `json:"part"`
	Leaving               bool           `json:"leaving"`
	AgeMilliseconds       int            `json:"age_milliseconds"`
	PrefillQueueTokens    int            `json:"prefill_queue_tokens"`
	PrefillRate           int            `json:"prefill_tokens_per_second"`
	PrefillWaiting        int            `json:"prefill_waiting"`
	PrefillCapacity       int            `json:"prefill_room"`
	DecodeActive          int            `json:"decode_active"`
	DecodeSlots           int            `json:"decode_slots"`
	ChunkTimeMicroseconds int            `json:"piece_time_microseconds"`
	MemoryFree            int            `json:"memory_free_tokens"`
	MemoryTotal           int            `json:"memory_total_tokens"`
	LinkRate              int            `json:"link_tokens_per_second"`
	Prefixes              map[string]int `json:"prefixes,omitempty"`
}

// maxReported is the maximum of each number in a report. The token counts of prefixes have no maximum.
const maxReported = 1 << 40

// Check returns an error with the code OutOfRange if a value of the report is impossible, so that the auction
// never uses such a report.
func (l LoadReport) Check() error {
	numbers := map[string]int{
		"age_milliseconds":          l.AgeMilliseconds,
		"prefill_queue_tokens":      l.PrefillQueueTokens,
		"prefill_tokens_per_second": l.PrefillRate,
		"prefill_waiting":           l.PrefillWaiting,
		"prefill_room":              l.PrefillCapacity,
		"decode_active":             l.DecodeActive,
		"decode_slots":              l.DecodeSlots,
		"piece_time_microseconds":   l.ChunkTimeMicroseconds,
		"memory_free_tokens":        l.MemoryFree,
		"memory_total_tokens":       l.MemoryTotal,
		"link_tokens_per_second":    l.LinkRate,
	}
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
	switch auction.ServerRole(l.Role) {
	case auction.Prefill, auction.Decode, auction.Drain, auction.NoRole:
		return nil
	}
	return failure.At(failure.OutOfRange, "/part", l.Role)
}

// Load converts the report to the load that the auction uses.
func (l LoadReport) Load() auction.Load {
	return auction.Load{Server: l.Server, Incarnation: l.Incarnation, Role: auction.ServerRole(l.Role), Leaving: l.Leaving,
		Age: time.Duration(l.AgeMilliseconds) * time.Millisecond, PrefillQueueTokens: l.PrefillQueueTokens,
		PrefillRate: l.PrefillRate, PrefillWaiting: l.PrefillWaiting, PrefillCapacity: l.PrefillCapacity,
		DecodeActive: l.DecodeActive, DecodeSlots: l.DecodeSlots,
		ChunkTime:  time.Duration(l.ChunkTimeMicroseconds) * time.Microsecond,
		MemoryFree: l.MemoryFree, MemoryTotal: l.MemoryTotal, LinkRate: l.LinkRate, Prefixes: l.Prefixes}
}
