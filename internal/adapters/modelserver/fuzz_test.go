package modelserver

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/failure"
)

// FuzzServerAnswers has a server respond with any status and any body. The client must not
// panic. Each error of Load must have a failure code. The client must accept no load with
// negative values, and must not report a prefill as done without a handle.
func FuzzServerAnswers(fuzzing *testing.F) {
	fuzzing.Add(200, []byte(`{"server":"a","part":"prefill","prefill_room":-4}`))
	fuzzing.Add(200, []byte(`{"inquiry":"one","run":1,"handle":"memory"}`))
	fuzzing.Add(200, []byte("{\"inquiry\":\"one\",\"run\":1,\"piece\":1,\"text\":\"a\"}\n{\"inquiry\":\"two\",\"run\":1,\"done\":true}\n"))
	fuzzing.Add(409, []byte(`{"started":false,"type":"handle_lapsed"}`))
	fuzzing.Add(503, []byte(``))
	var status int
	var body []byte
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(min(max(status, 200), 599))
		_, _ = writer.Write(body)
	}))
	fuzzing.Cleanup(server.Close)
	client := New(context.Background(), osruntime.New(context.Background(), osruntime.NewClock()), &http.Transport{})
	decision := auction.Decision{ID: "one", Run: 1, Address: server.Listener.Addr().String(), Request: &auction.Request{ID: "one"}}
	maySend := func() bool { return true }
	fuzzing.Fuzz(func(t *testing.T, responseStatus int, content []byte) {
		status, body = responseStatus, content
		if load, err := client.Load(context.Background(), decision.Address); err != nil {
			if failure.CodeOf(err) == failure.Unclassified {
				t.Fatalf("got error %v without a failure code", err)
			}
		} else if load.PrefillCapacity < 0 || load.DecodeSlots < 0 || load.MemoryFree < 0 {
			t.Fatalf("the report %q was accepted as %+v", content, load)
		}
		if outcome, handle, _ := client.Prefill(decision, maySend); outcome == auction.OutcomeDone && handle == "" {
			t.Fatalf("the response %q was accepted as a prefill without a handle", content)
		}
		_, _, _ = client.Decode(decision, maySend, func(chunk int, text string) {})
	})
}
