package replay

import "time"

// Event is one line of the book: what one stand-in saw on its own sockets, or did
// itself.
type Event struct {
	At      time.Time `json:"at"`
	Kind    EventKind `json:"kind"`
	Machine string    `json:"machine,omitempty"`
	Zone    string    `json:"zone,omitempty"`

	Try     string `json:"try,omitempty"`
	Request string `json:"request,omitempty"`
	Class   string `json:"class,omitempty"`
	Route   string `json:"route,omitempty"`
	// Number tells the tries of one request apart, from 0.
	Number     int           `json:"number,omitempty"`
	Idempotent bool          `json:"repeatable,omitempty"`
	Probe      bool          `json:"probe,omitempty"`
	Digest     string        `json:"digest,omitempty"`
	Deadline   time.Duration `json:"deadline,omitempty"`
	Aim        time.Duration `json:"aim,omitempty"`
	Began      time.Time     `json:"began,omitzero"`
	First      time.Time     `json:"first,omitzero"`
	Behind     int           `json:"behind,omitempty"`

	Status   int    `json:"status,omitempty"`
	Seal     string `json:"seal,omitempty"`
	Complete bool   `json:"complete,omitempty"`
	// GaveUp: the client closed the connection itself. Bears is the id of the try that the answer names.
	GaveUp bool    `json:"gave_up,omitempty"`
	Bears  string  `json:"bears,omitempty"`
	Cause  string  `json:"cause,omitempty"`
	Spans  []Span  `json:"spans,omitempty"`
	Stall  float64 `json:"stall,omitempty"`

	Server       string `json:"server,omitempty"`
	Service      string `json:"service,omitempty"`
	Stage        string `json:"stage,omitempty"`
	Handle       string `json:"handle,omitempty"`
	Tokens       int    `json:"tokens,omitempty"`
	Cold         bool   `json:"cold,omitempty"`
	Owner        string `json:"owner,omitempty"`
	FencingToken uint64 `json:"fence,omitempty"`

	Change   string   `json:"change,omitempty"`
	Revision int      `json:"revision,omitempty"`
	Base     int      `json:"base,omitempty"`
	Invalid  bool     `json:"invalid,omitempty"`
	Version  *Version `json:"edition,omitempty"`

	Core    bool `json:"core,omitempty"`
	Planned bool `json:"planned,omitempty"`
}

// Span is one event of a stream as a client read it: the tokens that it carries, and
// the run that made them.
type Span struct {
	ID   int    `json:"id"`
	From int    `json:"from"`
	To   int    `json:"to"`
	Run  string `json:"run"`
	// Whose is the digest of the request that the run belongs to.
	Whose string `json:"whose"`
}
