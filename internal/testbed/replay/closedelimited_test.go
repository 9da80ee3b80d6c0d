package replay

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestCloseDelimitedAnswersEndWithTheirConnection checks the emulated servers' responses without length and chunks: they
// end with their connection, complete ones after an event, and those that are broken off within one.
func TestCloseDelimitedAnswersEndWithTheirConnection(t *testing.T) {
	fixture := startServerFixture(t, SmallSite())
	server := fixture.inPhase(phaseDecode)
	for name, share := range map[string]float64{"complete": 0, "broken off": 1} {
		t.Run(name, func(t *testing.T) {
			server.setMisbehaviour(func(m *misbehaviour) { m.closeDelimited, m.corruptShare = true, share })
			broken, complete := 0, 0
			for range 12 {
				response, body := fixture.send(t, server, "t", nil)
				if response.StatusCode != http.StatusOK {
					continue
				}
				if !isCloseDelimited(response) {
					t.Fatalf("got a response with the headers %v, want neither a length nor chunks", response.Header)
				}
				if strings.HasSuffix(body, "\n\n") {
					complete++
				} else {
					broken++
				}
			}
			if share == 0 && (complete == 0 || broken > 0) || share == 1 && (complete > 0 || broken == 0) {
				t.Errorf("%d responses were complete and %d broken off within an event", complete, broken)
			}
		})
	}
}

// TestClientTakesNoCloseDelimitedAnswerForComplete guards against clients of the emulated platform that take the end of a
// connection for the end of a response: they would not see that a machine passes a crash on as a complete response.
func TestClientTakesNoCloseDelimitedAnswerForComplete(t *testing.T) {
	const chunked, closeDelimited = "Transfer-Encoding: chunked", "Connection: close"
	for name, test := range map[string]struct {
		framing, body       string
		complete, truncated bool
	}{
		"close-delimited":         {closeDelimited, "id: 1\ndata: a/b/1-1\n\n", false, false},
		"chunks":                  {chunked, "15\r\nid: 1\ndata: a/b/1-1\n\n\r\n0\r\n\r\n", true, false},
		"chunks, within a line":   {chunked, "5\r\nid: 1\r\n0\r\n\r\n", true, true},
		"chunks, within an event": {chunked, "6\r\nid: 1\n\r\n0\r\n\r\n", true, true},
		"chunks, no last one":     {chunked, "15\r\nid: 1\ndata: a/b/1-1\n\n\r\n", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			class := Class{Name: "chat", Target: time.Second, Deadline: 5 * time.Second, OwnTokens: 1, MaxTokens: 1}
			sent := newRequest(class, "r-chat", RouteRule{Host: "a.example", Prefix: "/chat/"}, rand.New(rand.NewPCG(1, 1)))
			sent.leavesEarly = false
			machine, client := net.Pipe()
			go func() {
				inbound, err := http.ReadRequest(bufio.NewReader(machine))
				if err == nil {
					_, _ = io.Copy(io.Discard, inbound.Body)
				}
				_, _ = io.WriteString(machine, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+test.framing+"\r\n\r\n"+test.body)
				_ = machine.Close()
			}()
			got := sent.send(&conn{Conn: client, reader: bufio.NewReader(client), machine: "edge-1"}, 0, 0, &EventLog{})
			if got.event.Status != http.StatusOK || got.event.Complete != test.complete || got.event.Truncated != test.truncated {
				t.Errorf("got %+v, want complete %v and truncated %v", got.event, test.complete, test.truncated)
			}
		})
	}
}

// TestCompleteStreamThatEndsWithinAnEventIsAViolation guards against a checker that counts only whole events, and so
// misses half an event behind the last one of a complete stream.
func TestCompleteStreamThatEndsWithinAnEventIsAViolation(t *testing.T) {
	day := seededDay{start: time.Unix(1_700_000_000, 0)}
	for _, truncated := range []bool{false, true} {
		call := day.callEvents("four", 30_000, "r-chat", "desk", false)
		call[len(call)-1].Truncated = truncated
		log := &EventLog{}
		for _, event := range append(day.cleanEvents(), call...) {
			log.Append(event)
		}
		verdict := CheckEvents(log.Events(), SmallSite())
		if found := verdict.Finding("ORDER").Violations > 0; found != truncated {
			t.Errorf("truncated %v: got this verdict:\n%s", truncated, verdict)
		}
	}
}
