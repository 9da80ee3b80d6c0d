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
	// Model names the weights wanted.
	Model string `json:"model,omitempty"`
	// Segments is the prompt's chain, in order; the last part is the call's own.
	Segments []Segment `json:"parts,omitempty"`
	// PromptTokens and OutputTokens are the origin's own figures.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	OutputTokens int `json:"output_tokens,omitempty"`
	// Bytes is the size of the body.
	Bytes int `json:"bytes,omitempty"`
	// Deadline is the origin's limit; the route's may be sooner.
	Deadline time.Time `json:"ends,omitzero"`
	// Resumes tells that the origin goes on behind an event of an earlier stream.
	Resumes bool `json:"resumes,omitempty"`
}

// Role is one part of a prompt's chain, shared with other prompts or the call's own.
type Segment struct {
	ID     uint64 `json:"id"`
	Tokens int    `json:"tokens"`
}

// chain is what a call's home goes by: the last part that it shares with others.
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

// shared are the tokens of the parts that other calls may have as well.
func (c *Call) sharedTokens() int {
	tokens := 0
	for position := 0; position < len(c.Segments)-1; position++ {
		tokens += c.Segments[position].Tokens
	}
	return tokens
}

// CallState is what a window knows of one call that it admitted. One thread holds it at a
// time.
type CallState struct {
	call      *Call
	routeRule *routeRule
	service   *config.Service
	// mark is a number that stands for the call's id.
	key      uint64
	arrived  time.Time
	deadline time.Time

	// dispatch is what is under way now.
	dispatch dispatch
	// counted is how many dispatches count as tries: all that reached a server but
	// the first read that one took up. paid is how many of them the retry budget
	// has counted.
	attempts     int
	paidAttempts int
	// taken tells that a server took up a read, ran that the call may have run,
	// begun that a stream's events were forwarded.
	prefillTaken bool
	mayHaveRun   bool
	streamBegun  bool
	// direct tells that the prompt's memory could not be had from a reader.
	noTransfer bool
	// reader read the prompt; source is the memory that has not been taken yet, and
	// spent is memory that may be left over and is to be given back.
	prefillServer *backend
	source        *Source
	releasable    []Source
	// booked is what a keeper counts for the call.
	backlogEntry *backlogEntry
	// avoided were tried for this call in vain.
	avoided []*backend
	ended   bool
	// reserved tells that a retry is kept in the retry budget.
	reserved bool
}

// dispatch is what one server is doing for a call.
type dispatch struct {
	backend *backend
	kind    DecisionKind
	sent    time.Time
	source  *Source
	// unread are the tokens believed to be read now, tokens the memory taken up.
	uncached int
	tokens   int
	expected time.Duration
	// counted tells that a read was counted as a try when it was sent.
	countedAttempt bool
	// began tells that the answer's first event came.
	began bool
	// room is the memory of the server, known what of the prompt it was believed to keep.
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

// repeatable tells whether the call may run more than once.
func (t *CallState) idempotent() bool {
	return t.routeRule.calls.Idempotent || t.routeRule.calls.Streams && t.routeRule.calls.Resumable
}

// tokens is the memory that the call takes up at the server that makes its answer.
func (t *CallState) tokens() int { return t.call.PromptTokens + t.call.OutputTokens }
