package auction

import (
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// ServerRole is the role of a model server: prefill, decode, or drain, in which it finishes
// its work in flight and takes no new work.
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
	// Incarnation identifies one start of the server's process.
	Incarnation string     `json:"incarnation"`
	Role        ServerRole `json:"part"`
	// Leaving is set if the server takes no new work.
	Leaving bool `json:"leaving"`
	// Age is the time since the server started; a new server's usable capacity grows with
	// it (see rampUpTime).
	Age time.Duration `json:"age"`
	// PrefillQueueTokens is the number of queued prompt tokens, PrefillRate the number of
	// tokens prefilled per second.
	PrefillQueueTokens int `json:"prefill_queue_tokens"`
	PrefillRate        int `json:"prefill_rate"`
	// PrefillWaiting is the number of queued prompts, PrefillCapacity its maximum.
	PrefillWaiting  int `json:"prefill_waiting"`
	PrefillCapacity int `json:"prefill_room"`
	// DecodeActive is the number of requests being decoded, DecodeSlots its maximum.
	DecodeActive int `json:"decode_active"`
	DecodeSlots  int `json:"decode_slots"`
	// ChunkTime is the time to decode one chunk.
	ChunkTime time.Duration `json:"piece_time"`
	// MemoryFree and MemoryTotal are the free and the total KV cache in tokens.
	MemoryFree  int `json:"memory_free"`
	MemoryTotal int `json:"memory_total"`
	// LinkRate is the KV transfer rate in tokens per second.
	LinkRate int `json:"link_rate"`
	// Prefixes maps a shared prefix to the number of its tokens in the prefix cache.
	Prefixes map[string]int `json:"prefixes,omitempty"`
}

// ServerState is the market's state of one server: its entry in the server list, its last
// load report, and this router's own work that the report does not show yet. The counters
// are atomic, so that several threads can choose servers at the same time.
type ServerState struct {
	server membership.Server
	report atomic.Pointer[report]
	// avoidedUntil is in nanoseconds since the Unix epoch.
	avoidedUntil atomic.Int64
	// pendingDecodes counts the requests in prefill that have reserved a decode slot at this
	// server. Later snapshots share the counter while the server's address is the same.
	pendingDecodes *atomic.Int64
}

// report is a load report and the work that this router has sent to the server since the report.
type report struct {
	load Load
	// at is when the report was received.
	at            time.Time
	prefillTokens atomic.Int64
	prefills      atomic.Int64
	decodes       atomic.Int64
	memory        atomic.Int64
}

const (
	// reportMaxAge is how long a load report is valid; a server without a valid report gets
	// no work.
	reportMaxAge = 1500 * time.Millisecond
	// rampUpTime is the slow-start period in which the usable capacity of a new server grows.
	rampUpTime = 8 * time.Second
	// avoidPeriod is how long a server gets no new work after a fault.
	avoidPeriod = 2 * time.Second
)

// freshReport returns the server's recent report. It returns nil if there is none or the server is
// leaving; such a server gets no work.
func (s *ServerState) freshReport(now time.Time) *report {
	current := s.report.Load()
	if current == nil || now.Sub(current.at) > reportMaxAge || current.load.Leaving || s.server.Leaving {
		return nil
	}
	return current
}

func (s *ServerState) avoided(now time.Time) bool { return now.UnixNano() < s.avoidedUntil.Load() }

// recent reports whether r is not nil and not older than reportMaxAge.
func (r *report) recent(now time.Time) bool { return r != nil && now.Sub(r.at) <= reportMaxAge }

// rampUp returns the usable share of a server's capacity: a tenth when it has just started,
// growing linearly to all of it after rampUpTime.
func (r *report) rampUp(now time.Time) float64 {
	age := r.load.Age + now.Sub(r.at)
	return min(1, 0.1+0.9*float64(age)/float64(rampUpTime))
}

// uncachedTokens returns the number of prompt tokens that the server's prefix cache does not
// hold.
func (r *report) uncachedTokens(request *Request) int {
	return request.PromptTokens - min(request.PrefixTokens, r.load.Prefixes[request.Prefix])
}
