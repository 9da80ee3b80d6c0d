// Package backlog counts the prompt tokens that all routers together have a group of model
// servers read now. One router, the group's owner, keeps the count in a Table; the others query
// it before they choose a server, and report what they sent and what was read. The counts are
// hints: they are kept in memory, and what a router does not renew lapses after ShareTTL.
//
// Package scheduler decides when to query and what to report; package dataplane finds a group's
// owner and carries the messages.
package backlog

// Change is how many more prompt tokens a router has a server read; below zero, how many fewer.
// In a Response it is a server's whole count. It is encoded as an array.
type Change struct {
	//lint:ignore U1000 The encoder reads the tag.
	_msgpack struct{} `msgpack:",as_array"`

	Server string
	Tokens int
}

// Request reports to the owner of a group's counts what changed, and may ask for them.
type Request struct {
	// Router is one incarnation of the requesting router.
	Router string `msgpack:"router"`
	Group  string `msgpack:"group"`
	// Changes are counted before the response is made.
	Changes []Change `msgpack:"changes,omitempty"`
	// WantsCounts asks for the counts.
	WantsCounts bool `msgpack:"asks,omitempty"`
	// Intent is what the requesting router is about to send: it is counted after the
	// response was made, so that the next router sees it.
	Intent *Change `msgpack:"intent,omitempty"`
}

// Response has the counts of the servers that read anything, sorted by server.
type Response struct {
	Counts []Change `msgpack:"counts,omitempty"`
}
