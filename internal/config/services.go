package config

import (
	"time"

	"github.com/valyala/fastjson"
)

// Service is one kind of streamed request that operators offer.
type Service struct {
	Name string
	// Limit bounds a request from its arrival to its last chunk; default
	// DefaultLimit, at most LongestLimit.
	Limit time.Duration
	// MaxPromptTokens is the longest prompt that is accepted, in tokens; default
	// DefaultMaxPromptTokens.
	MaxPromptTokens int
	// MaxChunks is the longest reply, in chunks; default DefaultMaxChunks.
	MaxChunks int
	// InFlight bounds the service's requests in flight; default DefaultInFlight.
	InFlight int
	// Attempts is how many servers one request may be sent to, the first included;
	// default DefaultAttempts.
	Attempts int
	// IDsUsedOnce states that clients give every attempt an id of its own: at most one
	// run then needs no claim.
	IDsUsedOnce bool
	// Health is the path at which a server answers health checks; empty means none.
	Health string
	// Connections is how many connections each server accepts from all callers together;
	// zero means unknown.
	Connections int
	// Warming limits the load of a server that has just started.
	Warming Warming
	// Engine describes each server of the service.
	Engine Engine
}

// Warming says how long a server warms up after its start, and how many requests a
// second it takes meanwhile from all routers together. Both zero: it does not warm up.
type Warming struct {
	Length    time.Duration
	PerSecond float64
}

// Engine is what operators state of a service's servers. A zero means unknown.
type Engine struct {
	// Slots is how many requests one server runs at once.
	Slots int
	// MemoryTokens is the capacity of a server's KV cache, in tokens.
	MemoryTokens int
	// TokenBytes is the size of one token's KV entry, in bytes.
	TokenBytes int
	// LinkBits is the bandwidth for transfers of KV entries between servers.
	LinkBits float64
	// TokensAChunk is how many tokens a decode server puts into one chunk.
	TokensAChunk int
	// HandleLifetime is how long the handle of a prefill result stays valid.
	HandleLifetime time.Duration
	// PartChange is how long a server takes to change between prefill and decode.
	PartChange time.Duration
	// Models are the names of the models that every server of the service has.
	Models []string
}

// The bounds and defaults of a service; the users' pages leave the values to us.
// LongestCallLimit bounds every duration of a route of calls.
const (
	DefaultLimit           = 30 * time.Second
	LongestLimit           = 10 * time.Minute
	LongestCallLimit       = 24 * time.Hour
	DefaultMaxPromptTokens = 32_000
	DefaultMaxChunks       = 512
	DefaultInFlight        = 128
	DefaultAttempts        = 3
)

func (c *checker) service(name string, value *fastjson.Value, at pointer) {
	service := Service{
		Name:            name,
		Limit:           DefaultLimit,
		MaxPromptTokens: DefaultMaxPromptTokens,
		MaxChunks:       DefaultMaxChunks,
		InFlight:        DefaultInFlight,
		Attempts:        DefaultAttempts,
	}
	var milliseconds int
	c.fields(value, at, func(name string, value *fastjson.Value, at pointer) bool {
		switch name {
		case "limit_milliseconds":
			c.integer(&milliseconds, 1, int(LongestLimit/time.Millisecond), value, at)
		case "max_prompt_tokens":
			c.integer(&service.MaxPromptTokens, 1, 10_000_000, value, at)
		case "max_pieces":
			c.integer(&service.MaxChunks, 1, 1_000_000, value, at)
		case "in_flight":
			c.integer(&service.InFlight, 1, 1_000_000, value, at)
		case "tries":
			c.integer(&service.Attempts, 1, 10, value, at)
		case "health":
			c.path(&service.Health, value, at)
		case "circuits":
			c.integer(&service.Connections, 0, 1_000_000, value, at)
		case "warming":
			c.warming(&service.Warming, value, at)
		case "engine":
			c.engine(&service.Engine, value, at)
		case "ids_used_once":
			c.boolean(&service.IDsUsedOnce, value, at)
		case "annotations":
			c.annotations(value, at)
		default:
			return false
		}
		return true
	})
	if milliseconds > 0 {
		service.Limit = time.Duration(milliseconds) * time.Millisecond
	}
	c.configuration.Services[service.Name] = service
}

func (c *checker) warming(warming *Warming, value *fastjson.Value, at pointer) {
	c.fields(value, at, func(name string, value *fastjson.Value, at pointer) bool {
		switch name {
		case "length_milliseconds":
			c.milliseconds(&warming.Length, 0, LongestCallLimit, value, at)
		case "per_second":
			c.number(&warming.PerSecond, value, at)
		default:
			return false
		}
		return true
	})
}

func (c *checker) engine(engine *Engine, value *fastjson.Value, at pointer) {
	c.fields(value, at, func(name string, value *fastjson.Value, at pointer) bool {
		switch name {
		case "slots":
			c.integer(&engine.Slots, 0, 1_000_000, value, at)
		case "memory_tokens":
			c.integer(&engine.MemoryTokens, 0, 1<<40, value, at)
		case "token_bytes":
			c.integer(&engine.TokenBytes, 0, 1<<40, value, at)
		case "link_bits":
			c.number(&engine.LinkBits, value, at)
		case "tokens_a_piece":
			c.integer(&engine.TokensAChunk, 0, 1_000_000, value, at)
		case "handle_life_milliseconds":
			c.milliseconds(&engine.HandleLifetime, 0, LongestCallLimit, value, at)
		case "part_change_milliseconds":
			c.milliseconds(&engine.PartChange, 0, LongestCallLimit, value, at)
		case "models":
			c.texts(&engine.Models, value, at)
		default:
			return false
		}
		return true
	})
}
