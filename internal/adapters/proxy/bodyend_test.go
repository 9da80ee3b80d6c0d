package proxy

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// closeDelimitedHead returns the head of a response with neither a length nor chunks, which ends with its connection.
func closeDelimitedHead(id, contentType string) string {
	return "HTTP/1.1 200 OK\r\nSeamloom-Call: " + id + "\r\nX-Seal: seal-" + id + "\r\nContent-Type: " + contentType +
		"\r\nConnection: close\r\n\r\n"
}

// closeDelimitedStream returns the head of an event stream that ends with its connection.
func closeDelimitedStream(id string) string { return closeDelimitedHead(id, "text/event-stream") }

// sendToServer sends a call to a server that writes this response and closes the connection. It returns what the client
// got, and the outcome of the dispatch.
func sendToServer(t *testing.T, response string) (reply, scheduler.Outcome) {
	t.Helper()
	server := newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool {
		connection.writeText(response)
		return false
	})
	executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })}
	got := newRouter(t, executor).send(t, "id", "body")
	return got, executor.last()
}

// TestEndsOfResponseBodiesAreCounted guards against a metric that can't tell a response whose length or last chunk
// arrived from one that ended with its connection, possibly within an event.
func TestEndsOfResponseBodiesAreCounted(t *testing.T) {
	for name, test := range map[string]struct {
		method, response string
		end              bodyEnd
	}{
		"a length":                    {http.MethodPost, responseText(200, "id", "x"), bodyFramed},
		"chunks":                      {http.MethodPost, streamHead("id") + chunk(event(1)) + "0\r\n\r\n", bodyFramed},
		"chunks, the last is missing": {http.MethodPost, streamHead("id") + chunk(event(1)), bodyBroken},
		"a length, a byte is missing": {http.MethodPost, strings.TrimSuffix(responseText(200, "id", "xy"), "y"), bodyBroken},
		"no body by its method":       {http.MethodHead, closeDelimitedHead("id", "text/plain"), bodyFramed},
		"no body by its status": {http.MethodPost, strings.Replace(closeDelimitedHead("id", "text/plain"), "200 OK", "204 No Content", 1),
			bodyFramed},
		"the connection, after a text":     {http.MethodPost, closeDelimitedHead("id", "text/plain") + "x", bodyClosed},
		"the connection, after an event":   {http.MethodPost, closeDelimitedStream("id") + joinedEvents(1, 2), bodyClosed},
		"the connection, within an event":  {http.MethodPost, closeDelimitedStream("id") + event(1) + "id: 2\nda", bodyTruncated},
		"the connection, before any event": {http.MethodPost, closeDelimitedStream("id"), bodyTruncated},
		"the connection, after an error": {http.MethodPost, strings.Replace(closeDelimitedHead("id", "text/plain"), "200", "500", 1) + "x",
			bodyClosed},
		"the connection, after CR and CR":   {http.MethodPost, closeDelimitedStream("id") + "id: 1\rdata: x\r\r", bodyClosed},
		"the connection, between CR and LF": {http.MethodPost, closeDelimitedStream("id") + "id: 1\r\ndata: x\r\n\r", bodyTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool {
				connection.writeText(test.response)
				return false
			})
			router := newRouter(t, &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })})
			_ = send(router.request(t, test.method, "/chat/x", "id", "body"))
			var text bytes.Buffer
			router.handler.WriteMetrics(&text)
			for _, end := range []bodyEnd{bodyFramed, bodyClosed, bodyTruncated, bodyBroken} {
				count := "0"
				if end == test.end {
					count = "1"
				}
				if line := `seamloom_call_body_ends_total{end="` + string(end) + `"} ` + count; !strings.Contains(text.String(), line+"\n") {
					t.Errorf("the metrics lack %s:\n%s", line, text.String())
				}
			}
		})
	}
}

