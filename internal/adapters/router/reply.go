package router

import (
	"context"
	"net/http"
	"strconv"
)

// reply implements dataplane.Reply for a client at the other end of an HTTP connection.
type reply struct {
	writer  http.ResponseWriter
	flusher *http.ResponseController
	inbound *http.Request
}

// Begin sends the status and the headers, with a Retry-After header if retrySeconds is positive.
func (r *reply) Begin(status, retrySeconds int) {
	contentType := "application/jsonl"
	if status != http.StatusOK {
		contentType = "application/json"
	}
	if r.writer.Header().Get("Content-Type") == "" {
		r.writer.Header().Set("Content-Type", contentType)
	}
	if retrySeconds > 0 {
		r.writer.Header().Set("Retry-After", strconv.Itoa(retrySeconds))
	}
	r.writer.WriteHeader(status)
}

// Line sends one line immediately.
func (r *reply) Line(line []byte) error {
	if _, err := r.writer.Write(line); err != nil {
		return err
	}
	return r.flusher.Flush()
}

// OnClientGone calls callback when the client closes its connection, or when the request has been served.
func (r *reply) OnClientGone(callback func()) { context.AfterFunc(r.inbound.Context(), callback) }
