package config

import "time"

// Service is one kind of streamed request that operators offer.
type Service struct {
	Name            string
	Limit           time.Duration
	MaxPromptTokens int
	MaxChunks       int
	InFlight        int
	Attempts        int
	// IDsUsedOnce tells that origins give every try an id of its own: at most one
	// run then needs no claim.
	IDsUsedOnce bool
	// Health is the path at which a server answers whether it is well.
	Health string
	// Connections is how many connections each server takes from all callers together;
	// zero means that nobody said.
	Connections int
	// Warming is what a server stands after its start.
	Warming Warming
	// Engine is what each server of the service is made of.
	Engine Engine
}

// Warming is how long a server stays cold after its start and how many requests a
// second it stands meanwhile, from all routers together.
type Warming struct {
	Length    time.Duration
	PerSecond float64
}

// Engine is what operators say of a service's servers. Sizes are in tokens, the link
// in bits a second.
type Engine struct {
	Slots          int
	MemoryTokens   int
	TokenBytes     int
	LinkBits       float64
	TokensAChunk   int
	HandleLifetime time.Duration
	PartChange     time.Duration
	Models         []string
}

// The bounds and defaults of a service. The values are ours.
const (
	DefaultLimit           = 30 * time.Second
	LongestLimit           = 10 * time.Minute
	LongestCallLimit       = 24 * time.Hour
	DefaultMaxPromptTokens = 32_000
	DefaultMaxChunks       = 512
	DefaultInFlight        = 128
	DefaultAttempts        = 3
)
