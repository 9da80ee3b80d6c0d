package scheduler

import "time"

// Outcome is how a dispatch ended, as observed by the caller of Ended.
type Outcome struct {
	Result Result `json:"result"`
	// Status is the status code of the server's response; zero if there was none.
	Status int `json:"status,omitempty"`
	// Handle names the prompt's KV cache after a Prefill that is Complete.
	Handle string `json:"handle,omitempty"`
	// Load is the load that the server's response states; nil if it states none.
	Load *ResponseLoad `json:"load,omitempty"`
	// Warming is the remaining time of the server's slow start, as stated by its response.
	Warming time.Duration `json:"warming,omitempty"`
	// KeepAlive is how long the connection stays open for further calls; zero if it was closed.
	KeepAlive time.Duration `json:"rests,omitempty"`
	// FirstByte is when the first event or byte of the answer was received; zero if there was
	// none.
	FirstByte time.Time `json:"first,omitzero"`
	// StalledEnded is set if the call's stalled stream (see Stalled) broke off in the meantime.
	StalledEnded bool `json:"stalled_ended,omitempty"`
}

// Result is how a dispatch to a server ended.
type Result string

const (
	// Unreachable: no connection could be opened, or no byte of the request was written.
	Unreachable Result = "unreached"
	// NotStarted: the server guarantees that it did not begin the call and never will.
	NotStarted Result = "not_started"
	// Misdirected: another server has the address.
	Misdirected Result = "misdirected"
	// TimedOut: the request was sent and no response was received; the call may have run.
	TimedOut Result = "silent"
	// Malformed: the received bytes are no response to this request; the call may have run.
	Malformed Result = "spoilt"
	// ErrorResponse: a complete error response was received; the call counts as run.
	ErrorResponse Result = "answered"
	// Interrupted: part of a successful response was forwarded before it broke off.
	Interrupted Result = "cut"
	// Stalled: a stream has begun and has had no event for the decision's StreamTimeout. Its connection stays
	// open: the stream is continued if it has an event before another server has taken the call over, or if no
	// other server takes it. Only the end of the call or of the connection ends it.
	Stalled Result = "stalled"
	// Superseded: the call's stalled stream had an event before this dispatch had one; the dispatch was
	// cancelled. The call may have run.
	Superseded Result = "superseded"
	// Complete: a complete successful response was forwarded or, for a Prefill, Handle names the
	// prompt's KV cache.
	Complete Result = "complete"
	// ClientGone: the origin disconnected.
	ClientGone Result = "gone"
)

// MayHaveRun reports whether the server may have begun the call.
func (r Result) MayHaveRun() bool {
	switch r {
	case Unreachable, NotStarted, Misdirected:
		return false
	}
	return true
}

// ResponseLoad is a server's load as stated by a response, in calls.
type ResponseLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// serverResponded reports whether the server sent anything.
func (o Outcome) serverResponded() bool {
	switch o.Result {
	case Unreachable, TimedOut, Superseded, ClientGone:
		return false
	}
	return true
}

// full reports whether a server that rejected a call had no capacity for it; false if the server
// did not state its load.
func (l *ResponseLoad) full() bool {
	return l != nil && (l.Waiting > 0 || l.Running >= l.Slots)
}
