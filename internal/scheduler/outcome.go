package scheduler

import "time"

// Outcome is how a dispatch ended, as the caller of Ended saw it.
type Outcome struct {
	Result Result `json:"result"`
	// Status is the server's, if it gave one.
	Status int `json:"status,omitempty"`
	// Handle names the prompt's KV cache after a Prefill that is Complete.
	Handle string `json:"handle,omitempty"`
	// Load is what the server's response said of its load, nil if nothing.
	Load *ResponseLoad `json:"load,omitempty"`
	// Warming is how long the server says that its slow start lasts.
	Warming time.Duration `json:"warming,omitempty"`
	// KeepAlive is how long the connection stays open for further calls; zero if it was closed.
	KeepAlive time.Duration `json:"rests,omitempty"`
	// FirstByte is when the first event or byte of the answer came; zero if none did.
	FirstByte time.Time `json:"first,omitzero"`
}

// Result is how a dispatch to a server ended.
type Result string

const (
	// Unreachable: no connection came up, or nothing of the request was written.
	Unreachable Result = "unreached"
	// NotStarted: the server says that it did not begin and never will.
	NotStarted Result = "not_started"
	// Misdirected: another server has the address.
	Misdirected Result = "misdirected"
	// TimedOut: the request was sent and no response came; it may have run.
	TimedOut Result = "silent"
	// Malformed: what came is no response to this request; it may have run.
	Malformed Result = "spoilt"
	// ErrorResponse: a complete response that is not a success came; it counts as run.
	ErrorResponse Result = "answered"
	// Interrupted: a success began to be forwarded and broke off.
	Interrupted Result = "cut"
	// Complete: the complete success was forwarded, or, for a Prefill, Handle is the prompt's KV
	// cache.
	Complete Result = "complete"
	// ClientGone: the origin left.
	ClientGone Result = "gone"
)

// MayHaveRun tells whether the server may have begun the call.
func (r Result) MayHaveRun() bool {
	switch r {
	case Unreachable, NotStarted, Misdirected:
		return false
	}
	return true
}

// ResponseLoad is what a server's response says of its load, in calls.
type ResponseLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// serverResponded tells whether anything was heard from the server.
func (o Outcome) serverResponded() bool {
	return o.Result != Unreachable && o.Result != TimedOut && o.Result != ClientGone
}

// full tells whether a server that turned a call away had no room for it; false if it said
// nothing of its load.
func (l *ResponseLoad) full() bool {
	return l != nil && (l.Waiting > 0 || l.Running >= l.Slots)
}
