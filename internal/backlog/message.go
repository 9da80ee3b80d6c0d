// Package backlog counts the prompt tokens that all routers together have sent to a group of model
// servers and that the servers have not read yet. One router, the group's owner, keeps the counts in a
// Table. The other routers query the counts before they choose a server, and report the tokens that
// they sent and that were read. The counts are hints: they are kept in memory only, and a router's
// share of a count expires ShareTTL after the router's last change to it.
//
// Package scheduler decides when to query and which changes to report; package dataplane finds a
// group's owner and transmits the messages.
package backlog

// Change is an increase of the number of prompt tokens that a router has assigned to a server and
// that are still to be read; a decrease is negative. In a Response, a Change holds the total count
// of a server. A Change is encoded as an array.
type Change struct {
	//lint:ignore U1000 The encoder reads the tag.
	_msgpack struct{} `msgpack:",as_array"`

	Server string
	Tokens int
}

// Request reports changes to the owner of a group's counts, and may query the counts.
type Request struct {
	// Router identifies one incarnation of the requesting router.
	Router string `msgpack:"router"`
	Group  string `msgpack:"group"`
	// Changes are counted before the response is made.
	Changes []Change `msgpack:"changes,omitempty"`
	// WantsCounts is set if the response has to contain the group's counts.
	WantsCounts bool `msgpack:"asks,omitempty"`
	// Intent is the change that the requesting router is about to make. It is counted after the
	// response was made, so that only later requests see it.
	Intent *Change `msgpack:"intent,omitempty"`
}

// Response holds the counts that are not zero, sorted by server.
type Response struct {
	Counts []Change `msgpack:"counts,omitempty"`
}
