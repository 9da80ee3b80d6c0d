package router

import (
	"context"
	"net/http"
	"strconv"
)

// reply is an origin at the other end of an HTTP connection.
type reply struct {
	writer  http.ResponseWriter
	flusher *http.ResponseController
	inbound *http.Request
}

// Begin gives status and headers.
func (r *reply) Begin(status, retrySeconds int) {
	kind := "application/jsonl"
	if status != http.StatusOK {
		kind = "application/json"
	}
	if r.writer.Header().Get("Content-Type") == "" {
		r.writer.Header().Set("Content-Type", kind)
	}
	if retrySeconds > 0 {
		r.writer.Header().Set("Retry-After", strconv.Itoa(retrySeconds))
	}
	r.writer.WriteHeader(status)
}

// Line sends one line.
func (r *reply) Line(line []byte) error {
	if _, err := r.writer.Write(line); err != nil {
		return err
	}
	return r.flusher.Flush()
}

// OnClientGone has act called when the origin closes its connection.
func (r *reply) OnClientGone(act func()) { context.AfterFunc(r.inbound.Context(), act) }
