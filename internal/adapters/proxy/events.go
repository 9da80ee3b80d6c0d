package proxy

import "bytes"

// eventEnd finds the end of the first whole event of a stream: behind the blank line
// that closes it, or -1 when it is not all there. Lines end with LF, CR LF or CR; a CR
// at the very end may be the first half of a CR LF and closes nothing yet.
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

// eventID finds the id in a whole event; nothing when it has none.
func eventID(event []byte) (string, bool) {
	var id []byte
	found := false
	for len(event) > 0 {
		end := bytes.IndexAny(event, "\r\n")
		l := event
		if end >= 0 {
			l, event = event[:end], event[end+1:]
		} else {
			event = nil
		}
		if value, is := bytes.CutPrefix(l, []byte("id:")); is {
			// An id with a NUL is none, by the standard of event streams.
			if value = bytes.TrimPrefix(value, []byte(" ")); bytes.IndexByte(value, 0) < 0 {
				id, found = value, true
			}
		}
	}
	return string(id), found
}
