package hatch

import (
	"seamloom.example/seamloom/internal/auction"
)

// Reply is the port to the origin of one request.
type Reply interface {
	// Begin gives the status, and when to come back if that is said.
	Begin(status, retrySeconds int)
	// Line sends one line; a failure means that the origin is gone.
	Line(line []byte) error
	// WhenLeft has act called once if the origin closes its connection.
	WhenLeft(act func())
}

// Arrival is one request as it came to a router.
type Arrival struct {
	Request *auction.Request
	// Body is what the origin sent, to be forwarded as it is.
	Body []byte
	// Passage is set when another router passed it on.
	Passage *Passage
}

func sayLine(reply Reply, line ReplyLine) {
	reply.Begin(line.Status(), line.RetryAfterSeconds)
	_ = reply.Line(line.encode())
}
