package proxy

import (
	"bytes"
	"io"
)

// eventReader splits the body of an event stream into events. It returns no event of which the stream shows that a
// part is missing.
type eventReader struct {
	body io.Reader
	// closeDelimited means that nothing but the end of the connection marks the end of the body.
	closeDelimited bool
	// buffer holds the text that was read; the events before position were returned by next.
	buffer   []byte
	position int
	// hasContent is set once next has returned an event with an ID or data.
	hasContent bool
	// err is the error of the last read: io.EOF at the end of the body, errOversize if an event exceeds
	// maxEventBytes.
	err error
}

// read waits until more of the body arrives or the body ends, and returns the number of bytes read. The events
// that next returned before are no longer valid.
func (r *eventReader) read() int {
	r.buffer = r.buffer[:copy(r.buffer, r.buffer[r.position:])]
	r.position = 0
	used := len(r.buffer)
	if used == cap(r.buffer) {
		if used >= maxEventBytes {
			r.err = errOversize
			return 0
		}
		r.buffer = append(r.buffer, make([]byte, used)...)[:used]
	}
	read, err := r.body.Read(r.buffer[used:cap(r.buffer)])
	r.buffer, r.err = r.buffer[:used+read], err
	return read
}

// next returns the next event that has arrived completely, or nil if there is none. At the end of a body with a
// length or chunks, which prove that the body is complete, the rest is an event although no blank line ends it.
func (r *eventReader) next() []byte {
	rest := r.buffer[r.position:]
	length := eventEnd(rest)
	if length < 0 {
		if r.err != io.EOF || len(rest) == 0 || r.closeDelimited && isIncompleteEvent(rest) {
			return nil
		}
		length = len(rest)
	}
	r.position += length
	event := rest[:length]
	r.hasContent = r.hasContent || hasContent(event)
	return event
}

// incomplete reports whether the stream, as far as it has arrived, lacks its end: it has no event with an ID or data,
// as every answer has, or the text behind its last complete event is the beginning of another one.
func (r *eventReader) incomplete() bool {
	return !r.hasContent || isIncompleteEvent(r.buffer[r.position:])
}

// hasContent reports whether an event has an ID or data. Comments, reconnection delays and empty lines are not
// part of an answer: servers may send them before it begins.
func hasContent(event []byte) bool {
	for line := range bytes.FieldsFuncSeq(event, isLineEnd) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if string(name) == "id" || string(name) == "data" {
			return true
		}
	}
	return false
}

// isLineEnd reports whether a character ends a line of an event, alone or with another one.
func isLineEnd(character rune) bool { return character == '\r' || character == '\n' }

// isIncompleteEvent reports whether the text behind the last event that eventEnd found in a stream is the beginning
// of another one. At the end of the stream a CR is a complete line end, so a text that ends with two of them is a
// complete event, and a lone CR is an empty line between events.
func isIncompleteEvent(rest []byte) bool {
	return len(rest) > 0 && string(rest) != "\r" && !bytes.HasSuffix(rest, []byte("\r\r"))
}

// eventEnd returns the end of the first event of a stream, just after the blank line that ends
// the event, or -1 if the event is incomplete. Lines end with LF, CR LF or CR. A CR at the very
// end of the text may be the first half of a CR LF, so it does not end a line yet.
func eventEnd(text []byte) int {
	for start := 0; start < len(text); {
		length := bytes.IndexAny(text[start:], "\r\n")
		if length < 0 {
			return -1
		}
		end := start + length + 1
		if text[end-1] == '\r' {
			if end == len(text) {
				return -1
			}
			if text[end] == '\n' {
				end++
			}
		}
		if length == 0 {
			return end
		}
		start = end
	}
	return -1
}

// eventID returns the ID of a complete event, and false if the event has none.
func eventID(event []byte) (string, bool) {
	var id []byte
	found := false
	for len(event) > 0 {
		end := bytes.IndexAny(event, "\r\n")
		line := event
		if end >= 0 {
			line, event = event[:end], event[end+1:]
		} else {
			event = nil
		}
		if value, isID := bytes.CutPrefix(line, []byte("id:")); isID {
			// The standard for event streams says that an ID with a NUL must be ignored.
			if value = bytes.TrimPrefix(value, []byte(" ")); bytes.IndexByte(value, 0) < 0 {
				id, found = value, true
			}
		}
	}
	return string(id), found
}
