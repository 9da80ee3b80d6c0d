package proxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// TestStreamIsForwardedEventByEvent checks that each event is forwarded once it is complete, before the next one arrives.
func TestStreamIsForwardedEventByEvent(t *testing.T) {
	texts := make(chan string)
	server := newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool {
		connection.writeText(streamHead("id"))
		for text := range texts {
			connection.writeText(text)
		}
		connection.writeText("0\r\n\r\n")
		return true
	})
	executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })}
	router := newRouter(t, executor)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	responses := make(chan *http.Response)
	go func() {
		response, err := client.Do(router.request(t, http.MethodPost, "/", "id", "body"))
		if err != nil {
			t.Error(err)
		}
		responses <- response
	}()
	texts <- chunk(event(1))
	response := <-responses
	defer func() { _ = response.Body.Close() }()
	buffer := make([]byte, 1000)
	expect := func(text string) {
		t.Helper()
		var got string
		for len(got) < len(text) {
			read, err := response.Body.Read(buffer)
			got += string(buffer[:read])
			if err != nil {
				t.Fatal(err)
			}
		}
		if got != text {
			t.Fatalf("got %q, want %q", got, text)
		}
	}
	expect(event(1))
	// An incomplete event is not forwarded until the rest of it has arrived.
	texts <- chunk(event(2)[:9])
	texts <- chunk(event(2)[9:] + event(3) + "id: 4\n")
	expect(event(2) + event(3))
	texts <- chunk("data: x\n\n")
	expect("id: 4\ndata: x\n\n")
	close(texts)
	if read, err := response.Body.Read(buffer); read != 0 || err == nil || err.Error() != "EOF" {
		t.Fatalf("read %d bytes with error %v, want the end of the stream", read, err)
	}
	waitUntil(t, "the call ends", func() bool { return executor.active.Load() == 0 })
	if executor.last().Result != scheduler.Complete || response.Header.Get("X-Seal") != "seal-id" {
		t.Fatalf("got outcome %+v and headers %v, want a complete stream with X-Seal", executor.last(), response.Header)
	}
}

// TestInterruptedStreamDoesNotLookComplete has a server close the connection within a stream: the client must get the
// complete events, and then an aborted response instead of the end of the stream.
func TestInterruptedStreamDoesNotLookComplete(t *testing.T) {
	for name, tail := range map[string]string{"between events": "", "in an event": chunk("id: 3\nda"), "in a chunk": "20\r\nid: 3"} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool {
				connection.writeText(streamHead("id") + chunk(joinedEvents(1, 2)) + tail)
				return false
			})
			executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })}
			got := newRouter(t, executor).send(t, "id", "body")
			if got.failure == nil || string(got.body) != joinedEvents(1, 2) || executor.last().Result != scheduler.Interrupted {
				t.Fatalf("got %+v and outcome %+v, want two events, then an aborted response", got, executor.last())
			}
		})
	}
}

// TestStreamResumesAtAnotherServer resets the connection to the first server within an event. The second server gets the
// ID of the last event that was forwarded, and the client gets each event once.
func TestStreamResumesAtAnotherServer(t *testing.T) {
	first := newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool {
		connection.writeText(streamHead("id") + chunk(joinedEvents(1, 2)+"id: 3\nda"))
		connection.reset()
		return false
	})
	second := newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool {
		// The second server repeats event 2, which must be forwarded only once.
		connection.writeText(strings.Replace(streamHead("id"), "seal-id", "other", 1) + chunk(joinedEvents(2, 3, 4)) + "0\r\n\r\n")
		return true
	})
	executor := &scriptedExecutor{decide: func(number int, outcome scheduler.Outcome) scheduler.Decision {
		run := scheduler.Decision{Kind: scheduler.Generate, Server: first.record, Deadline: time.Now().Add(time.Second), Priority: 3}
		switch {
		case number == 0:
			return run
		case number == 1 && outcome.Result == scheduler.Interrupted:
			run.Server = second.record
			return run
		}
		return finalDecision(outcome)
	}}
	got := newRouter(t, executor).send(t, "id", "body")
	if got.failure != nil || string(got.body) != joinedEvents(1, 2, 3, 4) || got.header.Get("X-Seal") != "seal-id" {
		t.Fatalf("got %+v, want events 1 to 4 once each", got)
	}
	if inbound, body := second.request(0); inbound.Header.Get("Last-Event-Id") != "2" || string(body) != "body" ||
		inbound.Header.Get("Seamloom-Urgency") != "3" {
		t.Fatalf("the second server got body %q and headers %v", body, inbound.Header)
	}
}

// TestStalledStreamResumesAtAnotherServer has a server that stops sending within a stream: after the stream timeout, the
// stream must be resumed at another server.
func TestStalledStreamResumesAtAnotherServer(t *testing.T) {
	first := newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool {
		connection.writeText(streamHead("id") + chunk(joinedEvents(1)))
		_, _ = connection.reader.Peek(1)
		return false
	})
	second := newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool {
		connection.writeText(streamHead("id") + chunk(joinedEvents(2)) + "0\r\n\r\n")
		return true
	})
	executor := &scriptedExecutor{decide: func(number int, outcome scheduler.Outcome) scheduler.Decision {
		run := scheduler.Decision{Kind: scheduler.Generate, Server: first.record, Deadline: time.Now().Add(5 * time.Second),
			StreamTimeout: 30 * time.Millisecond, Priority: -1}
		switch {
		case number == 0:
			return run
		case number == 1 && outcome.Result == scheduler.Stalled:
			run.Server = second.record
			return run
		}
		return finalDecision(outcome)
	}}
	got := newRouter(t, executor).send(t, "id", "body")
	if got.failure != nil || string(got.body) != joinedEvents(1, 2) {
		t.Fatalf("got %+v, want events 1 and 2", got)
	}
}

// TestClientThatDoesNotReadIsCutOffAtTheDeadline has a client that never reads its stream: the call ends at
// its deadline. Until then the router must not conclude that the server has stalled, because it is the client
// that blocks the stream.
func TestClientThatDoesNotReadIsCutOffAtTheDeadline(t *testing.T) {
	largeEvent := "id: 1\ndata: " + strings.Repeat("x", 1<<16) + "\n\n"
	server := newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool {
		connection.writeText(streamHead("id"))
		for range 1000 {
			if _, err := io.WriteString(connection, chunk(largeEvent)); err != nil {
				return false
			}
		}
		return false
	})
	var deadline time.Time
	executor := &scriptedExecutor{decide: func(number int, outcome scheduler.Outcome) scheduler.Decision {
		if number == 0 {
			// On a busy machine the server itself may rest for longer than a short stream timeout.
			deadline = time.Now().Add(1500 * time.Millisecond)
			return scheduler.Decision{Kind: scheduler.Generate, Server: server.record, Deadline: deadline,
				StreamTimeout: 300 * time.Millisecond, Priority: -1}
		}
		return finalDecision(outcome)
	}}
	router := newRouter(t, executor)
	client, err := net.Dial("tcp", router.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	_, _ = io.WriteString(client, "POST /x HTTP/1.1\r\nHost: h\r\nSeamloom-Call: id\r\nContent-Length: 1\r\n\r\nx")
	waitUntil(t, "the call begins", func() bool { return executor.active.Load() == 1 })
	waitUntil(t, "the call ends", func() bool { return executor.active.Load() == 0 })
	if time.Now().Before(deadline) {
		t.Fatal("the call ended before its deadline")
	}
}
