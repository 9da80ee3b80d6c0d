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

// ending is what a peer does with the second request on a kept connection.
type ending func(connection net.Conn, address string)

// endingPeer answers the first request on each connection, and ends the next as told.
func endingPeer(t *testing.T, end ending) (address string, seen *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	seen = &atomic.Int64{}
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
					seen.Add(1)
					if number > 0 {
						end(connection, address)
						return
					}
					_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	return address, seen
}

// TestNoClientSendsAgain has a peer read a request on a kept connection and end it in each
// way that tempts a library to send it again: the peer sees it once.
func TestNoClientSendsAgain(t *testing.T) {
	for name, end := range map[string]ending{
		"closed without an answer": func(net.Conn, string) {},
		"reset": func(connection net.Conn, _ string) {
			_ = connection.(*net.TCPConn).SetLinger(0)
		},
		"cut in the head": func(connection net.Conn, _ string) { _, _ = io.WriteString(connection, "HTTP/1.1 20") },
		"cut in the body": func(connection net.Conn, _ string) {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab")
		},
		"sent elsewhere": func(connection net.Conn, address string) {
			_, _ = io.WriteString(connection, "HTTP/1.1 307 Temporary Redirect\r\nLocation: http://"+address+"/other\r\nContent-Length: 0\r\n\r\n")
		},
		"told to come again": func(connection net.Conn, _ string) {
			_, _ = io.WriteString(connection, "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			address, seen := endingPeer(t, end)
			client := NewClient(Transport(nil))
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			send := func() {
				outbound, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", bytes.NewReader([]byte("once")))
				if err != nil {
					t.Fatal(err)
				}
				inbound, err := client.Do(outbound)
				if err == nil {
					_, _ = io.Copy(io.Discard, inbound.Body)
					_ = inbound.Body.Close()
				}
			}
			send()
			send()
			if count := seen.Load(); count != 2 {
				t.Errorf("%d requests arrived, of two", count)
			}
		})
	}
}
