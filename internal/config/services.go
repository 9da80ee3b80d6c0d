package config

import (
	"time"

	"github.com/valyala/fastjson"
)

// Service is a service for streamed requests that operators offer to clients.
type Service struct {
	Name string
	// Timeout bounds a request from its arrival to its last chunk; default
	// DefaultTimeout, at most MaxTimeout.
	Timeout time.Duration
	// MaxPromptTokens is the maximum length of a prompt, in tokens; default
	// DefaultMaxPromptTokens.
	MaxPromptTokens int
	// MaxChunks is the maximum length of a reply, in chunks; default DefaultMaxChunks.
	MaxChunks int
	// MaxInFlight is the maximum number of the service's requests in flight; default DefaultInFlight.
	MaxInFlight int
	// MaxAttempts is how many servers one request may be sent to, the first included;
	// default DefaultAttempts.
	MaxAttempts int
	// IDsUsedOnce is set if clients use a new id for every attempt. At-most-once execution of a
	// request then needs no claim by a router.
	IDsUsedOnce bool
	// HealthPath is the path at which a server answers health checks; empty means none.
	HealthPath string
	// Connections is how many connections each server accepts from all its clients together;
	// zero means unknown.
	Connections int
	// Warming limits the load of a server that has just started.
	Warming Warming
	// Engine describes each server of the service.
	Engine Engine
}

// Warming defines how long a server warms up after its start, and how many requests per
// second it accepts from all routers together during that time. If both are zero, the server
// does not warm up after its start. If RequestsPerSecond is zero, each router sends at most one call
// per second to a server that counts as warming, for example after the evacuation of its zone has ended.
type Warming struct {
	Duration          time.Duration
	RequestsPerSecond float64
}

// Engine describes the capabilities of a service's servers. A zero field means unknown.
type Engine struct {
	// Slots is how many requests one server runs at once.
	Slots int
	// MemoryTokens is the capacity of a server's KV cache, in tokens.
	MemoryTokens int
	// TokenBytes is the size of one token's KV entry, in bytes.
	TokenBytes int
	// LinkBitsPerSecond is the bandwidth for transfers of KV entries between servers.
	LinkBitsPerSecond float64
	// TokensPerChunk is how many tokens a decode server puts into one chunk.
	TokensPerChunk int
	// HandleLifetime is how long the handle of a prefill result stays valid.
	HandleLifetime time.Duration
	// RoleChange is how long a server takes to change between prefill and decode.
	RoleChange time.Duration
	// Models are the names of the models that every server of the service offers.
	Models []string
}

// The bounds and defaults of a service. MaxCallTimeout bounds every duration of limits, routes of calls,
// warming and engines.
const (
	DefaultTimeout         = 30 * time.Second
	MaxTimeout             = 10 * time.Minute
	MaxCallTimeout         = 24 * time.Hour
	DefaultMaxPromptTokens = 32_000
	DefaultMaxChunks       = 512
	DefaultInFlight        = 128
	DefaultAttempts        = 3
)

func (c *checker) service(name string, value *fastjson.Value, at pointer) {
	service := Service{
		Name:            name,
		Timeout:         DefaultTimeout,
		MaxPromptTokens: DefaultMaxPromptTokens,
		MaxChunks:       DefaultMaxChunks,
		MaxInFlight:     DefaultInFlight,
		MaxAttempts:     DefaultAttempts,
	}
	var milliseconds int
	c.fields(value, at, func(name string, value *fastjson.Value, at pointer) bool {
		switch name {
		case "limit_milliseconds":
			c.integer(&milliseconds, 1, int(MaxTimeout/time.Millisecond), value, at)
		case "max_prompt_tokens":
			c.integer(&service.MaxPromptTokens, 1, 10_000_000, value, at)
		case "max_pieces":
			c.integer(&service.MaxChunks, 1, 1_000_000, value, at)
		case "in_flight":
			c.integer(&service.MaxInFlight, 1, 1_000_000, value, at)
		case "tries":
			c.integer(&service.MaxAttempts, 1, 10, value, at)
		case "health":
			c.path(&service.HealthPath, value, at)
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
		service.Timeout = time.Duration(milliseconds) * time.Millisecond
	}
	c.configuration.Services[service.Name] = service
}

func (c *checker) warming(warming *Warming, value *fastjson.Value, at pointer) {
	c.fields(value, at, func(name string, value *fastjson.Value, at pointer) bool {
		switch name {
		case "length_milliseconds":
			c.milliseconds(&warming.Duration, 0, MaxCallTimeout, value, at)
		case "per_second":
			c.number(&warming.RequestsPerSecond, value, at)
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
			c.number(&engine.LinkBitsPerSecond, value, at)
		case "tokens_a_piece":
			c.integer(&engine.TokensPerChunk, 0, 1_000_000, value, at)
		case "handle_life_milliseconds":
			c.milliseconds(&engine.HandleLifetime, 0, MaxCallTimeout, value, at)
		case "part_change_milliseconds":
			c.milliseconds(&engine.RoleChange, 0, MaxCallTimeout, value, at)
		case "models":
			c.texts(&engine.Models, value, at)
		default:
			return false
		}
		return true
	})
}
