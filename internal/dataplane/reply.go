package dataplane

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/wire"
)

// Reply is the port to the client of one request.
type Reply interface {
	// Begin sends the HTTP status, and after how many seconds to retry unless that is zero.
	Begin(status, retrySeconds int)
	// Line sends one line; an error means that the client is gone.
	Line(line []byte) error
	// OnClientGone has act called once if the client closes its connection.
	OnClientGone(act func())
}

// Arrival is one request as it came to a router.
type Arrival struct {
	Request *auction.Request
	// Body is what the client sent, to be forwarded as it is.
	Body []byte
	// Forwarding is set when another router forwarded it.
	Forwarding *wire.Forwarding
}

// writeLine sends a reply of one line.
func writeLine(reply Reply, line ReplyLine) {
	reply.Begin(line.Status(), line.RetryAfterSeconds)
	_ = reply.Line(line.encode())
}

// ReplyLine is one line of a reply: a numbered chunk, or the final line.
type ReplyLine struct {
	Request string              `json:"inquiry"`
	Chunk   int                 `json:"piece,omitempty"`
	Text    string              `json:"text,omitempty"`
	Final   auction.FinalStatus `json:"final,omitempty"`
	Chunks  int                 `json:"pieces,omitempty"`
	Ran     *bool               `json:"ran,omitempty"`
	Type    failure.Code        `json:"type,omitempty"`
	Detail  string              `json:"detail,omitempty"`
	// RetryAfterSeconds is after how long to retry, as in the Retry-After header.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
}

// lineOf is the line of a chunk or of the final decision.
func lineOf(decision auction.Decision) ReplyLine {
	if decision.Kind == auction.SendChunk {
		return ReplyLine{Request: decision.ID, Chunk: decision.Chunk, Text: decision.Text}
	}
	line := ReplyLine{
		Request:           decision.ID,
		Final:             decision.Final,
		Chunks:            decision.Chunks,
		Type:              decision.Cause,
		Detail:            decision.Detail,
		RetryAfterSeconds: retrySeconds(decision.Retry),
	}
	switch decision.Final {
	case auction.Refused:
		// Of an id that is taken the reply does not say whether it ran: the request that
		// took it may have.
		if decision.Cause != failure.Duplicate {
			never := false
			line.Ran = &never
		}
	case auction.Complete, auction.Failed:
		did := true
		line.Ran = &did
	}
	return line
}

func retrySeconds(retry time.Duration) int { return int(math.Ceil(retry.Seconds())) }

func (r ReplyLine) encode() []byte {
	encoded, _ := json.Marshal(r)
	return append(encoded, '\n')
}

// Status is the HTTP status of a reply whose first line this is.
func (r ReplyLine) Status() int {
	switch r.Final {
	case auction.Complete, "":
		return http.StatusOK
	case auction.Unknown:
		return http.StatusGatewayTimeout
	case auction.Failed:
		return http.StatusBadGateway
	}
	switch r.Type {
	case failure.UnknownService, failure.NoRoute:
		return http.StatusNotFound
	case failure.RouteRefuses:
		return http.StatusForbidden
	case failure.OutOfRange, failure.TooNew:
		return http.StatusBadRequest
	case failure.Duplicate, failure.TooOld:
		return http.StatusConflict
	case failure.Busy, failure.BudgetSpent:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}
