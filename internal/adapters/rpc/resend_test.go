package rpc

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// failingResponse writes a faulty response, or none, to the second request on a connection; the server then
// closes the connection. The parameter address is the server's own address, for a redirect.
type failingResponse func(connection net.Conn, address string)

// startFailingServer starts a server that responds with status 200 to the first request on each connection,
// and with fail to the second one. It counts the requests that it receives.
func startFailingServer(t *testing.T, fail failingResponse) (address string, received *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	received = &atomic.Int64{}
	address = listener.Addr().String()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				reader := bufio.NewReader(connection)
				for number := 0; ; number++ {
					inbound, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, inbound.Body); err != nil {
						return
					}
					received.Add(1)
					if number > 0 {
						fail(connection, address)
						return
					}
					_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	return address, received
}

// TestClientDoesNotResendRequests guards against requests that are executed twice. The server reads a
// request on a reused connection and then fails in each way after which an HTTP library may send the request
// again: the server must receive each request only once.
func TestClientDoesNotResendRequests(t *testing.T) {
	for name, fail := range map[string]failingResponse{
		"closed without a response": func(net.Conn, string) {},
		"connection reset": func(connection net.Conn, _ string) {
			_ = connection.(*net.TCPConn).SetLinger(0)
		},
		"closed within the headers": func(connection net.Conn, _ string) { _, _ = io.WriteString(connection, "HTTP/1.1 20") },
		"closed within the body": func(connection net.Conn, _ string) {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab")
		},
		"redirect": func(connection net.Conn, address string) {
			_, _ = io.WriteString(connection, "HTTP/1.1 307 Temporary Redirect\r\nLocation: http://"+address+"/other\r\nContent-Length: 0\r\n\r\n")
		},
		"request timeout": func(connection net.Conn, _ string) {
			_, _ = io.WriteString(connection, "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			address, received := startFailingServer(t, fail)
			client := NewClient(Transport(nil))
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			send := func() {
				outbound, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", bytes.NewReader([]byte("once")))
				if err != nil {
					t.Fatal(err)
				}
				response, err := client.Do(outbound)
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			}
			send()
			send()
			if count := received.Load(); count != 2 {
				t.Errorf("the server received %d requests, want 2", count)
			}
		})
	}
}
