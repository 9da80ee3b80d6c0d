package scheduler

import (
	"time"

	"seamloom.example/seamloom/internal/backlog"
	"seamloom.example/seamloom/internal/membership"
)

// Decision is the next thing to be done with a call.
type Decision struct {
	Kind       DecisionKind  `json:"kind"`
	Cause      Cause         `json:"cause,omitempty"`
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Reason is why an admitted call was given up, or why one was not admitted for want of
	// capacity.
	Reason Reason            `json:"reason,omitempty"`
	Server membership.Server `json:"server,omitzero"`
	Source *Source           `json:"source,omitempty"`
	// Deadline is when the server's work is to end at the latest: what is left of it travels to
	// the server with the request.
	Deadline time.Time `json:"ends,omitzero"`
	// ResponseTimeout ends a dispatch whose server sends nothing; zero means only Deadline does.
	ResponseTimeout time.Duration `json:"patience,omitempty"`
	// StreamTimeout ends a dispatch whose stream has begun and then has no event for so long, so
	// that it goes on elsewhere; zero means only Deadline does.
	StreamTimeout time.Duration `json:"silence,omitempty"`
	// Priority is passed to the server, 0 first; -1 leaves it out.
	Priority int `json:"urgency,omitempty"`
	// Tenant is how the server is told whose client sent the call; empty: it is not told.
	Tenant string `json:"tenant,omitempty"`
	// BacklogRequests are for the owners of backlog counts, each for the owner of its group.
	BacklogRequests []backlog.Request `json:"-"`
	// Release are KV caches that no run will take and that are to be given back.
	Release []Source `json:"free,omitempty"`
}

// DecisionKind names what is to be done next with a call.
type DecisionKind string

const (
	// Refuse ends the call with a response of our own: Cause says which, RetryAfter when to come
	// back.
	Refuse DecisionKind = "refuse"
	// QueryBacklog sends BacklogRequests to the owners of backlog counts; BacklogReported takes
	// their responses.
	QueryBacklog DecisionKind = "ask"
	// Prefill has Server read the prompt.
	Prefill DecisionKind = "read"
	// Generate has Server make the answer, with the KV cache from Source, or reading the prompt
	// itself if there is none.
	Generate DecisionKind = "run"
	// PassThrough passes the server's own error response to the origin unchanged.
	PassThrough DecisionKind = "through"
	// BreakStream ends a stream so that the origin sees that it is not complete.
	BreakStream DecisionKind = "break"
	// Done means that nothing is left to do.
	Done DecisionKind = "done"
)

// Cause says why a call is refused.
type Cause string

const (
	// NoRoute: no route of the configuration in force has the host and path.
	NoRoute Cause = "no_route"
	// NotReady: the router knows no configuration or no servers yet.
	NotReady Cause = "not_ready"
	// Unauthenticated: the call's key is unknown, or it has none and its route is not public.
	Unauthenticated Cause = "unauthenticated"
	// OverLimit: the call's tenant has sent as many calls as its limit allows.
	OverLimit Cause = "over_limit"
	// Saturated: no server has capacity in time.
	Saturated Cause = "full"
	// Draining: the router admits no more calls.
	Draining Cause = "leaving"
	// DeadlinePassed: the deadline has passed and the call never ran.
	DeadlinePassed Cause = "late"
	// OutcomeUnknown: the call may have run and there is no answer to give.
	OutcomeUnknown Cause = "broken"
	// OutcomeUnknownLate: the deadline passed while the call may have been running.
	OutcomeUnknownLate Cause = "broken_late"
)

// NeverRan tells whether a refusal promises that the call has not run and never will.
func (c Cause) NeverRan() bool { return c != OutcomeUnknown && c != OutcomeUnknownLate }

// Reason says which of the router's own rules ended a call, for metrics and logs.
type Reason string

const (
	// NoCapacity: no eligible server has capacity in time.
	NoCapacity Reason = "no_place"
	// AttemptsUsed: the route allows no further attempt.
	AttemptsUsed Reason = "tries_used"
	// BudgetUsed: the retry budget is used up.
	BudgetUsed Reason = "budget_used"
	// MayHaveRun: a server may have begun what must run once, or has begun a stream that can't be
	// resumed.
	MayHaveRun Reason = "may_have_run"
	// TooCostly: the only server left would harm other calls more than it helps this one.
	TooCostly Reason = "too_dear"
	// DeadlineReached: the call's deadline has passed.
	DeadlineReached Reason = "time_used"
)

// Source names a prompt's KV cache at the server that computed it.
type Source struct {
	Address string `json:"address"`
	Handle  string `json:"handle"`
}
