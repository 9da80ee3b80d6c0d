package auction

import (
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// ServerRole is what a model server does: prefill, decode, or finish its work and take no more.
type ServerRole string

// The roles of a server.
const (
	NoRole  ServerRole = ""
	Prefill ServerRole = "prefill"
	Decode  ServerRole = "decode"
	Drain   ServerRole = "drain"
)

// Load is a model server's report of its load.
type Load struct {
	Server string `json:"server"`
	// Incarnation is new with each start of the server's process.
	Incarnation string     `json:"incarnation"`
	Role        ServerRole `json:"part"`
	// Leaving tells that the server takes no new work.
	Leaving bool `json:"leaving"`
	// Age is how long the server has run; its usable capacity grows with it.
	Age time.Duration `json:"age"`
	// PrefillQueueTokens wait to be read, at PrefillRate tokens a second.
	PrefillQueueTokens int `json:"prefill_queue_tokens"`
	PrefillRate        int `json:"prefill_rate"`
	// PrefillWaiting prompts wait, of the PrefillCapacity that may.
	PrefillWaiting  int `json:"prefill_waiting"`
	PrefillCapacity int `json:"prefill_room"`
	// DecodeActive requests are decoded, in DecodeSlots slots.
	DecodeActive int `json:"decode_active"`
	DecodeSlots  int `json:"decode_slots"`
	// ChunkTime is the time for one chunk.
	ChunkTime time.Duration `json:"piece_time"`
	// MemoryFree and MemoryTotal are the KV cache in tokens.
	MemoryFree  int `json:"memory_free"`
	MemoryTotal int `json:"memory_total"`
	// LinkRate is the KV transfer rate in tokens a second.
	LinkRate int `json:"link_rate"`
	// Prefixes are the tokens of each shared prefix in the server's prefix cache.
	Prefixes map[string]int `json:"prefixes,omitempty"`
}

// ServerState is what the market knows of one server: its listing, its last load report,
// and this router's own work that the report can't show yet. Its counters are atomics, so
// that several threads may bid at once.
type ServerState struct {
	server membership.Server
	report atomic.Pointer[report]
	// avoidedUntil is in nanoseconds since 1970.
	avoidedUntil atomic.Int64
	// pendingDecodes counts the requests that are still in prefill and have this server
	// reserved for their decode; it is shared by the server's states in later lists.
	pendingDecodes *atomic.Int64
}

// report is a load report and what this router has sent to the server since.
type report struct {
	load          Load
	at            time.Time
	prefillTokens atomic.Int64
	prefills      atomic.Int64
	decodes       atomic.Int64
	memory        atomic.Int64
}

// The values are ours.
const (
	// reportMaxAge is how long a load report counts; a server without a newer one is
	// offered no work.
	reportMaxAge = 1500 * time.Millisecond
	// rampUpTime is how long the usable capacity of a server that has just started grows.
	rampUpTime = 8 * time.Second
	// avoidPeriod is how long a server gets no new work after a fault.
	avoidPeriod = 2 * time.Second
)

// freshReport is the report that counts now, or nil: then the server is offered no work.
func (s *ServerState) freshReport(now time.Time) *report {
	current := s.report.Load()
	if current == nil || now.Sub(current.at) > reportMaxAge || current.load.Leaving || s.server.Leaving {
		return nil
	}
	return current
}

func (s *ServerState) avoided(now time.Time) bool { return now.UnixNano() < s.avoidedUntil.Load() }

// recent tells whether there is a report, and it is not older than reportMaxAge.
func (r *report) recent(now time.Time) bool { return r != nil && now.Sub(r.at) <= reportMaxAge }

// rampUp is the share of its capacity that a server may use: a tenth when it has just
// started, all of it after rampUpTime.
func (r *report) rampUp(now time.Time) float64 {
	age := r.load.Age + now.Sub(r.at)
	return min(1, 0.1+0.9*float64(age)/float64(rampUpTime))
}

// uncachedTokens are the prompt's tokens that the server's prefix cache does not have.
func (r *report) uncachedTokens(request *Request) int {
	return request.PromptTokens - min(request.PrefixTokens, r.load.Prefixes[request.Prefix])
}
