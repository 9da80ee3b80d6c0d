package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// TestIdleConnectionsAreClosedWhenDraining has one idle client and one that waits for its
// response when the router begins to drain: the idle connection is closed, and the other client
// gets its response.
func TestIdleConnectionsAreClosedWhenDraining(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	server := newFakeServer(t, func(connection *serverConnection, inbound *http.Request) bool {
		id := inbound.Header.Get("Seamloom-Call")
		if id == "slow" {
			close(arrived)
			<-proceed
		}
		connection.writeText(responseText(200, id, "x"))
		return true
	})
	executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })}
	frontend, address, _ := openFrontend(t, executor, time.Now)
	dial := func(id string) (net.Conn, *bufio.Reader) {
		client, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = client.Close() })
		_, _ = io.WriteString(client, "GET /x HTTP/1.1\r\nHost: h\r\nSeamloom-Call: "+id+"\r\n\r\n")
		return client, bufio.NewReader(client)
	}
	idleClient, idleReader := dial("quick")
	response, err := http.ReadResponse(idleReader, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.ReadAll(response.Body)
	_, busyReader := dial("slow")
	<-arrived
	waitUntil(t, "one connection is idle", func() bool {
		frontend.mutex.Lock()
		defer frontend.mutex.Unlock()
		for _, connState := range frontend.connections {
			connState.mutex.Lock()
			idle := connState.httpState == http.StateIdle
			connState.mutex.Unlock()
			if idle {
				return true
			}
		}
		return false
	})
	frontend.CloseIdleConnections()
	_ = idleClient.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := idleReader.ReadByte(); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("the idle connection is still open: %v", err)
	}
	close(proceed)
	response, err = http.ReadResponse(busyReader, nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("the call in progress was not served with status 200: %+v, %v", response, err)
	}
}

// TestRequestLineInTwoSegmentsIsNotCutByClosing sends the first half of a request line on an idle
// connection just before or just after the connection is marked as closing. In the first case the
// request must be served, in the second it must be refused with 503. The router must never respond as
// though the client had sent only half of the line.
func TestRequestLineInTwoSegmentsIsNotCutByClosing(t *testing.T) {
	for _, test := range []struct {
		name         string
		closingFirst bool
	}{{"the first segment arrives before closing", false}, {"the first segment arrives after closing", true}} {
		t.Run(test.name, func(t *testing.T) {
			server := newFakeServer(t, func(connection *serverConnection, inbound *http.Request) bool {
				connection.writeText(responseText(200, inbound.Header.Get("Seamloom-Call"), "x"))
				return true
			})
			executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })}
			frontend, address, _ := openFrontend(t, executor, time.Now)
			client, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = client.Close() })
			reader := bufio.NewReader(client)
			const request = "GET /x HTTP/1.1\r\nHost: h\r\nSeamloom-Call: one\r\n\r\n"
			_, _ = io.WriteString(client, request)
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.ReadAll(response.Body)
			var connState *clientConnState
			// connStateIs returns a function that reports whether the state of the only connection fulfils the
			// condition. The function also sets connState to that state.
			connStateIs := func(condition func(connState *clientConnState) bool) func() bool {
				return func() bool {
					frontend.mutex.Lock()
					defer frontend.mutex.Unlock()
					for _, connState = range frontend.connections {
						connState.mutex.Lock()
						defer connState.mutex.Unlock()
						return condition(connState)
					}
					return false
				}
			}
			waitUntil(t, "the connection is idle",
				connStateIs(func(connState *clientConnState) bool { return connState.httpState == http.StateIdle }))
			if test.closingFirst {
				// The connection is only marked as closing here: the bytes arrive after the mark and before
				// CloseIdleConnections, which must then not interrupt the read.
				connState.mutex.Lock()
				connState.closing = true
				connState.mutex.Unlock()
			}
			_, _ = io.WriteString(client, request[:9])
			waitUntil(t, "the first bytes have arrived", connStateIs(func(connState *clientConnState) bool { return connState.begun }))
			frontend.CloseIdleConnections()
			_, _ = io.WriteString(client, request[9:])
			_ = client.SetReadDeadline(time.Now().Add(5 * time.Second))
			response, err = http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			want := http.StatusOK
			if test.closingFirst {
				want = http.StatusServiceUnavailable
			}
			if response.StatusCode != want {
				t.Errorf("got status %s, want %d", response.Status, want)
			}
		})
	}
}
