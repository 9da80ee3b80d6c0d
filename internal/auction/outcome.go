package auction

// Outcome is how a step outside the core ended.
type Outcome string

// The outcomes. OutcomeNotStarted is said only when it is certain.
const (
	OutcomeDone          Outcome = "done"
	OutcomeNotStarted    Outcome = "not_started"
	OutcomeFailed        Outcome = "failed"
	OutcomeUnknown       Outcome = "unknown"
	OutcomeDuplicate     Outcome = "duplicate"
	OutcomeTooOld        Outcome = "too_old"
	OutcomeHandleExpired Outcome = "handle_lapsed"
)
