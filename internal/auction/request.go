package auction

import (
	"sort"
	"sync/atomic"
	"time"
)

// Request is one client's request for a streamed reply.
type Request struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// Client names who asks; routes may match on it.
	Client string `json:"origin,omitempty"`
	// Idempotent allows running the request again after a server may have started it.
	// Any other request is claimed at the primary before its first dispatch.
	Idempotent bool `json:"repeatable"`
	// Deadline is the moment past which nothing is dispatched any more; the zero time
	// asks for the service's own time limit, and a later deadline is cut to it.
	Deadline     time.Time `json:"limit"`
	Prompt       string    `json:"prompt,omitempty"`
	PromptTokens int       `json:"prompt_tokens"`
	// Prefix identifies the prompt's shared beginning in the servers' prefix caches, and
	// PrefixTokens is its length.
	Prefix       string `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefix_tokens,omitempty"`
	// Chunks is how many chunks the reply is to have; one takes a token of KV cache.
	Chunks int `json:"pieces"`
}

// Outcome is how a step outside the core ended: a claim, a prefill or a decode.
type Outcome string

// The outcomes of a step.
const (
	OutcomeDone Outcome = "done"
	// OutcomeNotStarted is reported only when the server certainly did not start.
	OutcomeNotStarted Outcome = "not_started"
	OutcomeFailed     Outcome = "failed"
	// OutcomeUnknown means that the server may or may not have run the step.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeDuplicate and OutcomeTooOld refuse a claim: the request's ID was claimed
	// before, or the request is older than what the claims are kept for.
	OutcomeDuplicate Outcome = "duplicate"
	OutcomeTooOld    Outcome = "too_old"
	// OutcomeHandleExpired means that the prefill server no longer keeps the KV cache.
	OutcomeHandleExpired Outcome = "handle_lapsed"
)

// FinalStatus is how a reply ends.
type FinalStatus string

// The final statuses of a reply.
const (
	Complete FinalStatus = "complete"
	// Refused means that the request never ran and never will.
	Refused FinalStatus = "refused"
	Failed  FinalStatus = "failed"
	// Unknown means that a server may have run the request, and nobody can tell.
	Unknown FinalStatus = "unknown"
)

// phase is what a request in flight waits for.
type phase uint8

const (
	// claiming waits for the primary's answer to the claim.
	claiming phase = iota
	// readyToPrefill waits for a lease to dispatch its prefill under.
	readyToPrefill
	prefilling
	// readyToDecode waits for a lease, or for capacity, to dispatch its decode.
	readyToDecode
	decoding
)

// requestState is what the dispatcher knows of one admitted request.
type requestState struct {
	request *Request
	route   *RouteDecision
	phase   phase
	// run counts the prefills that were dispatched; each makes a KV cache of its own.
	run int
	bid Bid
	// reserved tells that the bid's decode slot is reserved in the market.
	reserved bool
	// tried are the servers that are not to be asked again.
	tried map[string]bool
	// attempts counts the dispatches that count against the service's attempts.
	attempts int
	// decodeDispatched tells that a decode server was asked in this run: a further run
	// asks a prefill and a decode server again, and costs two retries.
	decodeDispatched bool
	// mayBeRunning tells that a server may be at work on it now, mayHaveRun that one may
	// have started it at any time; a request that is not idempotent is then not retried.
	mayBeRunning bool
	mayHaveRun   bool
	// handle names the KV cache that this run's prefill made.
	handle string
	// chunks counts the chunks that were sent on.
	chunks int
	// serverDeadline is until when the current server must make progress.
	serverDeadline time.Time
	// leaseMissingSince is when the request began to wait for a lease, or zero.
	leaseMissingSince time.Time
}

// dispatched tells whether a server was sent the request and has not answered yet.
func (r *requestState) dispatched() bool { return r.phase == prefilling || r.phase == decoding }

// currentServer is the server of the pair that the request's phase is about; nil before
// the first bid.
func (r *requestState) currentServer() *ServerState {
	if r.phase == decoding {
		return r.bid.Decode
	}
	return r.bid.Prefill
}

// sortedIDs keeps the order of decisions the same for the same events.
func sortedIDs(requests map[string]*requestState) []string {
	if len(requests) == 0 {
		return nil
	}
	ids := make([]string, 0, len(requests))
	for id := range requests {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// Counters counts requests: those that arrived, and those that ended by final status.
type Counters struct {
	Arrived  atomic.Int64
	Complete atomic.Int64
	Refused  atomic.Int64
	Failed   atomic.Int64
	Unknown  atomic.Int64
}

func (c *Counters) count(final FinalStatus) {
	switch final {
	case Complete:
		c.Complete.Add(1)
	case Refused:
		c.Refused.Add(1)
	case Failed:
		c.Failed.Add(1)
	case Unknown:
		c.Unknown.Add(1)
	}
}
