package proxy

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// The limits that hold when the configuration has none. The values are ours.
const (
	defaultHeaderBytes   = 64 << 10
	defaultBodyBytes     = 16 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// dismissedRetryAfter is after how many seconds a call may come back that crossed the
	// end of its connection: a new connection serves it at once.
	dismissedRetryAfter = "0.010"
)

// Conduct serves one call from its arrival to its end.
type Conduct interface {
	Serve(call *scheduler.Call, e dataplane.Exchange)
	// Screen tells whether a call is refused by its head alone: its body need not be read then.
	Screen(call *scheduler.Call) (refusal dataplane.Refusal, refused bool)
	// Limits bound what an origin may send.
	Limits() config.Limits
	// Ready tells whether calls are welcome, Leaving that connections are to end with the
	// answer under way.
	Ready() bool
	Leaving() bool
}

// Handler takes calls from their origins.
type Handler struct {
	protocol Protocol
	pool     *Pool
	conduct  Conduct
	now      func() time.Time
	ctx      context.Context
	buffers  sync.Pool
	meter    *meter
}

// NewHandler makes the handler of opaque calls.
func NewHandler(ctx context.Context, protocol Protocol, pool *Pool, conduct Conduct, now func() time.Time) (*Handler, error) {
	if err := protocol.Check(); err != nil {
		return nil, err
	}
	handler := &Handler{protocol: protocol, pool: pool, conduct: conduct, now: now, ctx: ctx, meter: newMeter(pool)}
	handler.buffers.New = func() any { buffer := make([]byte, copyBufferBytes); return &buffer }
	return handler, nil
}

// limits are the bounds in force, with defaults for what nobody said.
func (i *Handler) limits() config.Limits {
	limits := i.conduct.Limits()
	if limits.HeaderBytes == 0 {
		limits.HeaderBytes = defaultHeaderBytes
	}
	if limits.BodyBytes == 0 {
		limits.BodyBytes = defaultBodyBytes
	}
	if limits.HeaderTimeout == 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if limits.IdleTimeout == 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	return limits
}

// ServeHTTP serves one call.
func (i *Handler) ServeHTTP(writer http.ResponseWriter, inbound *http.Request) {
	began := time.Now()
	how := i.serve(writer, inbound, began)
	i.meter.ended(how, time.Since(began))
	if how == endCut || how == endClientGone {
		// Returning would look like an answer.
		panic(http.ErrAbortHandler)
	}
}

func (i *Handler) serve(writer http.ResponseWriter, inbound *http.Request, began time.Time) ending {
	arrived := i.now()
	protocol := &i.protocol
	limits := i.limits()
	id := inbound.Header.Get(protocol.ID)
	if headerBytes(inbound) > limits.HeaderBytes {
		refuse(writer, protocol.ID, id, http.StatusRequestHeaderFieldsTooLarge, endOversize)
		return endOversize
	}
	if inbound.ContentLength > int64(limits.BodyBytes) {
		writer.Header()["Connection"] = []string{"close"}
		refuse(writer, protocol.ID, id, http.StatusRequestEntityTooLarge, endOversize)
		return endOversize
	}
	call := i.newCall(inbound, arrived)
	if refusal, refused := i.conduct.Screen(call); refused {
		if !admit(inbound) {
			writer.Header()["Connection"] = []string{"close"}
		}
		setRetryAfter(writer.Header(), refusal.RetryAfter)
		refuse(writer, protocol.ID, id, refusal.Status, ending(refusal.Cause))
		return endingOf(refusal.Cause, call)
	}
	body, err := readBounded(http.MaxBytesReader(writer, inbound.Body, int64(limits.BodyBytes)), inbound.ContentLength, limits.BodyBytes)
	if !admit(inbound) {
		writer.Header()["Connection"] = []string{"close"}
		writer.Header()["Retry-After"] = []string{dismissedRetryAfter}
		refuse(writer, protocol.ID, id, http.StatusServiceUnavailable, endDismissed)
		return endDismissed
	}
	if err != nil {
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge) || err == errOversize:
			refuse(writer, protocol.ID, id, http.StatusRequestEntityTooLarge, endOversize)
			return endOversize
		case inbound.Context().Err() != nil:
			return endClientGone
		}
		writer.Header()["Connection"] = []string{"close"}
		refuse(writer, protocol.ID, id, http.StatusBadRequest, endMalformed)
		return endMalformed
	}
	call.Bytes = len(body)
	e := &exchange{handler: i, writer: writer, inbound: inbound, began: began, call: call, target: requestTarget(inbound),
		header: i.forwardedHeader(inbound.Header), body: body, ending: endCut}
	i.conduct.Serve(call, e)
	return e.ending
}

