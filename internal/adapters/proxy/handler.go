package proxy

import (
	"context"
	"errors"
	"net"
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

// The limits that apply where the configuration sets none.
const (
	defaultHeaderBytes   = 64 << 10
	defaultBodyBytes     = 16 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// closingRetryAfter is the Retry-After, in seconds, of a call refused because its
	// connection was closing: the call can be served at once on a new connection.
	closingRetryAfter = "0.010"
)

// CallExecutor decides how calls are handled, and executes the decisions through an Exchange.
type CallExecutor interface {
	// Serve serves one call to its end.
	Serve(call *scheduler.Call, e dataplane.Exchange)
	// Screen reports whether a call is refused by its head alone, so that its body need not be read.
	Screen(call *scheduler.Call) (refusal dataplane.Refusal, refused bool)
	// Limits returns the configured bounds on the requests and connections of clients.
	Limits() config.Limits
	// Ready reports whether the router accepts calls. Draining reports whether the router is
	// draining, so that each connection is to be closed after its current response.
	Ready() bool
	Draining() bool
}

// Handler serves the HTTP requests that carry opaque calls.
type Handler struct {
	protocol Protocol
	pool     *Pool
	executor CallExecutor
	now      func() time.Time
	ctx      context.Context
	buffers  sync.Pool
	meter    *meter
}

// NewHandler returns a handler of opaque calls. It fails if the protocol is not valid.
func NewHandler(ctx context.Context, protocol Protocol, pool *Pool, executor CallExecutor, now func() time.Time) (*Handler, error) {
	if err := protocol.Check(); err != nil {
		return nil, err
	}
	handler := &Handler{protocol: protocol, pool: pool, executor: executor, now: now, ctx: ctx, meter: newMeter(pool)}
	handler.buffers.New = func() any { buffer := make([]byte, copyBufferBytes); return &buffer }
	return handler, nil
}

// limits returns the configured limits, with defaults for those that are not set.
func (h *Handler) limits() config.Limits {
	limits := h.executor.Limits()
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
func (h *Handler) ServeHTTP(writer http.ResponseWriter, inbound *http.Request) {
	startTime := time.Now()
	result := h.serve(writer, inbound, startTime)
	h.meter.ended(result, time.Since(startTime))
	if result == endInterrupted || result == endClientGone {
		// A normal return would complete the response; this panic makes net/http abort the
		// connection instead.
		if !inbound.ProtoAtLeast(1, 1) {
			resetConnection(writer)
		}
		panic(http.ErrAbortHandler)
	}
}

// resetConnection closes the client's connection with a TCP reset. HTTP/1.0 has no chunks, so for its clients a
// regular close would mark the end of a complete response.
func resetConnection(writer http.ResponseWriter) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	raw := connection
	if tracked, isTracked := connection.(*clientConn); isTracked {
		raw = tracked.Conn
	}
	if tcp, isTCP := raw.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// serve serves one call and returns how the call ended.
func (h *Handler) serve(writer http.ResponseWriter, inbound *http.Request, startTime time.Time) ending {
	arrived := h.now()
	protocol := &h.protocol
	limits := h.limits()
	id := inbound.Header.Get(protocol.ID)
	if headerBytes(inbound) > limits.HeaderBytes {
		writeRefusal(writer, protocol.ID, id, http.StatusRequestHeaderFieldsTooLarge, endOversize)
		return endOversize
	}
	if inbound.ContentLength > int64(limits.BodyBytes) {
		writer.Header()["Connection"] = []string{"close"}
		writeRefusal(writer, protocol.ID, id, http.StatusRequestEntityTooLarge, endOversize)
		return endOversize
	}
	call := h.newCall(inbound, arrived)
	if refusal, refused := h.executor.Screen(call); refused {
		if !admit(inbound) {
			writer.Header()["Connection"] = []string{"close"}
		}
		setRetryAfter(writer.Header(), refusal.RetryAfter)
		writeRefusal(writer, protocol.ID, id, refusal.Status, ending(refusal.Cause))
		return endingOf(refusal.Cause, call)
	}
	body, err := readBounded(http.MaxBytesReader(writer, inbound.Body, int64(limits.BodyBytes)), inbound.ContentLength, limits.BodyBytes)
	if !admit(inbound) {
		writer.Header()["Connection"] = []string{"close"}
		writer.Header()["Retry-After"] = []string{closingRetryAfter}
		writeRefusal(writer, protocol.ID, id, http.StatusServiceUnavailable, endConnectionClosing)
		return endConnectionClosing
	}
	if err != nil {
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge) || err == errOversize:
			writeRefusal(writer, protocol.ID, id, http.StatusRequestEntityTooLarge, endOversize)
			return endOversize
		case inbound.Context().Err() != nil:
			return endClientGone
		}
		writer.Header()["Connection"] = []string{"close"}
		writeRefusal(writer, protocol.ID, id, http.StatusBadRequest, endMalformed)
		return endMalformed
	}
	call.Bytes = len(body)
	e := &exchange{handler: h, writer: writer, inbound: inbound, startTime: startTime, call: call, target: requestTarget(inbound),
		header: h.forwardedHeader(inbound.Header), body: body, ending: endInterrupted}
	h.executor.Serve(call, e)
	e.dropStalled()
	return e.ending
}

