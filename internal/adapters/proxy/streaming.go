package proxy

import (
	"net/http"
	"strconv"

	"seamloom.example/seamloom/internal/scheduler"
)

// forwardBody forwards a response that is not an event stream: in one piece once it is
// complete, or, if it exceeds maxBufferedResponse, while it arrives.
func (d *dispatch) forwardBody() {
	e := d.exchange
	body, err := d.readBody(maxBufferedResponse)
	d.outcome.FirstByte = e.handler.now()
	switch err {
	case nil:
		e.forwardHead(d.response)
		if _, err := e.writer.Write(body); err != nil && err != http.ErrBodyNotAllowed {
			d.fail(scheduler.ClientGone)
			return
		}
		d.finish(scheduler.Complete)
	case errOversize:
		d.extend()
		e.forwardHead(d.response)
		d.copyBody(body)
	default:
		d.fail(scheduler.TimedOut)
	}
}

// copyBody forwards a body whose beginning was read, while the rest of it arrives. Its content is not checked: the end of
// the connection counts as its end if it has neither a length nor chunks.
func (d *dispatch) copyBody(beginning []byte) {
	writer, body := d.exchange.writer, d.response.Body
	if _, err := writer.Write(beginning); err != nil {
		d.fail(scheduler.ClientGone)
		return
	}
	buffer := make([]byte, copyBufferBytes)
	for {
		read, readErr := body.Read(buffer)
		if _, err := writer.Write(buffer[:read]); err != nil {
			d.fail(scheduler.ClientGone)
			return
		}
		if readErr == nil {
			continue
		}
		if d.countBodyEnd(readErr, false).isRegular() {
			d.finish(scheduler.Complete)
		} else {
			d.fail(scheduler.Interrupted)
		}
		return
	}
}

// forwardEvents forwards an event stream. Only complete events are forwarded, each as soon as
// it has arrived. A resumed stream skips the events that the client already has. A stream that ends with
// its connection, within an event or before any, was interrupted: its server crashed or broke it off.
func (d *dispatch) forwardEvents(onFirstChunk func()) {
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
	events := &eventReader{body: response.Body, closeDelimited: d.closeDelimited, buffer: (*pooledBuffer)[:0]}
	for {
		d.readEvents(events, onFirstChunk)
		forwarded, err := e.forwardReceived(events, response, resumed)
		if err != nil {
			d.fail(scheduler.ClientGone)
			return
		}
		if events.err != nil && d.countBodyEnd(events.err, events.incomplete()).isRegular() {
			if !e.headSent.Load() {
				e.forwardHead(response)
			}
			d.finish(scheduler.Complete)
			return
		}
		if forwarded {
			if err := flusher.Flush(); err != nil {
				d.fail(scheduler.ClientGone)
				return
			}
		}
		if events.err != nil {
			d.failStream()
			return
		}
	}
}

// readEvents waits for the next part of the stream. Once the head is forwarded, the decision's StreamTimeout limits
// the wait.
func (d *dispatch) readEvents(events *eventReader, onFirstChunk func()) {
	limited := d.decision.StreamTimeout > 0 && d.exchange.headSent.Load()
	if limited {
		d.timer.Reset(min(d.decision.StreamTimeout, d.remaining()))
	}
	read := events.read()
	if limited {
		d.extend()
	}
	if read > 0 && d.outcome.FirstByte.IsZero() {
		d.outcome.FirstByte = d.exchange.handler.now()
		d.extend()
		onFirstChunk()
	}
}

// forwardReceived forwards the received events to the client, the first one after the head of the response, and reports
// whether there were any. If the stream resumes an earlier one, the events that are not after the last forwarded event
// are skipped. An error means that the client can't be written to.
func (e *exchange) forwardReceived(events *eventReader, response *http.Response, resumed bool) (forwarded bool, err error) {
	for event := events.next(); event != nil; event = events.next() {
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
			return forwarded, err
		}
		forwarded = true
	}
	return forwarded, nil
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
