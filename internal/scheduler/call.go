package scheduler

import (
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
)

// Call is one opaque request as it arrived at a router.
type Call struct {
	// ID is the origin's, used once.
	ID string `json:"id"`
	// Host and Path find the route.
	Host string `json:"host"`
	Path string `json:"path"`
	// Key is the client's secret, by which its tenant is found; empty if it showed none.
	Key string `json:"key,omitempty"`
	// Model names the weights wanted; empty for any.
	Model string `json:"model,omitempty"`
	// Segments is the chain of segments that the prompt consists of, in order; the last one is
	// the call's own.
	Segments []Segment `json:"parts,omitempty"`
	// PromptTokens and OutputTokens are the origin's own figures.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	OutputTokens int `json:"output_tokens,omitempty"`
	// Bytes is the size of the body.
	Bytes int `json:"bytes,omitempty"`
	// Deadline is the origin's; the route's may be sooner. Zero is none.
	Deadline time.Time `json:"ends,omitzero"`
	// Resumes tells that the origin goes on after an event of an earlier stream.
	Resumes bool `json:"resumes,omitempty"`
}

// Segment is one segment of a prompt's chain, shared with other prompts or the call's own.
type Segment struct {
	ID     uint64 `json:"id"`
	Tokens int    `json:"tokens"`
}

// chainKey is what a call's home servers go by: the last segment that it shares with others.
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

// sharedTokens are the tokens of the segments that other calls may have as well.
func (c *Call) sharedTokens() int {
	tokens := 0
	for position := 0; position < len(c.Segments)-1; position++ {
		tokens += c.Segments[position].Tokens
	}
	return tokens
}

// CallState is what a scheduler knows of one call that it admitted. One thread uses it at a
// time.
type CallState struct {
	call      *Call
	routeRule *routeRule
	service   *config.Service
	// tenant is whose client sent the call; nil if calls need no key or it showed none.
	tenant *config.Tenant
	// key stands for the call's id in rendezvous hashing.
	key      uint64
	deadline time.Time

	// dispatch is the one in flight; its backend is nil if there is none.
	dispatch dispatch
	// attempts is how many dispatches count as attempts: all that reached a server but the first
	// prefill that one completed. paidAttempts is how many of them the retry budget has counted.
	attempts     int
	paidAttempts int
	// prefillTaken tells that a prefill was completed, mayHaveRun that a run may have begun,
	// streamBegun that a stream's events were forwarded.
	prefillTaken bool
	mayHaveRun   bool
	streamBegun  bool
	// noTransfer tells that the KV cache could not be had from a prefill server, so that the call
	// is not prefilled again.
	noTransfer bool
	// prefillServer completed the prefill; source is its KV cache while no run has it, and
	// releasable are KV caches that may be left over and are to be given back.
	prefillServer *backend
	source        *Source
	releasable    []Source
	// backlogEntry is what is counted for the call at a backlog owner.
	backlogEntry *backlogEntry
	// avoided are the servers that failed the call.
	avoided []*backend
	ended   bool
	// reserved tells that the retry budget holds a retry for the call.
	reserved bool
}

// dispatch is what one server is doing for a call.
type dispatch struct {
	backend *backend
	kind    DecisionKind
	sent    time.Time
	source  *Source
	// uncached are the prompt tokens that the server has to read, by estimate; tokens is the KV
	// cache memory that the call takes up, in tokens.
	uncached int
	tokens   int
	expected time.Duration
	// countedAttempt tells that a prefill was counted as an attempt when it was sent.
	countedAttempt bool
	// began tells that the answer's first event came.
	began bool
	// memoryTotal is the server's KV cache memory in tokens, cachedBefore how many of the
	// prompt's tokens counted as cached there before the dispatch.
	memoryTotal, cachedBefore int
}

// Route is the route that the call came on.
func (t *CallState) Route() *config.Route { return t.routeRule.route }

func (t *CallState) avoids(b *backend) bool {
	for _, avoided := range t.avoided {
		if avoided == b || avoided.serverState == b.serverState {
			return true
		}
	}
	return false
}

// idempotent tells whether the call may run more than once.
func (t *CallState) idempotent() bool {
	return t.routeRule.calls.Idempotent || t.routeRule.calls.Streams && t.routeRule.calls.Resumable
}

// tokens is the KV cache memory that the call takes up at the server that makes its answer.
func (t *CallState) tokens() int { return t.call.PromptTokens + t.call.OutputTokens }
