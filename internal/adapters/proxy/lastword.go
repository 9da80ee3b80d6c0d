package proxy

import (
	"io"
	"net/http"
	"strconv"

	"seamloom.example/seamloom/internal/hatch"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// Refuse ends the call with a word of our own.
func (exchange *exchange) Refuse(refusal hatch.Refusal) {
	if exchange.begun.Load() {
		exchange.Break()
		return
	}
	exchange.ending = ending(refusal.Cause)
	header := exchange.writer.Header()
	if refusal.RetryAfter > 0 {
		header["Retry-After"] = []string{strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64)}
	}
	refuse(exchange.writer, exchange.intake.words.ID, exchange.call.ID, refusal.Status, ending(refusal.Cause))
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

// GivenUp counts why the call is tried no more.
func (exchange *exchange) GivenUp(reason scheduler.Reason) {
	if counter, found := exchange.intake.meter.givenUp[reason]; found {
		counter.Inc()
	}
}

// Through passes the failing answer of the last dispatch on.
func (exchange *exchange) Through() bool {
	kept := exchange.kept
	if kept == nil || exchange.begun.Load() {
		return false
	}
	exchange.ending = through
	header := exchange.writer.Header()
	copyEndToEnd(header, kept.header)
	if exchange.inbound.Method != http.MethodHead {
		header["Content-Length"] = []string{strconv.Itoa(len(kept.body))}
	}
	exchange.writer.WriteHeader(kept.status)
	_, _ = exchange.writer.Write(kept.body)
	return true
}

// Break ends the answer so that it does not look complete.
func (exchange *exchange) Break() { exchange.ending = cut }

// Free gives a prompt's memory back, in a thread of its own.
func (exchange *exchange) Free(source scheduler.Source) {
	server := exchange.reader
	if server.Address != source.Address {
		server = membership.Server{Address: source.Address}
	}
	go exchange.intake.free(server, source.Handle)
}
