package proxy

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/scheduler"
)

// forwardBody passes an answer on that is no stream: at once when it is all there, or,
// when it is too large for that, as it comes.
func (d *dispatch) forwardBody() {
	e, response := d.exchange, d.response
	body, err := readBounded(response.Body, response.ContentLength, maxBufferedResponse)
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

// forwardEvents passes a stream on, whole event by whole event, each at once.
func (d *dispatch) forwardEvents(route *config.CallRoute, began func()) {
	e, response := d.exchange, d.response
	resumed := e.headSent.Load()
	// A stream may go on from another server: its length is then not the first's.
	response.ContentLength = -1
	delete(response.Header, "Content-Length")
	flusher := http.NewResponseController(e.writer)
	buffered := e.handler.buffers.Get().(*[]byte)
	defer e.handler.buffers.Put(buffered)
	text := (*buffered)[:0]
	for {
		if len(text) == cap(text) {
			if len(text) >= maxEventBytes {
				d.breakOff()
				return
			}
			text = append(text, make([]byte, len(text))...)[:len(text)]
		}
		gapTimeout := d.decision.StreamTimeout
		if gapTimeout > 0 && e.headSent.Load() {
			d.timer.Reset(min(gapTimeout, d.remaining()))
		} else {
			gapTimeout = 0
		}
		read, readErr := response.Body.Read(text[len(text):cap(text)])
		if gapTimeout > 0 {
			d.extend()
		}
		text = text[:len(text)+read]
		if read > 0 && d.outcome.FirstByte.IsZero() {
			d.outcome.FirstByte = e.handler.now()
			d.extend()
			began()
		}
		consumed, forwarded := 0, false
		for {
			length := eventEnd(text[consumed:])
			if length < 0 {
				if readErr != io.EOF || consumed == len(text) {
					break
				}
				// The rest of a stream that ended well is the server's as well.
				length = len(text) - consumed
			}
			event := text[consumed : consumed+length]
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
		if forwarded && readErr != io.EOF {
			if err := flusher.Flush(); err != nil {
				d.fail(scheduler.ClientGone)
				return
			}
		}
		if readErr == io.EOF {
			if !e.headSent.Load() {
				e.forwardHead(response)
			}
			d.finish(scheduler.Complete)
			return
		}
		if readErr != nil {
			d.breakOff()
			return
		}
		text = text[:copy(text, text[consumed:])]
	}
}

// breakOff ends a dispatch whose success broke off.
func (d *dispatch) breakOff() {
	if d.exchange.headSent.Load() {
		d.fail(scheduler.Interrupted)
		return
	}
	d.fail(scheduler.TimedOut)
}

// isAfter tells whether an event comes after another, by their ids: as numbers, or else
// it is another one.
func isAfter(id, last string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	earlier, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return number > earlier
}

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
