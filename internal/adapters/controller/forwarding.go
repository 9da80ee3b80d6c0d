package controller

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"seamloom.example/seamloom/internal/adapters/daemon"
	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/controlplane"
	"seamloom.example/seamloom/internal/failure"
)

const (
	// forwardTimeout limits how long forwarding a request to the primary may take, including the response.
	forwardTimeout = 10 * time.Second
	// forwardedHeader marks a request that another controller has forwarded.
	forwardedHeader = "Seamloom-Forwarded"
	// connectionAgeHeader contains the time in milliseconds from the SentAfter of the operator's connection
	// (see daemon.Connection) to the forwarding of the request. The operator sent the request within this time.
	connectionAgeHeader = "Seamloom-Connection-Age"
)

// connectionOf returns the operator's connection. For a request that another controller forwarded, this is the
// operator's connection to that controller. Only its SentAfter is known then, from connectionAgeHeader; without
// a valid header, connectionOf returns the zero value.
func (p *Process) connectionOf(inbound *http.Request) controlplane.Connection {
	if inbound.Header.Get(forwardedHeader) == "" {
		return controlplane.Connection(daemon.ConnectionOf(inbound.Context()))
	}
	age, err := strconv.ParseInt(inbound.Header.Get(connectionAgeHeader), 10, 64)
	if err != nil {
		return controlplane.Connection{}
	}
	return controlplane.Connection{SentAfter: p.clock.Now().Add(-time.Duration(age) * time.Millisecond)}
}

// onPrimary returns a handler that calls the given one if this controller is primary. Otherwise it forwards the
// request to the primary, unless another controller has already forwarded it.
func (p *Process) onPrimary(handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, inbound *http.Request) {
		if _, _, err := p.controller.Leading(); err == nil {
			handler(writer, inbound)
			return
		}
		address := p.controller.Coordinator().Membership().Primary.Address
		if inbound.Header.Get(forwardedHeader) != "" || address == "" || address == p.controller.Witness().Replica().Address {
			writeJSON(writer, http.StatusServiceUnavailable, changeResponse{
				Outcome: "not_accepted", Type: failure.NoPrimary, Detail: "no controller is currently primary; retry later"})
			return
		}
		p.forward(writer, inbound, address)
	}
}

// forward forwards a request to the primary and copies the primary's response. A change that has neither an id
// nor a base revision gets an id, so that its outcome can be queried if the response is lost.
func (p *Process) forward(writer http.ResponseWriter, inbound *http.Request, address string) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, inbound.Body, config.MaxBytes+1))
	if err != nil {
		writeJSON(writer, http.StatusUnprocessableEntity, changeResponse{Outcome: "not_accepted", Type: failure.Oversize, Detail: err.Error()})
		return
	}
	query := inbound.URL.Query()
	isRead := inbound.Method == http.MethodGet
	if !isRead && query.Get("change") == "" && query.Get("builds_on") == "" {
		query.Set("change", uuid.NewString())
	}
	location := *inbound.URL
	location.Scheme, location.Host, location.RawQuery = "http", address, query.Encode()
	var written atomic.Bool
	ctx := httptrace.WithClientTrace(inbound.Context(),
		&httptrace.ClientTrace{WroteHeaderField: func(string, []string) { written.Store(true) }})
	outbound, err := http.NewRequestWithContext(ctx, inbound.Method, location.String(), bytes.NewReader(body))
	if err != nil {
		writeJSON(writer, http.StatusBadRequest, changeResponse{Outcome: "not_accepted", Type: failure.Malformed, Detail: err.Error()})
		return
	}
	outbound.Header.Set(forwardedHeader, "1")
	outbound.Header.Set("If-Match", inbound.Header.Get("If-Match"))
	if connection := daemon.ConnectionOf(inbound.Context()); !connection.SentAfter.IsZero() {
		age := p.clock.Now().Sub(connection.SentAfter)
		outbound.Header.Set(connectionAgeHeader, strconv.FormatInt(age.Milliseconds(), 10))
	}
	response, err := p.forwardClient.Do(outbound)
	if err != nil {
		if isRead || !written.Load() {
			writeJSON(writer, http.StatusServiceUnavailable, changeResponse{
				Outcome: "not_accepted", Type: failure.NoPrimary, Detail: "the primary cannot be reached; retry later"})
			return
		}
		writeUnknown(writer, query.Get("change"))
		return
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		if isRead {
			writeJSON(writer, http.StatusServiceUnavailable, changeResponse{
				Outcome: "not_accepted", Type: failure.NoPrimary, Detail: "the response of the primary is incomplete; retry later"})
			return
		}
		writeUnknown(writer, query.Get("change"))
		return
	}
	writer.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	writer.WriteHeader(response.StatusCode)
	_, _ = writer.Write(content)
}

// writeUnknown responds that the outcome of a change is unknown, and names the request that queries the outcome.
func writeUnknown(writer http.ResponseWriter, change string) {
	writeJSON(writer, http.StatusServiceUnavailable, changeResponse{Outcome: "unknown", Type: failure.OutcomeUnknown, Change: change,
		Detail: "it is not known yet whether the change was accepted", StatusRequest: "GET /v1/changes/" + change})
}