// TestCloseDelimitedStreamCutWithinAnEventDoesNotLookComplete guards against a stream that a server's crash cuts within an
// event, and that the client gets as a complete one since nothing but the end of the connection marks its end.
func TestCloseDelimitedStreamCutWithinAnEventDoesNotLookComplete(t *testing.T) {
	for name, test := range map[string]struct{ complete, tail string }{
		"within the ID":             {joinedEvents(1, 2), "id: 3"},
		"within the data":           {joinedEvents(1, 2), "id: 3\ndata: ev"},
		"before the empty line":     {joinedEvents(1, 2), "id: 3\ndata: event 3\n"},
		"within the empty line":     {"id: 1\r\ndata: x\r\n\r\n", "id: 2\r\ndata: x\r\n\r"},
		"within a line end":         {"id: 1\r\ndata: x\r\n\r\n", "id: 2\r"},
		"before the second CR":      {"id: 1\rdata: x\r\r", "id: 2\rdata: x\r"},
		"within a comment":          {joinedEvents(1, 2), ": pi"},
		"within a lone field":       {joinedEvents(1, 2), "d"},
		"after a field and no text": {joinedEvents(1, 2), "data:"},
	} {
		t.Run(name, func(t *testing.T) {
			got, outcome := sendToServer(t, closeDelimitedStream("id")+test.complete+test.tail)
			if got.failure == nil || string(got.body) != test.complete || outcome.Result != scheduler.Interrupted {
				t.Fatalf("got %+v and outcome %+v, want the complete events, then an aborted response", got, outcome)
			}
		})
	}
}

// TestCompleteCloseDelimitedStreamIsForwarded guards against complete streams that are taken for truncated ones:
// whatever the line ends are, such a stream ends with an empty line.
func TestCompleteCloseDelimitedStreamIsForwarded(t *testing.T) {
	for name, text := range map[string]string{
		"LF":                   joinedEvents(1, 2),
		"CR LF":                "id: 1\r\ndata: x\r\n\r\n",
		"CR":                   "id: 1\rdata: x\r\rid: 2\rdata: x\r\r",
		"CR and an empty line": "id: 1\rdata: x\r\r\r",
		"a last comment":       joinedEvents(1) + ": end\n\n",
		"LF and empty lines":   joinedEvents(1) + "\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			got, outcome := sendToServer(t, closeDelimitedStream("id")+text)
			if got.failure != nil || string(got.body) != text || outcome.Result != scheduler.Complete {
				t.Fatalf("got %+v and outcome %+v, want the complete stream", got, outcome)
			}
		})
	}
}

// TestFramedStreamWithoutItsLastEmptyLineIsForwarded guards against a stream that is taken for truncated although its
// last chunk or its length proves that the server sent no more.
func TestFramedStreamWithoutItsLastEmptyLineIsForwarded(t *testing.T) {
	text := joinedEvents(1) + "id: 2\ndata: x\n"
	for name, response := range map[string]string{
		"chunks": streamHead("id") + chunk(text) + "0\r\n\r\n",
		"length": responseText(200, "id", text, "Content-Type: text/event-stream"),
	} {
		t.Run(name, func(t *testing.T) {
			got, outcome := sendToServer(t, response)
			if got.failure != nil || string(got.body) != text || outcome.Result != scheduler.Complete {
				t.Fatalf("got %+v and outcome %+v, want the complete stream", got, outcome)
			}
		})
	}
}

// TestCloseDelimitedStreamCutWithinAnEventResumes guards against a resumable stream that ends early instead of being
// resumed, if a crash cuts its first server's part, which ends with its connection, within an event.
func TestCloseDelimitedStreamCutWithinAnEventResumes(t *testing.T) {
	first := newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool {
		connection.writeText(closeDelimitedStream("id") + joinedEvents(1, 2) + "id: 3\nda")
		return false
	})
	second := newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool {
		connection.writeText(closeDelimitedStream("id") + joinedEvents(3, 4))
		return false
	})
	executor := &scriptedExecutor{decide: resumeAt(first, second)}
	got := newRouter(t, executor).send(t, "id", "body")
	if got.failure != nil || string(got.body) != joinedEvents(1, 2, 3, 4) {
		t.Fatalf("got %+v, want events 1 to 4 once each", got)
	}
	if inbound, _ := second.request(0); inbound.Header.Get("Last-Event-Id") != "2" {
		t.Fatalf("the second server got headers %v, want the ID of the last complete event", inbound.Header)
	}
}

