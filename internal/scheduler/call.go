package scheduler

import (
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
)

// Call is one opaque request as it arrived at a router.
type Call struct {
	// ID is set by the origin and used for one call only.
	ID string `json:"id"`
	// Host and Path select the route.
	Host string `json:"host"`
	Path string `json:"path"`
	// Key is the client's secret, which identifies its tenant; empty if the client sent none.
	Key string `json:"key,omitempty"`
	// Model names the requested model weights; empty for any.
	Model string `json:"model,omitempty"`
	// Segments is the chain of segments that the prompt consists of, in order. The last segment
	// belongs to this call only.
	Segments []Segment `json:"parts,omitempty"`
	// PromptTokens and OutputTokens are the lengths that the origin states.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	OutputTokens int `json:"output_tokens,omitempty"`
	// Bytes is the size of the request body.
	Bytes int `json:"bytes,omitempty"`
	// Deadline is the origin's deadline; zero if it has none. The route's timeout may be sooner.
	Deadline time.Time `json:"ends,omitzero"`
	// Resumes is set if the origin resumes an earlier stream after one of its events.
	Resumes bool `json:"resumes,omitempty"`
}

// Segment is one segment of a prompt's chain. All segments but the last may be shared with other
// prompts.
type Segment struct {
	ID     uint64 `json:"id"`
	Tokens int    `json:"tokens"`
}

// chainKey returns the key by which a call's home servers are selected: the last segment that other
// calls may share, or the only segment, or, for a call without segments, the hash of its ID.
func (c *Call) chainKey() uint64 {
	switch length := len(c.Segments); length {
	case 0:
		return membership.Weight("call", c.ID)
	case 1:
		return c.Segments[0].ID
	default:
		return c.Segments[length-2].ID
	}
}

// sharedTokens returns the number of tokens in the segments that other calls may share.
func (c *Call) sharedTokens() int {
	tokens := 0
	for position := 0; position < len(c.Segments)-1; position++ {
		tokens += c.Segments[position].Tokens
	}
	return tokens
}

// CallState is a scheduler's state of one admitted call. It is not safe for concurrent use.
type CallState struct {
	call      *Call
	routeRule *routeRule
	service   *config.Service
	// tenant is the tenant whose client sent the call; nil if calls need no key or the client sent
	// none.
	tenant *config.Tenant
	// key is the hash of the call's ID, used in rendezvous hashing.
	key      uint64
	deadline time.Time

	// dispatch is the dispatch in flight; its backend is nil if there is none.
	dispatch dispatch
	// stalled is the dispatch whose stream has stalled, while other servers are asked to take the call over;
	// its backend is nil if there is none. It counts as an attempt.
	stalled dispatch
	// attempts is how many dispatches count as attempts: all that reached a server, except for
	// the first prefill that a server completed. chargedAttempts is how many of the attempts have
	// been charged to the retry budget.
	attempts        int
	chargedAttempts int
	// prefillCompleted is set once a prefill was completed, mayHaveRun once a run may have begun,
	// streamBegun once events of a stream were forwarded.
	prefillCompleted bool
	mayHaveRun       bool
	streamBegun      bool
	// noTransfer is set once a KV cache transfer has failed or the call's KV cache was released
	// unused; the call is not prefilled again then.
	noTransfer bool
	// prefillServer is the server that completed the prefill. source is the KV cache of that prefill
	// while no run uses the cache. releasable are KV caches that no run will use and that have to be
	// released.
	prefillServer *backend
	source        *Source
	releasable    []Source
	// backlogEntry is the call's entry in a backlog count; nil if there is none.
	backlogEntry *backlogEntry
	// avoided are the servers that failed the call.
	avoided []*backend
	ended   bool
	// reserved is set while the retry budget holds a reserved retry for the call.
	reserved bool
}

// dispatch is one request to one server for a call.
type dispatch struct {
	backend *backend
	kind    DecisionKind
	sent    time.Time
	source  *Source
	// uncached is the estimated number of prompt tokens that the server has to read; tokens is
	// the KV cache memory that the call takes up, in tokens.
	uncached int
	tokens   int
	// expected is the expected latency until the first event, or until the end of a prefill.
	expected time.Duration
	// countedAttempt is set if a prefill was counted as an attempt when it was sent.
	countedAttempt bool
	// began is set once the answer's first event was received, reportedStall once the server's health was
	// told that the stream has stalled.
	began         bool
	reportedStall bool
	// memoryTotal is the server's KV cache memory in tokens; cachedBefore is how many of the
	// prompt's tokens counted as cached there before the dispatch.
	memoryTotal, cachedBefore int
}

// Route returns the route that the call matched.
func (state *CallState) Route() *config.Route { return state.routeRule.route }

func (state *CallState) avoids(b *backend) bool {
	for _, avoided := range state.avoided {
		if avoided == b || avoided.serverState == b.serverState {
			return true
		}
	}
	return false
}

// idempotent reports whether the call may run more than once.
func (state *CallState) idempotent() bool {
	return state.routeRule.calls.Idempotent || state.routeRule.calls.Streams && state.routeRule.calls.Resumable
}

// tokens returns the KV cache memory, in tokens, that the call takes up at the server that generates
// its answer.
func (state *CallState) tokens() int { return state.call.PromptTokens + state.call.OutputTokens }
