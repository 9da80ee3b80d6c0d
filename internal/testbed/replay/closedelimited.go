package replay

import (
	"context"
	"net"
	"net/http"
)

// connectionKey is the key of a request's connection in the context of the request.
type connectionKey struct{}

// withConnection returns a context with the connection, for the requests on the connection.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// connectionOf returns the connection of a request, or nil if its server does not keep connections.
func connectionOf(inbound *http.Request) net.Conn {
	connection, _ := inbound.Context().Value(connectionKey{}).(net.Conn)
	return connection
}

// omitLength makes net/http send neither a length nor chunks in a close-delimited response, and close the connection
// at its end.
func (e *exchange) omitLength(header http.Header) {
	if e.closeDelimited {
		header.Set("Transfer-Encoding", "identity")
	}
}

// resetIfAborted makes a close-delimited response end with a reset of its connection from now on, if the server
// crashes or breaks the response off: nothing else shows that a response is incomplete that ends between two events.
func (e *exchange) resetIfAborted() {
	if e.closeDelimited {
		e.setLinger(0)
	}
}

// endRegularly makes a close-delimited response end with a regular close of the connection.
func (e *exchange) endRegularly() {
	if e.closeDelimited {
		e.setLinger(-1)
	}
}

// cutWithin writes the first half of a text and then breaks the response off. A close-delimited response is broken off
// as by a process that was killed: its connection is closed regularly.
func (e *exchange) cutWithin(writer http.ResponseWriter, text string) {
	_, _ = writer.Write([]byte(text[:len(text)/2]))
	_ = http.NewResponseController(writer).Flush()
	e.endRegularly()
	panic(http.ErrAbortHandler)
}

// setLinger sets whether closing the connection discards unsent bytes and resets it (0) or not (-1).
func (e *exchange) setLinger(seconds int) {
	if tcp, isTCP := e.connection.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(seconds)
	}
}