// TestCloseDelimitedStreamThatTheRouterEndsIsNotComplete guards against a stream that looks complete because the router
// itself closes the connection to its server: after a stalled event stream, or at the deadline.
func TestCloseDelimitedStreamThatTheRouterEndsIsNotComplete(t *testing.T) {
	for name, limits := range map[string]struct {
		streamTimeout, deadline time.Duration
		result                  scheduler.Result
	}{
		"stream timeout": {30 * time.Millisecond, 5 * time.Second, scheduler.Stalled},
		"deadline":       {0, 200 * time.Millisecond, scheduler.Interrupted},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool {
				connection.writeText(closeDelimitedStream("id") + joinedEvents(1, 2))
				_, _ = connection.reader.Peek(1)
				return false
			})
			executor := &scriptedExecutor{decide: func(number int, outcome scheduler.Outcome) scheduler.Decision {
				if number > 0 {
					return finalDecision(outcome)
				}
				return scheduler.Decision{Kind: scheduler.Generate, Server: server.record, Priority: -1,
					StreamTimeout: limits.streamTimeout, Deadline: time.Now().Add(limits.deadline)}
			}}
			got := newRouter(t, executor).send(t, "id", "body")
			if got.failure == nil || string(got.body) != joinedEvents(1, 2) || executor.last().Result != limits.result {
				t.Fatalf("got %+v and outcome %+v, want two events, then an aborted response", got, executor.last())
			}
		})
	}
}

// TestCloseDelimitedStreamThatIsResetIsNotComplete guards against a reset between two events that is taken for the end of
// the stream.
func TestCloseDelimitedStreamThatIsResetIsNotComplete(t *testing.T) {
	forwarded := make(chan bool)
	server := newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool {
		connection.writeText(closeDelimitedStream("id") + joinedEvents(1, 2))
		<-forwarded
		connection.reset()
		return false
	})
	executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })}
	response, err := http.DefaultClient.Do(newRouter(t, executor).request(t, http.MethodPost, "/", "id", "body"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	events := make([]byte, len(joinedEvents(1, 2)))
	if _, err := io.ReadFull(response.Body, events); err != nil {
		t.Fatal(err)
	}
	close(forwarded)
	if rest, err := io.ReadAll(response.Body); err == nil || len(rest) > 0 || executor.last().Result != scheduler.Interrupted {
		t.Fatalf("got %q, error %v and outcome %+v, want an aborted response", rest, err, executor.last())
	}
}

// resumeAt returns a decide function that sends a call to the servers one after the other, as long as no response
// is complete, with a deadline of five seconds.
func resumeAt(servers ...*fakeServer) func(number int, outcome scheduler.Outcome) scheduler.Decision {
	return func(number int, outcome scheduler.Outcome) scheduler.Decision {
		incomplete := outcome.Result == scheduler.Interrupted || outcome.Result == scheduler.TimedOut
		if number == 0 || number < len(servers) && incomplete {
			return scheduler.Decision{Kind: scheduler.Generate, Server: servers[number].record,
				Deadline: time.Now().Add(5 * time.Second), Priority: -1}
		}
		return finalDecision(outcome)
	}
}

// TestCloseDelimitedStreamWithoutAnEventIsNoAnswer guards against an empty success for the client of a server that crashes
// before the first event of a stream that ends with its connection.
func TestCloseDelimitedStreamWithoutAnEventIsNoAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		text   string
		result scheduler.Result
	}{
		"nothing":              {"", scheduler.TimedOut},
		"half an event":        {"id: 1\nda", scheduler.TimedOut},
		"a comment":            {": ready\n\n", scheduler.Interrupted},
		"a reconnection delay": {"retry: 50\n\n", scheduler.Interrupted},
		"empty lines":          {"\n\n", scheduler.Interrupted},
	} {
		t.Run(name, func(t *testing.T) {
			got, outcome := sendToServer(t, closeDelimitedStream("id")+test.text)
			if got.status == http.StatusOK && got.failure == nil || outcome.Result != test.result {
				t.Fatalf("got %+v and outcome %+v, want result %s and no complete success", got, outcome, test.result)
			}
		})
	}
}

