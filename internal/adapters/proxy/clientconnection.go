package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/config"
)

// clientConnState is the state of one client connection. Its mutex orders two competing
// steps: admitting a request for forwarding, and marking the connection as closing.
// Whichever happens first excludes the other.
type clientConnState struct {
	mutex sync.Mutex
	// httpState is the state that net/http reported last; since is the time of that report.
	httpState http.ConnState
	since     time.Time
	// admitted is set once the current request has been read completely and may be forwarded.
	admitted bool
	// closing is set when the connection is about to be closed: further requests are refused.
	closing bool
	// begun is set when bytes arrive, and cleared when net/http reports the connection's next state. On
	// an idle connection it means that the first bytes of the next request have arrived.
	begun bool
}

// clientConn is a client connection that records that the first bytes of a request have arrived. From then on
// the read of an idle connection must not be interrupted: net/http would see only a part of the request line
// and respond with 400, as though the client had sent a malformed request.
type clientConn struct {
	net.Conn
	state *clientConnState
}

// Read reads from the connection and records that bytes arrived.
func (c *clientConn) Read(content []byte) (int, error) {
	count, err := c.Conn.Read(content)
	if count > 0 {
		c.state.begin(func() { _ = c.SetReadDeadline(time.Now().Add(lateRequestTimeout)) })
	}
	return count, err
}

// clientListener accepts client connections and attaches a clientConnState to each.
type clientListener struct {
	net.Listener
	now func() time.Time
}

// Accept accepts a connection.
func (l clientListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: connection, state: &clientConnState{since: l.now()}}, nil
}

// begin records that bytes of a request have arrived. If the idle connection was marked as closing just
// before, extend moves the read deadline so that the rest of the request's head can arrive; the request
// is then refused.
func (c *clientConnState) begin(extend func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.begun = true
	if c.closing && c.httpState == http.StateIdle {
		extend()
	}
}

// setHTTPState records that net/http moved the connection to another state, and clears the
// state of the previous request.
func (c *clientConnState) setHTTPState(httpState http.ConnState, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.httpState, c.since, c.admitted, c.begun = httpState, now, false, false
}

// admit reports whether the request, which has been read completely, may be forwarded. If so, the
// connection is not marked as closing until the response is complete.
func (c *clientConnState) admit() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.admitted = !c.closing
	return c.admitted
}

// markTimedOut marks the connection as closing if its timeout has passed without an admitted request,
// and returns in isClosing whether it is marked. The result noRequest is true if the connection is new or only
// the first bytes of its next request have arrived. It is false for an idle connection on which nothing has
// arrived since the previous response.
func (c *clientConnState) markTimedOut(now time.Time, limits config.Limits) (noRequest, isClosing bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.admitted && now.Sub(c.since) > c.timeout(limits) {
		c.closing = true
	}
	noRequest = c.httpState == http.StateNew || c.httpState == http.StateIdle && c.begun
	return noRequest, c.closing
}

// interruptIfIdle marks an idle connection as closing and calls interrupt, which ends its pending read.
// A connection on which a request has begun to arrive is left open to serve that request.
func (c *clientConnState) interruptIfIdle(interrupt func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.httpState != http.StateIdle || c.admitted || c.begun {
		return
	}
	c.closing = true
	interrupt()
}

// timeout returns how long the connection may stay in its current state. The caller holds the mutex.
func (c *clientConnState) timeout(limits config.Limits) time.Duration {
	switch c.httpState {
	case http.StateNew:
		return limits.HeaderTimeout
	case http.StateIdle:
		return limits.IdleTimeout
	}
	return bodyTimeout
}
