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
	// Begin sends the HTTP status, and the retry delay in seconds unless that is zero.
	Begin(status, retrySeconds int)
	// Line sends one line; an error means that the client has disconnected.
	Line(line []byte) error
	// OnClientGone registers a callback that is called once if the client closes its connection.
	OnClientGone(callback func())
}

// Arrival is one request received by a router.
type Arrival struct {
	Request *auction.Request
	// Body is the body that the client sent; it is forwarded unchanged.
	Body []byte
	// Forwarding is set if another router forwarded the request.
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
	// Ran states whether the request ran; nil if that is not known.
	Ran    *bool        `json:"ran,omitempty"`
	Type   failure.Code `json:"type,omitempty"`
	Detail string       `json:"detail,omitempty"`
	// RetryAfterSeconds is the retry delay, as in the Retry-After header.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
}

// lineOf returns the line of a chunk or of the final decision.
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
		RetryAfterSeconds: retrySeconds(decision.RetryAfter),
	}
	switch decision.Final {
	case auction.Refused:
		// If the ID is a duplicate, the reply does not state whether the request ran: the
		// earlier request with this ID may have run.
		if decision.Cause != failure.Duplicate {
			notRun := false
			line.Ran = &notRun
		}
	case auction.Complete, auction.Failed:
		ran := true
		line.Ran = &ran
	}
	return line
}

func retrySeconds(retry time.Duration) int { return int(math.Ceil(retry.Seconds())) }

func (r ReplyLine) encode() []byte {
	encoded, _ := json.Marshal(r)
	return append(encoded, '\n')
}

// Status returns the HTTP status of a reply that begins with this line.
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
