package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"seamloom.example/seamloom/internal/failure"
)

// Timeouts and bounds of client connections.
const (
	timeoutCheckInterval = time.Second
	// bodyTimeout is how long a client may take to send the body of a request.
	bodyTimeout = 30 * time.Second
	// lateRequestTimeout limits how long the rest of a request's head may take if its first
	// bytes arrive just after the idle connection was marked as closing.
	lateRequestTimeout = 2 * time.Second
	// shutdownTimeout is how long Close waits for requests in progress.
	shutdownTimeout       = 500 * time.Millisecond
	maxRequestHeaderBytes = 1 << 20
)

// Frontend listens for the calls of clients and for readiness probes.
type Frontend struct {
	handler *Handler
	now     func() time.Time
	servers []*http.Server

	mutex       sync.Mutex
	connections map[net.Conn]*clientConnState
}

// clientConnStateKey is the context key of a request's clientConnState.
type clientConnStateKey struct{}

// admit reports whether a completely read request may be forwarded. A request on a connection that
// is marked as closing is not admitted. A request that was not served by a Frontend, as in tests of
// the Handler, is always admitted.
func admit(inbound *http.Request) bool {
	connection, found := inbound.Context().Value(clientConnStateKey{}).(*clientConnState)
	return !found || connection.admit()
}

// Listen listens on address for calls and on readyAddress for readiness probes. If either is
// empty, the frontend does not listen for that kind of request. The servers and the timeout checks
// run in goroutines of owner.
func Listen(owner *tomb.Tomb, handler *Handler, address, readyAddress string) (*Frontend, error) {
	return listen(owner, handler, address, readyAddress, time.Now)
}

// listen does what Listen does, with the given clock instead of time.Now. Tests set the clock.
func listen(owner *tomb.Tomb, handler *Handler, address, readyAddress string, now func() time.Time) (*Frontend, error) {
	frontend := &Frontend{handler: handler, now: now, connections: map[net.Conn]*clientConnState{}}
	calls := &http.Server{Handler: http.HandlerFunc(frontend.serveCall), MaxHeaderBytes: maxRequestHeaderBytes,
		ConnState: frontend.trackState, ConnContext: frontend.trackConnection}
	readiness := &http.Server{Handler: http.HandlerFunc(frontend.serveReady), ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout: defaultIdleTimeout}
	for server, address := range map[*http.Server]string{calls: address, readiness: readyAddress} {
		if address == "" {
			continue
		}
		// TCP keep-alive probes are disabled: the deadlines of calls and the idle timeout already
		// close connections whose client is gone.
		listenConfig := net.ListenConfig{KeepAlive: -1}
		listener, err := listenConfig.Listen(context.Background(), "tcp", address)
		if err != nil {
			frontend.Close()
			return nil, failure.Wrap(failure.Unreachable, err)
		}
		frontend.servers = append(frontend.servers, server)
		owner.Go(func() error {
			if err := server.Serve(clientListener{Listener: listener, now: now}); err != http.ErrServerClosed {
				return failure.Wrap(failure.Unreachable, err)
			}
			return nil
		})
	}
	owner.Go(func() error { frontend.watchTimeouts(owner.Dying()); return nil })
	return frontend, nil
}

// serveCall serves one call. While the router is draining, the connection is closed after the response.
func (f *Frontend) serveCall(writer http.ResponseWriter, inbound *http.Request) {
	if f.handler.executor.Draining() {
		writer.Header()["Connection"] = []string{"close"}
	}
	f.handler.ServeHTTP(writer, inbound)
}

// serveReady responds to a readiness probe: 200 if the router accepts calls, and 503 otherwise.
func (f *Frontend) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if !f.handler.executor.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(writer, "not ready\n")
		return
	}
	_, _ = io.WriteString(writer, "ready\n")
}

// Close stops listening and closes all connections. Requests in progress get shutdownTimeout
// to complete.
func (f *Frontend) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, server := range f.servers {
		_ = server.Shutdown(ctx)
		_ = server.Close()
	}
}

// trackConnection records a new connection and puts its state into the context of its requests.
func (f *Frontend) trackConnection(ctx context.Context, connection net.Conn) context.Context {
	connState := connection.(*clientConn).state
	f.mutex.Lock()
	f.connections[connection] = connState
	f.mutex.Unlock()
	return context.WithValue(ctx, clientConnStateKey{}, connState)
}

// trackState records that a connection changed its state, and forgets a closed connection.
func (f *Frontend) trackState(connection net.Conn, httpState http.ConnState) {
	f.mutex.Lock()
	connState := f.connections[connection]
	if httpState == http.StateClosed || httpState == http.StateHijacked {
		delete(f.connections, connection)
	}
	f.mutex.Unlock()
	if connState != nil {
		connState.setHTTPState(httpState, f.now())
	}
}

// watchTimeouts periodically closes the connections of clients that are too slow or idle for
// too long.
func (f *Frontend) watchTimeouts(dying <-chan struct{}) {
	ticker := time.NewTicker(timeoutCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-dying:
			return
		case <-ticker.C:
			f.closeTimedOut()
		}
	}
}

// CloseIdleConnections closes the idle connections because the router is draining. Clients then
// connect to another router right away, instead of being refused with their next request.
func (f *Frontend) CloseIdleConnections() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for connection, connState := range f.connections {
		connState.interruptIfIdle(func() { _ = connection.SetReadDeadline(expiredDeadline) })
	}
}

// expiredDeadline is a read deadline in the past, which ends a pending read at once.
var expiredDeadline = time.Unix(1, 0)

// closeTimedOut closes the connections of clients that are too slow or idle for too long. A
// connection without a complete request head is closed at once. On any other timed-out
// connection, the pending or next read fails, and net/http then closes the connection. No
// forwarded request is lost: a connection whose request was admitted is not marked as timed out,
// and on a connection that is marked, every later request is refused instead of forwarded.
func (f *Frontend) closeTimedOut() {
	limits, now := f.handler.limits(), f.now()
	// closing contains the connections that are marked as closing. The value is true for a
	// connection on which no complete request head has arrived.
	closing := map[net.Conn]bool{}
	f.mutex.Lock()
	for connection, connState := range f.connections {
		if noRequest, isClosing := connState.markTimedOut(now, limits); isClosing {
			closing[connection] = noRequest
		}
	}
	f.mutex.Unlock()
	for connection, noRequest := range closing {
		if noRequest {
			_ = connection.Close()
			continue
		}
		_ = connection.SetReadDeadline(expiredDeadline)
	}
}
