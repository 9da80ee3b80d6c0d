package proxy

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"seamloom.example/seamloom/internal/membership"
)

// closeDelimitedHead returns the head of a response with neither a length nor chunks, which ends with its connection.
func closeDelimitedHead(id, contentType string) string {
	return "HTTP/1.1 200 OK\r\nSeamloom-Call: " + id + "\r\nX-Seal: seal-" + id + "\r\nContent-Type: " + contentType +
		"\r\nConnection: close\r\n\r\n"
}

// closeDelimitedStream returns the head of an event stream that ends with its connection.
func closeDelimitedStream(id string) string { return closeDelimitedHead(id, "text/event-stream") }

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
		"the connection, after a text":      {http.MethodPost, closeDelimitedHead("id", "text/plain") + "x", bodyClosed},
		"the connection, after an event":    {http.MethodPost, closeDelimitedStream("id") + joinedEvents(1, 2), bodyClosed},
		"the connection, within an event":   {http.MethodPost, closeDelimitedStream("id") + event(1) + "id: 2\nda", bodyTruncated},
		"the connection, after an error":    {http.MethodPost, strings.Replace(closeDelimitedHead("id", "text/plain"), "200", "500", 1) + "x", bodyClosed},
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
