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

// Refuse ends the call with a word of our own.
func (e *exchange) Refuse(refusal dataplane.Refusal) {
	if e.headSent.Load() {
		e.Break()
		return
	}
	e.ending = endingOf(refusal.Cause, e.call)
	setRetryAfter(e.writer.Header(), refusal.RetryAfter)
	refuse(e.writer, e.handler.protocol.ID, e.call.ID, refusal.Status, ending(refusal.Cause))
}

// setRetryAfter tells after how long a refused call may come back, if that is known.
func setRetryAfter(header http.Header, after time.Duration) {
	if after > 0 {
		header["Retry-After"] = []string{strconv.FormatFloat(after.Seconds(), 'f', 3, 64)}
	}
}

// refuse gives a final word of our own.
func refuse(writer http.ResponseWriter, idHeader, id string, status int, cause ending) {
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

// OnGiveUp counts why the call is tried no more.
func (e *exchange) OnGiveUp(reason scheduler.Reason) {
	if counter, found := e.handler.meter.givenUp[reason]; found {
		counter.Inc()
	}
}

// PassThrough passes the failing answer of the last dispatch on.
func (e *exchange) PassThrough() bool {
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

// Break ends the answer so that it does not look complete.
func (e *exchange) Break() { e.ending = endCut }

// Free gives a prompt's memory back, in a thread of its own.
func (e *exchange) Free(source scheduler.Source) {
	server := e.prefillServer
	if server.Address != source.Address {
		server = membership.Server{Address: source.Address}
	}
	go e.handler.releaseHandle(server, source.Handle)
}