// newCall builds the scheduler's view of a call from the head of its request.
func (h *Handler) newCall(inbound *http.Request, arrived time.Time) *scheduler.Call {
	protocol, header := &h.protocol, inbound.Header
	call := &scheduler.Call{ID: header.Get(protocol.ID), Host: inbound.Host, Key: header.Get(protocol.Key), Model: header.Get(protocol.Model),
		Segments: readSegments(header.Get(protocol.Parts)), Resumes: header.Get(lastEventHeader) != ""}
	call.Path, _, _ = strings.Cut(requestTarget(inbound), "?")
	call.PromptTokens, call.OutputTokens = readTokens(header.Get(protocol.Tokens))
	if remaining, err := readCount(header.Get(protocol.Limit)); err == nil {
		call.Deadline = arrived.Add(time.Duration(remaining) * time.Millisecond)
	}
	return call
}

// requestTarget returns the path and query of a request exactly as the client sent them.
func requestTarget(inbound *http.Request) string {
	if strings.HasPrefix(inbound.RequestURI, "/") {
		return inbound.RequestURI
	}
	return inbound.URL.RequestURI()
}

// forwardedHeader returns the headers of a client's request that are forwarded to a server.
func (h *Handler) forwardedHeader(inbound http.Header) http.Header {
	protocol := &h.protocol
	header := make(http.Header, len(inbound)+4)
	copyEndToEnd(header, inbound, protocol.ID, protocol.Limit, protocol.Model, protocol.Tokens, protocol.Parts)
	// Only the router may set these headers, so the client's values are dropped. The key is
	// secret and stays at the router.
	for _, name := range [...]string{protocol.Target, protocol.Stage, protocol.Source,
		protocol.Urgency, protocol.Key, protocol.Tenant, protocol.Revision, "Expect"} {
		delete(header, name)
	}
	if _, found := header["User-Agent"]; !found {
		header["User-Agent"] = nil
	}
	return header
}

// headerBytes estimates the size of a request's head on the wire.
func headerBytes(inbound *http.Request) int {
	count := len(inbound.Method) + len(inbound.RequestURI) + len(inbound.Host) + len(" HTTP/1.1\r\nHost: \r\n\r\n")
	for name, values := range inbound.Header {
		for _, value := range values {
			count += len(name) + len(value) + 4
		}
	}
	return count
}

// releaseHandle releases the KV cache of a prefill at the server that holds it. Failures are
// ignored, because the server frees a KV cache that is not used in time.
func (h *Handler) releaseHandle(server membership.Server, handle string) {
	ctx, cancel := context.WithTimeout(h.ctx, releaseTimeout)
	defer cancel()
	conn, err := h.pool.get(ctx, server, "", time.Now().Add(releaseTimeout))
	if err != nil {
		return
	}
	header := http.Header{"User-Agent": nil}
	if server.Name != "" {
		header[h.protocol.Target] = []string{server.Name}
	}
	outbound := (&http.Request{Method: http.MethodDelete,
		URL:   &url.URL{Scheme: "http", Host: server.Address, Path: h.protocol.HandlePath + handle},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header, Host: server.Address, Body: http.NoBody}).WithContext(ctx)
	response, err := conn.http.RoundTrip(outbound)
	if err != nil {
		conn.close()
		return
	}
	_, err = readBounded(response.Body, response.ContentLength, maxPrefillResponse)
	_ = response.Body.Close()
	// A response with an ID is a late one to a call that the connection carried before: the response to the
	// release is still to come.
	late := response.Header.Get(h.protocol.ID) != ""
	if err != nil || response.Close || late {
		conn.close()
		return
	}
	h.pool.put(conn, readKeepAlive(response.Header))
}
