package wire

// Forwarding marks one forwarding: a link may bring it twice, and to another
// process than it was meant for.
type Forwarding struct {
	// Nonce is new for each forwarding.
	Nonce string
	// IncarnationResponse is the process that it is meant for; empty when that one does
	// not say what it is, as the first release did not.
	Incarnation string
}

// IncarnationResponse is what a router says of its present life.
type IncarnationResponse struct {
	Incarnation string `msgpack:"incarnation"`
}
