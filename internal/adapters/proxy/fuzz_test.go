package proxy

import (
	"bytes"
	"io"
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

// FuzzEventReader checks that the reader returns a stream whose end is proven completely, and one that ends with its
// connection up to the last event that ends with an empty line, however the text arrives.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n: note\r\rdata: z"), 7)
	f.Add([]byte("id: 1\r\ndata: x\r\n\r"), 1)
	f.Add([]byte("id: 1\rdata: x\r\r\r"), 3)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		if framed, reader := readAllEvents(text, size, false); !bytes.Equal(framed, text) {
			t.Fatalf("got %q, incomplete %v, want all of %q", framed, reader.incomplete(), text)
		}
		closed, reader := readAllEvents(text, size, true)
		rest, found := bytes.CutPrefix(text, closed)
		if incomplete := len(rest) > 0 || !hasContent(closed); !found || reader.incomplete() != incomplete {
			t.Fatalf("got %q, incomplete %v of %q, want %v", closed, reader.incomplete(), text, incomplete)
		}
		if eventEnd(rest) >= 0 || bytes.HasSuffix(rest, []byte("\n\n")) {
			t.Fatalf("the event %q is complete, but was left out", rest)
		}
		if lines := bytes.TrimRight(closed, "\r\n"); len(lines) > 0 && len(closed) < len(lines)+2 {
			t.Fatalf("the events %q end without an empty line", closed)
		}
	})
}

// readAllEvents reads a body with this text to its end, of which at most size bytes arrive at once, and returns its
// events and their reader.
func readAllEvents(text []byte, size int, closeDelimited bool) (events []byte, reader *eventReader) {
	chunks := &chunkReader{text: text, size: max(1, min(size, len(text)))}
	reader = &eventReader{body: chunks, closeDelimited: closeDelimited, buffer: make([]byte, 0, 8)}
	for reader.err == nil {
		reader.read()
		for event := reader.next(); event != nil; event = reader.next() {
			events = append(events, event...)
		}
	}
	return events, reader
}

// chunkReader returns a text in parts of at most size bytes.
type chunkReader struct {
	text []byte
	size int
}

func (r *chunkReader) Read(buffer []byte) (int, error) {
	if len(r.text) == 0 {
		return 0, io.EOF
	}
	read := copy(buffer, r.text[:min(r.size, len(r.text))])
	r.text = r.text[read:]
	return read, nil
}
