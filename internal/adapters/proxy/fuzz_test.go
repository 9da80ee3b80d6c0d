package proxy

import (
	"bytes"
	"strings"
	"testing"
)

func FuzzReadParts(f *testing.F) {
	for _, text := range []string{"", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", "x:1", ":1", "1:", ",", "1:2,", "ffffffffffffffffff:1", " a:1 , b:2"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		parts := readParts(text)
		if len(parts) > maxPromptParts {
			t.Fatalf("%d parts", len(parts))
		}
		for _, part := range parts {
			if part.Tokens < 0 || part.Tokens > maxTokenCount {
				t.Fatalf("%+v", part)
			}
		}
		if parts != nil && len(parts) != 1+strings.Count(text, ",") {
			t.Fatalf("%d parts of %q", len(parts), text)
		}
		prompt, output := readTokens(text)
		if prompt < 0 || output < 0 {
			t.Fatalf("%d %d", prompt, output)
		}
		_ = readLoad(text)
	})
}

// FuzzEvents cuts a stream at any place: what is forwarded is the same, event by event,
// as when it comes at once.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n: note\r\rdata: z"), 7)
	f.Add([]byte("\n\n\r\n\r\r\n"), 2)
	f.Add([]byte("x-weight-revisions: 3\nid: 9\ndata\n\n"), 1)
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		whole := split(text)
		if joined := bytes.Join(whole, nil); !bytes.HasPrefix(text, joined) {
			t.Fatalf("%q is not the beginning of %q", joined, text)
		}
		for _, event := range whole {
			if end := eventEnd(event); end != len(event) && event[len(event)-1] != '\r' {
				t.Fatalf("%q ends at %d", event, end)
			}
			if id, found := eventID(event); found && strings.ContainsAny(id, "\r\n\x00") {
				t.Fatalf("the id %q", id)
			}
		}
		if cut < 0 || cut > len(text) {
			return
		}
		// In two halves: the first half's events, then those of the rest with what was
		// left over.
		first := split(text[:cut])
		rest := text[len(bytes.Join(first, nil)):]
		if both := append(first, split(rest)...); !bytes.Equal(bytes.Join(both, []byte{0}), bytes.Join(whole, []byte{0})) {
			t.Fatalf("%q at %d: %q, not %q", text, cut, both, whole)
		}
	})
}

func split(text []byte) (events [][]byte) {
	for {
		length := eventEnd(text)
		if length < 0 {
			return events
		}
		events = append(events, text[:length])
		text = text[length:]
	}
}
