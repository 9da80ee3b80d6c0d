package auction

import "time"

// Load is a server's report of its pressure.
type Load struct {
	Server             string         `json:"server"`
	Incarnation        string         `json:"incarnation"`
	Part               Part           `json:"part"`
	Leaving            bool           `json:"leaving"`
	Age                time.Duration  `json:"age"`
	PrefillQueueTokens int            `json:"prefill_queue_tokens"`
	PrefillRate        int            `json:"prefill_rate"`
	PrefillWaiting     int            `json:"prefill_waiting"`
	PrefillCapacity    int            `json:"prefill_room"`
	DecodeActive       int            `json:"decode_active"`
	DecodeSlots        int            `json:"decode_slots"`
	ChunkTime          time.Duration  `json:"piece_time"`
	MemoryFree         int            `json:"memory_free"`
	MemoryTotal        int            `json:"memory_total"`
	LinkRate           int            `json:"link_rate"`
	Prefixes           map[string]int `json:"prefixes,omitempty"`
}
