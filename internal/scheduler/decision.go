package scheduler

import (
	"time"

	"seamloom.example/seamloom/internal/backlog"
	"seamloom.example/seamloom/internal/membership"
)

// Decision is the next step of a call.
type Decision struct {
	Kind       DecisionKind  `json:"kind"`
	Cause      Cause         `json:"cause,omitempty"`
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Reason is the reason why an admitted call is not retried, or NoCapacity for a call that was
	// not admitted because capacity is short.
	Reason Reason            `json:"reason,omitempty"`
	Server membership.Server `json:"server,omitzero"`
	Source *Source           `json:"source,omitempty"`
	// Deadline is when the server's work has to end at the latest. The remaining time is sent to
	// the server with the request.
	Deadline time.Time `json:"ends,omitzero"`
	// ResponseTimeout ends a dispatch whose server sends nothing for this length of time; zero means
	// that only Deadline ends the dispatch.
	ResponseTimeout time.Duration `json:"patience,omitempty"`
	// StreamTimeout is the length of time without an event after which a stream that has begun counts as
	// Stalled, so that another server may take the call over; zero means no limit. A dispatch whose
	// stream is to take a stalled one over is ended when it has no event for this length of time.
	StreamTimeout time.Duration `json:"silence,omitempty"`
	// Priority is passed to the server; 0 is the highest, and -1 is not sent.
	Priority int `json:"urgency,omitempty"`
	// Tenant is the value of the header that names the call's tenant to the server; empty if no such
	// header is sent.
	Tenant string `json:"tenant,omitempty"`
	// BacklogRequests are requests to the owners of backlog counts, each to the owner of its group.
	BacklogRequests []backlog.Request `json:"-"`
	// Release are KV caches that no run will use and that have to be released at their servers.
	Release []Source `json:"free,omitempty"`
}

// DecisionKind names the next step of a call.
type DecisionKind string

const (
	// Refuse ends the call with a response that the router makes itself. Cause is the reason, and
	// RetryAfter is how long the origin should wait before it retries.
	Refuse DecisionKind = "refuse"
	// QueryBacklog sends BacklogRequests to the owners of backlog counts; BacklogReported takes
	// their responses.
	QueryBacklog DecisionKind = "ask"
	// Prefill makes Server read the prompt.
	Prefill DecisionKind = "read"
	// Generate makes Server generate the answer, with the KV cache from Source; if Source is nil,
	// Server reads the prompt itself.
	Generate DecisionKind = "run"
	// Continue keeps reading the call's stalled stream, because no other server has taken the call over.
	Continue DecisionKind = "continue"
	// PassThrough forwards the server's error response to the origin unchanged.
	PassThrough DecisionKind = "through"
	// BreakStream ends a stream in a way that shows the origin that it is incomplete.
	BreakStream DecisionKind = "break"
	// Done means that nothing is left to do.
	Done DecisionKind = "done"
)

// SendsOrReads reports whether the call goes on with a dispatch, whose outcome is to be passed to Ended.
func (k DecisionKind) SendsOrReads() bool { return k == Prefill || k == Generate || k == Continue }

// Cause is the reason why a call is refused, as its origin sees it.
type Cause string

const (
	// NoRoute: no route of the configuration in force matches the host and path.
	NoRoute Cause = "no_route"
	// NotReady: the router has no configuration or no servers yet, may not serve calls because it has
	// no lease, or could not learn in time whether the tenant's rate limit allows the call.
	NotReady Cause = "not_ready"
	// Unauthenticated: the call's key is unknown, or the call has no key and its route is not
	// public.
	Unauthenticated Cause = "unauthenticated"
	// OverLimit: the call's tenant has sent as many calls as its limit allows.
	OverLimit Cause = "over_limit"
	// Saturated: no server has capacity in time.
	Saturated Cause = "full"
	// Draining: the router is shutting down and admits no more calls.
	Draining Cause = "leaving"
	// DeadlinePassed: the deadline has passed and the call never ran.
	DeadlinePassed Cause = "late"
	// OutcomeUnknown: the call may have run, and the router has no answer to forward.
	OutcomeUnknown Cause = "broken"
	// OutcomeUnknownLate: the deadline passed while the call may have been running.
	OutcomeUnknownLate Cause = "broken_late"
)

// NeverRan reports whether a refusal for this cause guarantees that the call has not run and
// never will.
func (c Cause) NeverRan() bool { return c != OutcomeUnknown && c != OutcomeUnknownLate }

// Reason is the rule of the router that ended a call, for metrics and logs.
type Reason string

const (
	// NoCapacity: no eligible server has capacity in time.
	NoCapacity Reason = "no_place"
	// AttemptsUsed: the route allows no further attempt.
	AttemptsUsed Reason = "tries_used"
	// BudgetUsed: the retry budget is used up.
	BudgetUsed Reason = "budget_used"
	// MayHaveRun: a server may have begun a call that must not run twice, or has begun a stream
	// that can't be resumed.
	MayHaveRun Reason = "may_have_run"
	// TooCostly: the only possible retry would harm other calls more than it helps this one.
	TooCostly Reason = "too_dear"
	// DeadlineReached: the call's deadline has passed.
	DeadlineReached Reason = "time_used"
)

// Source names a prompt's KV cache at the server that computed it.
type Source struct {
	Address string `json:"address"`
	Handle  string `json:"handle"`
}
