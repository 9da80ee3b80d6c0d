package dataplane

import (
	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/wire"
)

// Reply is the port to the origin of one request.
type Reply interface {
	// Begin gives the status, and when to come back if that is said.
	Begin(status, retrySeconds int)
	// Line sends one line; a failure means that the origin is gone.
	Line(line []byte) error
	// OnClientGone has act called once if the origin closes its connection.
	OnClientGone(act func())
}

// Arrival is one request as it came to a router.
type Arrival struct {
	Request *auction.Request
	// Body is what the origin sent, to be forwarded as it is.
	Body []byte
	// Forwarding is set when another router passed it on.
	Forwarding *wire.Forwarding
}

func writeLine(reply Reply, line ReplyLine) {
	reply.Begin(line.Status(), line.RetryAfterSeconds)
	_ = reply.Line(line.encode())
}
