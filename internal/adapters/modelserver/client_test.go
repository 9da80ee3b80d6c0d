package modelserver

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/auction"
)

// TestRequestThatExpiresWhileDiallingIsNotSent lets each request expire while the transport
// establishes the connection: no body may reach the server, and the outcome must be NotStarted. A
// request that does not expire must reach the server.
func TestRequestThatExpiresWhileDiallingIsNotSent(t *testing.T) {
	var bodiesReceived atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, inbound *http.Request) {
		buffer := make([]byte, 1)
		if count, _ := inbound.Body.Read(buffer); count > 0 {
			bodiesReceived.Add(1)
		}
		writer.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	maySend := atomic.Bool{}
	maySend.Store(true)
	expireWhileDialling := true
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if expireWhileDialling {
			maySend.Store(false)
		}
		return connection, err
	}}
	client := New(context.Background(), osruntime.New(context.Background(), osruntime.NewClock()), transport)
	decision := auction.Decision{ID: "one", Run: 1, Address: server.Listener.Addr().String(), Request: &auction.Request{ID: "one"}}
	for _, send := range []func() auction.Outcome{
		func() auction.Outcome { outcome, _, _ := client.Prefill(decision, maySend.Load); return outcome },
		func() auction.Outcome {
			outcome, _, _ := client.Decode(decision, maySend.Load, func(int, string) {})
			return outcome
		},
	} {
		maySend.Store(true)
		if outcome := send(); outcome != auction.OutcomeNotStarted || bodiesReceived.Load() != 0 {
			t.Errorf("got outcome %s and %d bodies at the server, want %s and none", outcome, bodiesReceived.Load(), auction.OutcomeNotStarted)
		}
	}
	expireWhileDialling = false
	maySend.Store(true)
	if outcome, _, _ := client.Prefill(decision, maySend.Load); outcome == auction.OutcomeNotStarted || bodiesReceived.Load() != 1 {
		t.Errorf("request in time: got outcome %s and %d bodies at the server, want another outcome and 1", outcome, bodiesReceived.Load())
	}
}
