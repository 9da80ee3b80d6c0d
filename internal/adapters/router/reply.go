package router

import (
	"context"
	"net/http"
	"strconv"
)

// reply is an origin at the other end of an HTTP circuit.
type reply struct {
	writer  http.ResponseWriter
	flusher *http.ResponseController
	inbound *http.Request
}

// Begin gives status and headers.
func (reply *reply) Begin(status, retrySeconds int) {
	kind := "application/jsonl"
	if status != http.StatusOK {
		kind = "application/json"
	}
	if reply.writer.Header().Get("Content-Type") == "" {
		reply.writer.Header().Set("Content-Type", kind)
	}
	if retrySeconds > 0 {
		reply.writer.Header().Set("Retry-After", strconv.Itoa(retrySeconds))
	}
	reply.writer.WriteHeader(status)
}

// Line sends one line.
func (reply *reply) Line(line []byte) error {
	if _, err := reply.writer.Write(line); err != nil {
		return err
	}
	return reply.flusher.Flush()
}

// WhenLeft has act called when the origin closes its circuit.
func (reply *reply) WhenLeft(act func()) { context.AfterFunc(reply.inbound.Context(), act) }
