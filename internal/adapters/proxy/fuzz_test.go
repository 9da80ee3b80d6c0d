package proxy

import (
	"bytes"
	"strings"
	"testing"
)

func FuzzReadSegments(f *testing.F) {
	for _, text := range []string{"", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", "x:1", ":1", "1:", ",", "1:2,",
		"ffffffffffffffffff:1", " a:1 , b:2"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		segments := readSegments(text)
		if len(segments) > maxSegments {
			t.Fatalf("got %d segments, want at most %d", len(segments), maxSegments)
		}
		for _, segment := range segments {
			if segment.Tokens < 0 || segment.Tokens > maxTokenCount {
				t.Fatalf("got segment %+v, want a token count between 0 and %d", segment, maxTokenCount)
			}
		}
		if segments != nil && len(segments) != 1+strings.Count(text, ",") {
			t.Fatalf("got %d segments from %q, want one per entry", len(segments), text)
		}
		prompt, output := readTokens(text)
		if prompt < 0 || output < 0 {
			t.Fatalf("got %d prompt and %d output tokens, want no negative count", prompt, output)
		}
		_ = readLoad(text)
	})
}

// FuzzEvents checks that a stream that is cut in two at any position has the same events as the
// uncut stream.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n: note\r\rdata: z"), 7)
	f.Add([]byte("\n\n\r\n\r\r\n"), 2)
	f.Add([]byte("x-weight-revisions: 3\nid: 9\ndata\n\n"), 1)
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		events := splitEvents(text)
		if joined := bytes.Join(events, nil); !bytes.HasPrefix(text, joined) {
			t.Fatalf("the events %q are not a prefix of %q", joined, text)
		}
		for _, event := range events {
			// An event that ends with CR is incomplete without the bytes after it: LF could follow.
			if end := eventEnd(event); end != len(event) && event[len(event)-1] != '\r' {
				t.Fatalf("event %q ends at %d, want %d", event, end, len(event))
			}
			if id, found := eventID(event); found && strings.ContainsAny(id, "\r\n\x00") {
				t.Fatalf("got the event ID %q, which contains a control character", id)
			}
		}
		if cut < 0 || cut > len(text) {
			return
		}
		// Split in two: the events of the first part, then those of the second part together with
		// the incomplete event that the first part left.
		first := splitEvents(text[:cut])
		rest := text[len(bytes.Join(first, nil)):]
		if combined := append(first, splitEvents(rest)...); !bytes.Equal(bytes.Join(combined, []byte{0}), bytes.Join(events, []byte{0})) {
			t.Fatalf("%q cut at %d: got events %q, want %q", text, cut, combined, events)
		}
	})
}

// splitEvents returns the complete events at the beginning of a stream.
func splitEvents(text []byte) (events [][]byte) {
	for {
		length := eventEnd(text)
		if length < 0 {
			return events
		}
		events = append(events, text[:length])
		text = text[length:]
	}
}