// TestResumedStreamWithoutAnEventIsNotComplete guards against a resumed stream that ends early: its next server crashes
// before its first event, and the end of the connection is taken for the end of the stream.
func TestResumedStreamWithoutAnEventIsNotComplete(t *testing.T) {
	for name, test := range map[string]struct {
		last     string
		complete bool
	}{
		"another server is left": {closeDelimitedStream("id") + joinedEvents(3, 4), true},
		"no server is left":      {closeDelimitedStream("id"), false},
	} {
		t.Run(name, func(t *testing.T) {
			var servers []*fakeServer
			for _, response := range []string{closeDelimitedStream("id") + joinedEvents(1, 2) + "id", closeDelimitedStream("id"), test.last} {
				servers = append(servers, newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool {
					connection.writeText(response)
					return false
				}))
			}
			executor := &scriptedExecutor{decide: resumeAt(servers...)}
			got := newRouter(t, executor).send(t, "id", "body")
			want := joinedEvents(1, 2)
			if test.complete {
				want = joinedEvents(1, 2, 3, 4)
			}
			if complete := got.failure == nil; complete != test.complete || string(got.body) != want {
				t.Fatalf("got %+v, want complete %v and %q", got, test.complete, want)
			}
			if inbound, _ := servers[2].request(0); inbound.Header.Get("Last-Event-Id") != "2" {
				t.Fatalf("the last server got headers %v, want the ID of the last forwarded event", inbound.Header)
			}
		})
	}
}

// TestFramedStreamWithoutAnEventIsComplete guards against an empty stream that is taken for truncated although its length
// or its last chunk proves it complete, such as one that resumes after its last event.
func TestFramedStreamWithoutAnEventIsComplete(t *testing.T) {
	for name, response := range map[string]string{
		"chunks": streamHead("id") + "0\r\n\r\n",
		"length": responseText(200, "id", "", "Content-Type: text/event-stream"),
	} {
		t.Run(name, func(t *testing.T) {
			got, outcome := sendToServer(t, response)
			if got.failure != nil || got.status != http.StatusOK || len(got.body) != 0 || outcome.Result != scheduler.Complete {
				t.Fatalf("got %+v and outcome %+v, want an empty success", got, outcome)
			}
		})
	}
}

// TestCloseDelimitedJSONThatIsCutDoesNotLookComplete guards against a JSON response that a server's crash cuts, and that
// the client gets as a complete one since nothing but the end of the connection marks its end. Bodies of which the
// content shows nothing are forwarded unchanged.
func TestCloseDelimitedJSONThatIsCutDoesNotLookComplete(t *testing.T) {
	for name, test := range map[string]struct {
		contentType, body string
		result            scheduler.Result
	}{
		"within a text":       {"application/json", `{"answer":"thre`, scheduler.TimedOut},
		"within an object":    {"application/json; charset=utf-8", `{"answer":"three"`, scheduler.TimedOut},
		"within a later one":  {"application/json", "{}\n{", scheduler.TimedOut},
		"before its begin":    {"application/json", "", scheduler.TimedOut},
		"a problem":           {"application/problem+json", `{"title"`, scheduler.TimedOut},
		"complete":            {"application/json", `{"answer":"three"}` + "\n", scheduler.Complete},
		"several values":      {"application/json", "{}\n{}\n", scheduler.Complete},
		"malformed, not cut":  {"application/json", `{"answer"}`, scheduler.Complete},
		"text":                {"text/plain", `{"answer":"thre`, scheduler.Complete},
		"no text":             {"text/plain", "", scheduler.Complete},
		"malformed, then cut": {"application/json", `}{"answer`, scheduler.Complete},
	} {
		t.Run(name, func(t *testing.T) {
			got, outcome := sendToServer(t, closeDelimitedHead("id", test.contentType)+test.body)
			complete := got.failure == nil && got.status == http.StatusOK && string(got.body) == test.body
			if outcome.Result != test.result || complete != (test.result == scheduler.Complete) {
				t.Fatalf("got %+v and outcome %+v, want result %s", got, outcome, test.result)
			}
		})
	}
}

