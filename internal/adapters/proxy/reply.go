package proxy

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// Refuse ends the call with a response of the router. If a response has already begun, the call
// is aborted instead.
func (e *exchange) Refuse(refusal dataplane.Refusal) {
	if e.headSent.Load() {
		e.Abort()
		return
	}
	e.ending = endingOf(refusal.Cause, e.call)
	setRetryAfter(e.writer.Header(), refusal.RetryAfter)
	writeRefusal(e.writer, e.handler.protocol.ID, e.call.ID, refusal.Status, ending(refusal.Cause))
}

// setRetryAfter sets the Retry-After header, in seconds, if the time is known.
func setRetryAfter(header http.Header, after time.Duration) {
	if after > 0 {
		header["Retry-After"] = []string{strconv.FormatFloat(after.Seconds(), 'f', 3, 64)}
	}
}

// writeRefusal writes an error response of the router, with the cause in its body.
func writeRefusal(writer http.ResponseWriter, idHeader, id string, status int, cause ending) {
	header := writer.Header()
	if id != "" {
		header[idHeader] = []string{id}
	}
	body := `{"type":"` + string(cause) + `"}`
	header["Content-Type"] = []string{"application/json"}
	header["Content-Length"] = []string{strconv.Itoa(len(body))}
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, body)
}

// OnGiveUp counts the reason for which the call is not retried.
func (e *exchange) OnGiveUp(reason scheduler.Reason) {
	if counter, found := e.handler.meter.givenUp[reason]; found {
		counter.Inc()
	}
}

// ForwardFailure forwards the last failed response, and reports whether it did so. It forwards
// nothing if no failed response is stored, or if another response has already begun.
func (e *exchange) ForwardFailure() bool {
	failed := e.failedResponse
	if failed == nil || e.headSent.Load() {
		return false
	}
	e.ending = endForwardedFailure
	header := e.writer.Header()
	copyEndToEnd(header, failed.header)
	if e.inbound.Method != http.MethodHead {
		header["Content-Length"] = []string{strconv.Itoa(len(failed.body))}
	}
	e.writer.WriteHeader(failed.status)
	_, _ = e.writer.Write(failed.body)
	return true
}

// Abort ends the call so that its response does not look complete to the client.
func (e *exchange) Abort() { e.ending = endInterrupted }

// ReleaseHandle releases the KV cache of a prefill, in a goroutine of its own.
func (e *exchange) ReleaseHandle(source scheduler.Source) {
	server := e.prefillServer
	if server.Address != source.Address {
		server = membership.Server{Address: source.Address}
	}
	go e.handler.releaseHandle(server, source.Handle)
}
