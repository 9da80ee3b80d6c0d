package dataplane

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/failure"
)

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
	// RetryAfterSeconds says when to come back; it stands in the header too.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
}

func lineOf(decision auction.Decision) ReplyLine {
	if decision.Kind == auction.SendChunk {
		return ReplyLine{Request: decision.ID, Chunk: decision.Chunk, Text: decision.Text}
	}
	line := ReplyLine{Request: decision.ID, Final: decision.Final, Chunks: decision.Chunks, Type: decision.Cause, Detail: decision.Detail,
		RetryAfterSeconds: retrySeconds(decision.Retry)}
	switch decision.Final {
	case auction.Refused:
		// Of an id that is taken nobody says here whether it ran: the arrival
		// that took it may have.
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

// Status is that of a reply whose first line this is.
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
