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
	// Reason is why a call that was admitted was given up, or one was not for want of room.
	Reason Reason            `json:"reason,omitempty"`
	Server membership.Server `json:"server,omitzero"`
	Source *Source           `json:"source,omitempty"`
	// Deadline is when the server's work is to end at the latest: what is left of it
	// travels as the server's limit.
	Deadline time.Time `json:"ends,omitzero"`
	// ResponseTimeout ends a dispatch whose server says nothing; zero means no such end
	// before Ends.
	ResponseTimeout time.Duration `json:"patience,omitempty"`
	// StreamTimeout ends a dispatch whose stream has begun and then brings nothing for so
	// long, so that it goes on elsewhere; zero means no such end before Ends.
	StreamTimeout time.Duration `json:"silence,omitempty"`
	// Priority is passed to the server, 0 first; -1 leaves it out.
	Priority int `json:"urgency,omitempty"`
	// BacklogRequests are for the keepers of counts, each for the one of its group.
	BacklogRequests []backlog.Request `json:"-"`
	// Release are handles that will not be taken and are to be given back.
	Release []Source `json:"free,omitempty"`
}

// DecisionKind names what is to be done next with a call.
type DecisionKind string

const (
	// Refuse ends the call with a word of our own: Cause says which, RetryAfter when
	// to come back.
	Refuse DecisionKind = "refuse"
	// QueryBacklog has the keepers of counts asked Questions; Told takes the answers.
	QueryBacklog DecisionKind = "ask"
	// Prefill has Server read the prompt.
	Prefill DecisionKind = "read"
	// Generate has Server make the answer, with the prompt's memory from Source if there
	// is one.
	Generate DecisionKind = "run"
	// PassThrough passes the server's own failing answer to the origin unchanged.
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
	// Full: no server has room that would be in time.
	Saturated Cause = "full"
	// Leaving: the router lets nothing in any more.
	Draining Cause = "leaving"
	// Late: the limit has passed and the call never ran.
	DeadlinePassed Cause = "late"
	// Broken: the call may have run and there is no answer to give.
	OutcomeUnknown Cause = "broken"
	// OutcomeUnknownLate: the limit passed while the call may have been running.
	OutcomeUnknownLate Cause = "broken_late"
)

// NeverRan tells whether a refusal promises that the call has not run and never will.
func (c Cause) NeverRan() bool { return c != OutcomeUnknown && c != OutcomeUnknownLate }

// Reason says what of a router's own rules ended a call, for metrics and logs.
type Reason string

const (
	// NoCapacity: no server that may be used has room in time.
	NoCapacity Reason = "no_place"
	// AttemptsUsed: the route allows no further server.
	AttemptsUsed Reason = "tries_used"
	// BudgetUsed: the retry budget has no retry.
	BudgetUsed Reason = "budget_used"
	// MayHaveRun: a server may have begun what must run once, or has begun a stream that
	// can't be taken up.
	MayHaveRun Reason = "may_have_run"
	// TooCostly: the only way left would harm other calls more than it helps this one.
	TooCostly Reason = "too_dear"
	// DeadlineReached: the call's time is over.
	DeadlineReached Reason = "time_used"
)

// Source names a prompt's memory at the server that read it.
type Source struct {
	Address string `json:"address"`
	Handle  string `json:"handle"`
}
