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
	// Client is the name of the client; routes may match on it.
	Client string `json:"origin,omitempty"`
	// Idempotent allows running the request again after a server may have started it.
	// Any other request is claimed at the primary before its first dispatch.
	Idempotent bool `json:"repeatable"`
	// Deadline is the time after which the request is not dispatched. The service's timeout
	// limits it; the zero time asks for the service's timeout.
	Deadline     time.Time `json:"limit"`
	Prompt       string    `json:"prompt,omitempty"`
	PromptTokens int       `json:"prompt_tokens"`
	// Prefix identifies the shared prefix of the prompt in the servers' prefix caches, and
	// PrefixTokens is its length.
	Prefix       string `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefix_tokens,omitempty"`
	// Chunks is the requested number of chunks of the reply; each takes one token of KV
	// cache.
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
	// OutcomeDuplicate means that the claim was refused because the request's ID was
	// claimed before.
	OutcomeDuplicate Outcome = "duplicate"
	// OutcomeTooOld means that the claim was refused because the request is older than the
	// claims that the primary retains, or because its ID has a time in the future.
	OutcomeTooOld Outcome = "too_old"
	// OutcomeHandleExpired means that the prefill server no longer has the KV cache.
	OutcomeHandleExpired Outcome = "handle_lapsed"
)

// FinalStatus is how a reply ends.
type FinalStatus string

// The final statuses of a reply.
const (
	Complete FinalStatus = "complete"
	// Refused means that the request never ran and never will. If the cause is failure.Duplicate,
	// an earlier request with the same ID may have run.
	Refused FinalStatus = "refused"
	Failed  FinalStatus = "failed"
	// Unknown means that a server may or may not have run the request.
	Unknown FinalStatus = "unknown"
)

// phase is the step that a request in flight has reached.
type phase uint8

const (
	// claiming waits for the primary's answer to the claim.
	claiming phase = iota
	// readyToPrefill waits for a lease to dispatch the prefill.
	readyToPrefill
	prefilling
	// readyToDecode waits for a lease or for capacity to dispatch the decode.
	readyToDecode
	decoding
)

// requestState is the dispatcher's state of one admitted request.
type requestState struct {
	request *Request
	route   *RouteDecision
	phase   phase
	// run counts the dispatched prefills; each creates a KV cache of its own.
	run int
	bid Bid
	// reserved is set while the market has the bid's decode slot reserved.
	reserved bool
	// tried holds the names of the servers that the request is not sent to again.
	tried map[string]bool
	// attempts counts the dispatches that MaxAttempts of the service limits: each prefill, and each
	// decode that is retried without another prefill.
	attempts int
	// decodeDispatched is set once the current run was sent to a decode server. Another run
	// then repeats both a prefill and a decode, and costs two retries.
	decodeDispatched bool
	// mayBeRunning is set if a server may be working on the request now.
	mayBeRunning bool
	// mayHaveRun is set if a server may have started the request at any time. A request
	// that is not idempotent is then not retried.
	mayHaveRun bool
	// handle names the KV cache that the current run's prefill created.
	handle string
	// chunks counts the chunks forwarded to the client.
	chunks int
	// serverDeadline is the time by which the current server must make progress; in the phase
	// readyToDecode, it is the time until which the request waits for decode capacity.
	serverDeadline time.Time
	// leaseMissingSince is when the request began to wait for a lease; zero if it does not.
	leaseMissingSince time.Time
}

// dispatched reports whether a server is prefilling or decoding the request.
func (r *requestState) dispatched() bool { return r.phase == prefilling || r.phase == decoding }

// currentServer returns the decode server of the pair while the request is decoding, and the
// prefill server otherwise; nil before the first bid.
func (r *requestState) currentServer() *ServerState {
	if r.phase == decoding {
		return r.bid.Decode
	}
	return r.bid.Prefill
}

// sortedIDs returns the request IDs in sorted order, so that the same events give the same
// decisions in the same order.
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

// Counters counts the requests that arrived, and those that ended by final status.
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
