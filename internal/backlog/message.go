// Package backlog counts the prompt tokens that all routers together have a few model
// servers read now. One router keeps the count of a group of servers; the others ask it
// before they choose a server, and tell it what they sent and what was read. The counts
// are hints: they are kept in memory, and what a router does not renew lapses.
package backlog

// Change is how many more prompt tokens a router has a server read; below zero, how many
// fewer.
type Change struct {
	//lint:ignore U1000 The encoder reads the tag.
	_msgpack struct{} `msgpack:",as_array"`

	Server string
	Tokens int
}

// Request tells the keeper of a group's counts what changed and may ask for them.
type Request struct {
	// Router is one life of the asking router.
	Router string `msgpack:"router"`
	Group  string `msgpack:"group"`
	// Changes are counted before the answer is made.
	Changes []Change `msgpack:"changes,omitempty"`
	// WantsCounts tells that the counts are wanted.
	WantsCounts bool `msgpack:"asks,omitempty"`
	// Intent is what the asking router is about to send: it is counted after the answer
	// was made, so that the next router sees it.
	Intent *Change `msgpack:"intent,omitempty"`
}

// Response has the counts of the servers that read anything.
type Response struct {
	Counts []Change `msgpack:"counts,omitempty"`
}