// newCall reads a call's head.
func (i *Handler) newCall(inbound *http.Request, arrived time.Time) *scheduler.Call {
	protocol, header := &i.protocol, inbound.Header
	call := &scheduler.Call{ID: header.Get(protocol.ID), Host: inbound.Host, Key: header.Get(protocol.Key), Model: header.Get(protocol.Model),
		Segments: readParts(header.Get(protocol.Parts)), Resumes: header.Get(lastEventHeader) != ""}
	call.Path, _, _ = strings.Cut(requestTarget(inbound), "?")
	call.PromptTokens, call.OutputTokens = readTokens(header.Get(protocol.Tokens))
	if remaining, err := readCount(header.Get(protocol.Limit)); err == nil {
		call.Deadline = arrived.Add(time.Duration(remaining) * time.Millisecond)
	}
	return call
}

// requestTarget is the path and query of a request, as they were sent.
func requestTarget(inbound *http.Request) string {
	if strings.HasPrefix(inbound.RequestURI, "/") {
		return inbound.RequestURI
	}
	return inbound.URL.RequestURI()
}

// forwardedHeader is what goes on to a server of a client's header.
func (i *Handler) forwardedHeader(inbound http.Header) http.Header {
	protocol := &i.protocol
	header := make(http.Header, len(inbound)+4)
	copyEndToEnd(header, inbound, protocol.ID, protocol.Limit, protocol.Model, protocol.Tokens, protocol.Parts)
	// These are for a router to say, whatever an origin sent; the key is for nobody else to see.
	for _, ours := range [...]string{protocol.Target, protocol.Stage, protocol.Source, protocol.Urgency, protocol.Key, protocol.Tenant, protocol.Revision, "Expect"} {
		delete(header, ours)
	}
	if _, found := header["User-Agent"]; !found {
		header["User-Agent"] = nil
	}
	return header
}

// headerBytes is about what a head took on the wire.
func headerBytes(inbound *http.Request) int {
	count := len(inbound.Method) + len(inbound.RequestURI) + len(inbound.Host) + len(" HTTP/1.1\r\nHost: \r\n\r\n")
	for name, values := range inbound.Header {
		for _, value := range values {
			count += len(name) + len(value) + 4
		}
	}
	return count
}

// releaseHandle gives a prompt's memory back. That it fails is no harm: memory that nobody
// takes lapses.
func (i *Handler) releaseHandle(server membership.Server, handle string) {
	ctx, cancel := context.WithTimeout(i.ctx, releaseTimeout)
	defer cancel()
	conn, err := i.pool.get(ctx, server, time.Now().Add(releaseTimeout))
	if err != nil {
		return
	}
	header := http.Header{"User-Agent": nil}
	if server.Name != "" {
		header[i.protocol.Target] = []string{server.Name}
	}
	outbound := (&http.Request{Method: http.MethodDelete, URL: &url.URL{Scheme: "http", Host: server.Address, Path: i.protocol.HandlePath + handle},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header, Host: server.Address, Body: http.NoBody}).WithContext(ctx)
	response, err := conn.http.RoundTrip(outbound)
	if err != nil {
		conn.close()
		return
	}
	_, err = readBounded(response.Body, response.ContentLength, maxPrefillResponse)
	_ = response.Body.Close()
	if err != nil || response.Close {
		conn.close()
		return
	}
	i.pool.put(conn, readKeepAlive(response.Header))
}