// TestCutErrorKeepsItsStatus guards against the cut body of a server's error that looks complete to the client. What the
// head says is complete: it still decides whether the call may be retried.
func TestCutErrorKeepsItsStatus(t *testing.T) {
	head := strings.Replace(closeDelimitedHead("id", "application/json"), "200 OK", "503 Service Unavailable", 1)
	for name, test := range map[string]struct {
		response string
		result   scheduler.Result
	}{
		"an error":                {strings.Replace(head, "503", "500", 1) + `{"type":`, scheduler.ErrorResponse},
		"a promise":               {strings.Replace(head, "X-Seal", "Seamloom-Not-Started: 1\r\nX-Seal", 1), scheduler.NotStarted},
		"an error that is no cut": {strings.Replace(head, "503", "500", 1) + `{"type":"x"}`, scheduler.ErrorResponse},
	} {
		t.Run(name, func(t *testing.T) {
			got, outcome := sendToServer(t, test.response)
			forwarded := got.header.Get("X-Seal") != ""
			if outcome.Result != test.result || forwarded != strings.HasSuffix(test.response, "}") || got.failure != nil {
				t.Fatalf("got %+v and outcome %+v, want result %s and no cut body", got, outcome, test.result)
			}
		})
	}
}

// TestCutPrefillHasNoHandle guards against a handle that a server's crash cuts, and that is taken for a complete one.
func TestCutPrefillHasNoHandle(t *testing.T) {
	server := newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool {
		connection.writeText(closeDelimitedHead("id", "application/json") + `{"handle":"3fa09c41`)
		return false
	})
	executor := &scriptedExecutor{decide: func(number int, outcome scheduler.Outcome) scheduler.Decision {
		if number == 0 {
			return scheduler.Decision{Kind: scheduler.Prefill, Server: server.record, Deadline: time.Now().Add(5 * time.Second), Priority: -1}
		}
		return finalDecision(outcome)
	}}
	_ = newRouter(t, executor).send(t, "id", "body")
	if outcome := executor.last(); outcome.Result == scheduler.Complete || outcome.Handle != "" {
		t.Fatalf("got outcome %+v, want no handle", outcome)
	}
}

// TestInterruptedStreamIsResetForAnHTTP10Client guards against a stream that breaks off and looks complete to a client that
// speaks HTTP/1.0: it gets no chunks, so nothing but the end of the connection marks the end of its response.
func TestInterruptedStreamIsResetForAnHTTP10Client(t *testing.T) {
	for name, test := range map[string]struct {
		stream   string
		complete bool
	}{
		"complete":    {streamHead("id") + chunk(joinedEvents(1, 2)) + "0\r\n\r\n", true},
		"interrupted": {streamHead("id") + chunk(joinedEvents(1, 2)), false},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, func(connection *serverConnection, _ *http.Request) bool {
				connection.writeText(test.stream)
				return false
			})
			executor := &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })}
			frontend, address, _ := openFrontend(t, executor, time.Now)
			client, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = client.Close() }()
			_, _ = io.WriteString(client, "POST /x HTTP/1.0\r\nHost: h\r\nSeamloom-Call: id\r\nContent-Length: 1\r\n\r\nx")
			got, err := io.ReadAll(client)
			if test.complete != (err == nil) || test.complete && !strings.HasSuffix(string(got), joinedEvents(1, 2)) {
				t.Fatalf("got %q and error %v, want complete %v", got, err, test.complete)
			}
			waitUntil(t, "the connection is forgotten", func() bool {
				frontend.mutex.Lock()
				defer frontend.mutex.Unlock()
				return len(frontend.connections) == 0
			})
		})
	}
}
