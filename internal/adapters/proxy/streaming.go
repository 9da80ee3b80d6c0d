package proxy

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/scheduler"
)

// forwardBody forwards a response that is not an event stream: in one piece once it is
// complete, or, if it exceeds maxBufferedResponse, while it arrives.
func (d *dispatch) forwardBody() {
	e, response := d.exchange, d.response
	body, err := d.readBody(maxBufferedResponse)
	d.outcome.FirstByte = e.handler.now()
	if err == nil {
		e.forwardHead(response)
		if _, err := e.writer.Write(body); err != nil && err != http.ErrBodyNotAllowed {
			d.fail(scheduler.ClientGone)
			return
		}
		d.finish(scheduler.Complete)
		return
	}
	if err != errOversize {
		d.fail(scheduler.TimedOut)
		return
	}
	d.extend()
	e.forwardHead(response)
	buffer := make([]byte, copyBufferBytes)
	for {
		if _, err := e.writer.Write(body); err != nil {
			d.fail(scheduler.ClientGone)
			return
		}
		read, err := response.Body.Read(buffer)
		body = buffer[:read]
		if err != nil {
			d.countBodyEnd(err, false)
		}
		if err == io.EOF {
			if _, err := e.writer.Write(body); err != nil {
				d.fail(scheduler.ClientGone)
				return
			}
			d.finish(scheduler.Complete)
			return
		}
		if err != nil {
			d.fail(scheduler.Interrupted)
			return
		}
	}
}

// forwardEvents forwards an event stream. Only complete events are forwarded, each as soon as
// it has arrived. A resumed stream skips the events that the client already has. A stream that ends with
// its connection, within an event, was interrupted: its server crashed or broke it off.
func (d *dispatch) forwardEvents(route *config.CallRoute, onFirstChunk func()) {
	e, response := d.exchange, d.response
	// If an earlier dispatch of the call has forwarded the head, this stream resumes the stream of that dispatch.
	resumed := e.headSent.Load()
	// The stream may be resumed at another server, and the client would then get another number of bytes than the
	// first server's Content-Length.
	response.ContentLength = -1
	delete(response.Header, "Content-Length")
	flusher := http.NewResponseController(e.writer)
	pooledBuffer := e.handler.buffers.Get().(*[]byte)
	defer e.handler.buffers.Put(pooledBuffer)
	buffer := (*pooledBuffer)[:0]
	for {
		if len(buffer) == cap(buffer) {
			if len(buffer) >= maxEventBytes {
				d.failStream()
				return
			}
			buffer = append(buffer, make([]byte, len(buffer))...)[:len(buffer)]
		}
		// Once the head is forwarded, StreamTimeout limits the wait for each read.
		readTimeout := d.decision.StreamTimeout
		if readTimeout > 0 && e.headSent.Load() {
			d.timer.Reset(min(readTimeout, d.remaining()))
		} else {
			readTimeout = 0
		}
		read, readErr := response.Body.Read(buffer[len(buffer):cap(buffer)])
		if readTimeout > 0 {
			d.extend()
		}
		buffer = buffer[:len(buffer)+read]
		if read > 0 && d.outcome.FirstByte.IsZero() {
			d.outcome.FirstByte = e.handler.now()
			d.extend()
			onFirstChunk()
		}
		consumed, forwarded, incomplete := 0, false, false
		for {
			length := eventEnd(buffer[consumed:])
			if length < 0 {
				rest := buffer[consumed:]
				incomplete = incomplete || isIncompleteEvent(rest)
				// A length or a last chunk proves that the stream is complete: the rest is forwarded, although no
				// blank line ends it.
				if readErr != io.EOF || len(rest) == 0 || incomplete && d.closeDelimited {
					break
				}
				length = len(rest)
			}
			event := buffer[consumed : consumed+length]
			consumed += length
			if id, found := eventID(event); found {
				if resumed && !isAfter(id, e.lastEvent) {
					continue
				}
				e.lastEvent = id
			}
			if !e.headSent.Load() {
				e.forwardHead(response)
			}
			if _, err := e.writer.Write(event); err != nil {
				d.fail(scheduler.ClientGone)
				return
			}
			forwarded = true
		}
		truncated := readErr != nil && d.countBodyEnd(readErr, incomplete) == bodyTruncated
		if forwarded && (readErr != io.EOF || truncated) {
			if err := flusher.Flush(); err != nil {
				d.fail(scheduler.ClientGone)
				return
			}
		}
		if readErr == io.EOF && !truncated {
			if !e.headSent.Load() {
				e.forwardHead(response)
			}
			d.finish(scheduler.Complete)
			return
		}
		if readErr != nil {
			d.failStream()
			return
		}
		buffer = buffer[:copy(buffer, buffer[consumed:])]
	}
}

// failStream ends a dispatch whose event stream was interrupted or truncated, or contains an event larger than
// maxEventBytes. The result is Interrupted if the head was already forwarded to the client, and TimedOut
// otherwise.
func (d *dispatch) failStream() {
	if d.exchange.headSent.Load() {
		d.fail(scheduler.Interrupted)
		return
	}
	d.fail(scheduler.TimedOut)
}

// isAfter reports whether the event id comes after the event last. Numeric IDs are compared as
// numbers; otherwise every ID that differs counts as later.
func isAfter(id, last string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	earlier, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return number > earlier
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
