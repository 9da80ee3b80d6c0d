package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"seamloom.example/seamloom/internal/failure"
)

const (
	// headerTimeout limits how long a client may take to send the headers of a request.
	headerTimeout = 5 * time.Second
	// shutdownTimeout limits how long requests in flight may continue when the server shuts down.
	shutdownTimeout = time.Second
)

// Connection describes the connection on which a request arrived.
type Connection struct {
	// ID is the number of the connection among those that one call of Serve has accepted.
	ID uint64
	// SentAfter is a time, by the server's clock, before which the request cannot have been sent: when
	// the connection was accepted, or when the response to the previous request on it was ready. Clients
	// of HTTP/1.1 wait for that response before they send the next request; a client that uses pipelining
	// does not, and the server cannot detect it.
	SentAfter time.Time
}

// servedConnection is the state of one connection, on which requests are served one after another.
type servedConnection struct {
	id        uint64
	mutex     sync.Mutex
	sentAfter time.Time
}

// recordResponse records that a response is ready.
func (s *servedConnection) recordResponse(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sentAfter = now
}

// connectionKey is the context key of a request's servedConnection.
type connectionKey struct{}

// ConnectionOf returns the connection on which a request arrived, given the request's context. It returns
// the zero value for a request that is not served by Serve.
func ConnectionOf(ctx context.Context) Connection {
	served, found := ctx.Value(connectionKey{}).(*servedConnection)
	if !found {
		return Connection{}
	}
	served.mutex.Lock()
	defer served.mutex.Unlock()
	return Connection{ID: served.id, SentAfter: served.sentAfter}
}

// recordResponses returns a handler that calls the given handler and then records in the servedConnection of the
// request that the response is ready.
func recordResponses(handler http.Handler, now func() time.Time) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		handler.ServeHTTP(writer, request)
		if served, found := request.Context().Value(connectionKey{}).(*servedConnection); found {
			served.recordResponse(now())
		}
	})
}

// Serve listens on the address and serves requests in goroutines of the tomb until the tomb dies. Requests
// in flight then have shutdownTimeout to finish. The parameter now is the clock for Connection.SentAfter. An
// error has the code Unreachable.
func Serve(owner *tomb.Tomb, address string, handler http.Handler, now func() time.Time) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return failure.Wrap(failure.Unreachable, err)
	}
	var connections atomic.Uint64
	server := &http.Server{
		Handler:           recordResponses(handler, now),
		ReadHeaderTimeout: headerTimeout,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, &servedConnection{id: connections.Add(1), sentAfter: now()})
		},
	}
	owner.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return failure.Wrap(failure.Unreachable, err)
		}
		return nil
	})
	owner.Go(func() error {
		<-owner.Dying()
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
		return failure.Wrap(failure.Unreachable, server.Close())
	})
	return nil
}
