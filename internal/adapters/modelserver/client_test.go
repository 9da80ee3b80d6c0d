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

// TestOrderThatWaitedTooLongDoesNotLeave has the connection come about only after
// the order may not go any more: nothing may reach the server, and the outcome
// is certain.
func TestOrderThatWaitedTooLongDoesNotLeave(t *testing.T) {
	var orders atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, inbound *http.Request) {
		buffer := make([]byte, 1)
		if count, _ := inbound.Body.Read(buffer); count > 0 {
			orders.Add(1)
		}
		writer.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	may := atomic.Bool{}
	may.Store(true)
	waits := true
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if waits {
			may.Store(false)
		}
		return connection, err
	}}
	client := New(context.Background(), osruntime.New(context.Background(), osruntime.NewClock()), transport)
	decision := auction.Decision{ID: "one", Run: 1, Address: server.Listener.Addr().String(), Request: &auction.Request{ID: "one"}}
	for _, order := range []func() auction.Outcome{
		func() auction.Outcome { outcome, _, _ := client.Prefill(decision, may.Load); return outcome },
		func() auction.Outcome {
			outcome, _, _ := client.Decode(decision, may.Load, func(int, string) {})
			return outcome
		},
	} {
		may.Store(true)
		if outcome := order(); outcome != auction.OutcomeNotStarted || orders.Load() != 0 {
			t.Errorf("the outcome is %s, and %d orders came", outcome, orders.Load())
		}
	}
	waits = false
	may.Store(true)
	if outcome, _, _ := client.Prefill(decision, may.Load); outcome == auction.OutcomeNotStarted || orders.Load() != 1 {
		t.Errorf("an order in time: %s, and %d orders came", outcome, orders.Load())
	}
}
