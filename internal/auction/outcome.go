package auction

// Outcome is how a step outside the core ended.
type Outcome string

// The outcomes. NotStarted is said only when it is certain.
const (
	Done       Outcome = "done"
	NotStarted Outcome = "not_started"
	Broken     Outcome = "failed"
	Uncertain  Outcome = "unknown"
	Duplicate  Outcome = "duplicate"
	TooOld     Outcome = "too_old"
	Lapsed     Outcome = "handle_lapsed"
)
